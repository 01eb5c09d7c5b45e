import {STOP_REASON} from '../shared/stop-reason.js';
import {AttemptEnd} from './attempt-end.js';

/** Stops an attempt once, for the first cause, and remembers the cause. */
export const createStopper = (callerSignal: AbortSignal) => {
	const controller = new AbortController();
	let cause: AttemptEnd | undefined;
	const stop = (end: AttemptEnd): void => {
		cause ??= end;
		controller.abort(STOP_REASON);
	};

	const onCallerAbort = (): void => {
		stop(AttemptEnd.Cancelled);
	};

	if (callerSignal.aborted) {
		onCallerAbort();
	}

	callerSignal.addEventListener('abort', onCallerAbort, {once: true});
	return {
		signal: controller.signal,
		stop,
		cause: () => cause,
		detach(): void {
			callerSignal.removeEventListener('abort', onCallerAbort);
		},
		stopped: new Promise<undefined>(resolve => {
			controller.signal.addEventListener(
				'abort',
				() => {
					resolve(undefined);
				},
				{once: true},
			);
		}),
	};
};

/** Stops one attempt. */
export type Stopper = ReturnType<typeof createStopper>;
