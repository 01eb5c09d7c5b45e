import {STOP_REASON} from '../shared/stop-reason.js';
import {AttemptEnd} from './attempt-end.js';

/** Aborts an attempt and records the first cause. Later causes have no effect. */
export const createAttemptStopper = (callerSignal: AbortSignal) => {
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

export type AttemptStopper = ReturnType<typeof createAttemptStopper>;
