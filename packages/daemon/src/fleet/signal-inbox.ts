/** Signals that the process handles. */
export enum ProcessSignal {
	HangUp = 'SIGHUP',
	Interrupt = 'SIGINT',
	Terminate = 'SIGTERM',
}

/** What a signal causes. */
export enum SignalEffect {
	/** The process is stopping already. */
	Ignored = 'ignored',
	/** The settings file is checked. */
	Reload = 'reload',
	/** The graceful shutdown begins. */
	Stop = 'stop',
}

export type ReceivedSignal = {readonly signal: ProcessSignal; readonly effect: SignalEffect};

/** The part of `process` that reports signals. */
export type SignalSource = {on(signal: ProcessSignal, handler: () => void): unknown};

/** Receives the signals of the process. */
export type SignalInbox = {
	/** Resolves with the first signal that requests a stop. */
	readonly stopRequested: Promise<ProcessSignal>;
	isStopRequested(): boolean;
	/** Passes every signal to the listener, in order, starting with those received before. Call once. */
	listen(listener: (received: ReceivedSignal) => void): void;
};

/** Handles the signals from now on, so that none has its default effect, which is to end the process. */
export const createSignalInbox = (source: SignalSource): SignalInbox => {
	const earlierSignals: ReceivedSignal[] = [];
	let deliver = (received: ReceivedSignal): void => {
		earlierSignals.push(received);
	};

	let isStopRequested = false;
	let resolveStop: (signal: ProcessSignal) => void;
	const stopRequested = new Promise<ProcessSignal>(resolve => {
		resolveStop = resolve;
	});

	const requestStop = (signal: ProcessSignal): SignalEffect => {
		if (isStopRequested) {
			return SignalEffect.Ignored;
		}

		isStopRequested = true;
		resolveStop(signal);
		return SignalEffect.Stop;
	};

	const handlers: Record<ProcessSignal, (signal: ProcessSignal) => SignalEffect> = {
		[ProcessSignal.HangUp]: () => (isStopRequested ? SignalEffect.Ignored : SignalEffect.Reload),
		[ProcessSignal.Interrupt]: requestStop,
		[ProcessSignal.Terminate]: requestStop,
	};
	Object.values(ProcessSignal).forEach(signal => {
		source.on(signal, () => {
			deliver({signal, effect: handlers[signal](signal)});
		});
	});
	return {
		stopRequested,
		isStopRequested: () => isStopRequested,
		listen(listener) {
			deliver = listener;
			earlierSignals.splice(0).forEach(received => {
				listener(received);
			});
		},
	};
};
