import type * as ports from '../ports/index.js';
import {STOP_REASON} from './stop-reason.js';

/** Outcome of {@link runWithTimeout}. */
export type TimedResult<T> = {readonly isTimedOut: true} | {readonly isTimedOut: false; readonly value: T};

export type TimeoutOptions = {
	readonly clock: ports.Clock;
	readonly timeoutMs: number;
	/** Least time that remains after each report of progress, in ms; `timeoutMs` by default. */
	readonly progressTimeoutMs?: number;
	readonly signal: AbortSignal;
};

/**
 * Runs `task` with a signal that is aborted after `timeoutMs` or when `signal` is. Returns as soon as the time limit
 * has passed, even when the task ignores its signal. A task that transfers much data calls `noteProgress` for each
 * part, which extends the time limit to at least `progressTimeoutMs` after that call.
 */
export const runWithTimeout = async <T>(
	options: TimeoutOptions,
	task: (signal: AbortSignal, noteProgress: () => void) => Promise<T>,
): Promise<TimedResult<T>> => {
	const {clock, timeoutMs, progressTimeoutMs = timeoutMs} = options;
	const taskController = new AbortController();
	const sleepController = new AbortController();
	const abortTask = (): void => {
		taskController.abort(STOP_REASON);
	};

	if (options.signal.aborted) {
		abortTask();
	}

	options.signal.addEventListener('abort', abortTask, {once: true});
	let deadlineMs = clock.monotonicMs() + timeoutMs;
	const noteProgress = (): void => {
		deadlineMs = Math.max(deadlineMs, clock.monotonicMs() + progressTimeoutMs);
	};

	const runTask = async (): Promise<TimedResult<T>> => ({
		isTimedOut: false,
		value: await task(taskController.signal, noteProgress),
	});
	const waitForTimeout = async (): Promise<TimedResult<T>> => {
		do {
			await clock.sleep(deadlineMs - clock.monotonicMs(), sleepController.signal);
		} while (!sleepController.signal.aborted && clock.monotonicMs() < deadlineMs);

		if (!sleepController.signal.aborted) {
			abortTask();
		}

		return {isTimedOut: true};
	};

	try {
		return await Promise.race([runTask(), waitForTimeout()]);
	} finally {
		sleepController.abort(STOP_REASON);
		options.signal.removeEventListener('abort', abortTask);
	}
};
