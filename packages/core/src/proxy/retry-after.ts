import {RETURN_TIME_RATIO} from '../waiting/return-schedule.js';
import type {ProxyOptions} from './proxy-options.js';

export type RetryAfterOptions = Pick<ProxyOptions, 'retryAfterMinimumMs' | 'retryAfterMaximumMs'>;

/** Random part of a time that is already spread over the callers of one group; several dispatchers do not know of each other. */
const ROOM_JITTER_RATIO = 0.1;

/**
 * Time after which a refused caller should try again, in ms. Jitter of up to the predicted wait spreads the callers, so that they
 * do not return at the same time.
 *
 * @param fraction random number from 0 to 1
 */
export const computeRetryAfterMs = (
	predictedWaitMs: number,
	fraction: number,
	{retryAfterMinimumMs, retryAfterMaximumMs}: RetryAfterOptions,
): number => Math.min(retryAfterMaximumMs, Math.max(retryAfterMinimumMs, predictedWaitMs) * (1 + fraction));

export type RefusedCallTimes = {
	readonly predictedWaitMs: number;
	/** Time after which there will be room for the call, in ms; undefined if no dispatcher has allotted one. */
	readonly roomAfterMs?: number;
	/** Time left until the call's deadline, in ms. */
	readonly remainingMs: number;
	/** Whether the call can no longer be served before its deadline. */
	readonly isTooLate: boolean;
};

/**
 * Time after which the caller of a refused call should try again, in ms. A caller comes back within a third of its remaining time
 * or not at all, so a time that is shorter than that does not exceed it with its jitter, and a call that cannot be served in time
 * gets the time of its deadline.
 *
 * @param fraction random number from 0 to 1
 */
export const computeReturnMs = (
	{predictedWaitMs, roomAfterMs, remainingMs, isTooLate}: RefusedCallTimes,
	fraction: number,
	options: RetryAfterOptions,
): number => {
	if (isTooLate) {
		return Math.max(remainingMs, computeRetryAfterMs(predictedWaitMs, fraction, options));
	}

	const roomMs = Math.max(options.retryAfterMinimumMs, roomAfterMs ?? 0);
	const latestMs = remainingMs * RETURN_TIME_RATIO;
	const returnMs =
		roomAfterMs === undefined
			? computeRetryAfterMs(predictedWaitMs, fraction, options)
			: roomMs * (1 + fraction * ROOM_JITTER_RATIO);
	const earliestMs = roomAfterMs === undefined ? Math.max(options.retryAfterMinimumMs, predictedWaitMs) : roomMs;
	return earliestMs <= latestMs ? Math.min(returnMs, latestMs) : returnMs;
};
