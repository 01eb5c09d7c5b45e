import type * as ports from '../ports/index.js';

/** Outcome of {@link runWithTimeout}. */
export type TimedResult<T> = {readonly isTimedOut: true} | {readonly isTimedOut: false; readonly value: T};

/**
 * Runs `task` with a signal that is aborted after `timeoutMs` or when `signal` is. Returns as soon as the time is up,
 * even when the task ignores its signal.
 */
export const runWithTimeout = async <T>(
	options: {clock: ports.Clock; timeoutMs: number; signal: AbortSignal},
	task: (signal: AbortSignal) => Promise<T>,
): Promise<TimedResult<T>> => {
	const taskController = new AbortController();
	const sleepController = new AbortController();
	const abortTask = (): void => {
		taskController.abort();
	};

	if (options.signal.aborted) {
		abortTask();
	}

	options.signal.addEventListener('abort', abortTask, {once: true});
	const runTask = async (): Promise<TimedResult<T>> => ({isTimedOut: false, value: await task(taskController.signal)});
	const waitForTimeout = async (): Promise<TimedResult<T>> => {
		await options.clock.sleep(options.timeoutMs, sleepController.signal);
		if (!sleepController.signal.aborted) {
			abortTask();
		}

		return {isTimedOut: true};
	};

	try {
		return await Promise.race([runTask(), waitForTimeout()]);
	} finally {
		// A reason of its own saves the costly default, an exception with a stack; sleeps ignore it.
		sleepController.abort('settled');
		options.signal.removeEventListener('abort', abortTask);
	}
};
