import type {ZoneOptions} from './zone-options.js';

/** What is known of a call when its place is decided. All times are from now. */
export type CallTimes = {
	/** Time left until the latency objective is missed, in ms. */
	readonly objectiveLeftMs: number;
	/** Time left until the deadline, in ms. */
	readonly remainingMs: number;
	/** Mean duration of the route's calls, in ms. */
	readonly workMs: number;
};

export type LossOptions = Pick<ZoneOptions, 'lateLossMs' | 'missedLossMs' | 'delayWeight'>;

/**
 * Range of the time that is left for the work, in mean durations, over which the probability of missing a limit falls from 1 to 0.
 * 97 in 100 calls take less than twice the mean duration, and half of them less than 0.8 of it.
 */
const MISS_RANGE = {certain: 0.5, none: 1.75};

const computeMissProbability = (leftMs: number, workMs: number): number => {
	const durations = leftMs / Math.max(1, workMs);
	const probability = (MISS_RANGE.none - durations) / (MISS_RANGE.none - MISS_RANGE.certain);
	return Math.min(1, Math.max(0, probability));
};

/** Expected loss of a caller whose call starts at its target after `startMs`, in ms. It never falls with `startMs`. */
export const computeCallLossMs = (
	startMs: number,
	{objectiveLeftMs, remainingMs, workMs}: CallTimes,
	{lateLossMs, missedLossMs, delayWeight}: LossOptions,
): number =>
	startMs * delayWeight +
	computeMissProbability(objectiveLeftMs - startMs, workMs) * lateLossMs +
	computeMissProbability(remainingMs - startMs, workMs) * missedLossMs;

/** Part of its mean duration that a call needs before its deadline to be worth starting; dispatchers refuse it with less. */
const MIN_WORK_RATIO = 0.5;

/** Whether a call that starts after `startMs` may still be answered before its deadline. */
export const isInTime = (startMs: number, {remainingMs, workMs}: Pick<CallTimes, 'remainingMs' | 'workMs'>): boolean =>
	remainingMs - startMs >= workMs * MIN_WORK_RATIO;

/** Time needed for the work, in mean durations, with which few calls miss their objective. */
const SAFE_WORK_RATIO = 1.5;

/** Longest time until the start with which the call probably meets its objective, in ms; negative if there is none. */
export const computeLatestStartMs = ({objectiveLeftMs, workMs}: CallTimes): number =>
	objectiveLeftMs - workMs * SAFE_WORK_RATIO;

/** Halvings of the searched range, which leave an error of a thousandth of it. */
const SEARCH_STEP_COUNT = 10;

/** Longest start up to `limitMs` whose loss is at most `lossMs`, in ms. */
export const findLongestStartMs = (lossMs: number, limitMs: number, times: CallTimes, options: LossOptions): number => {
	if (limitMs <= 0 || computeCallLossMs(limitMs, times, options) <= lossMs) {
		return Math.max(0, limitMs);
	}

	const range = Array.from({length: SEARCH_STEP_COUNT}).reduce<{low: number; high: number}>(
		({low, high}) => {
			const middle = (low + high) / 2;
			return computeCallLossMs(middle, times, options) <= lossMs ? {low: middle, high} : {low, high: middle};
		},
		{low: 0, high: limitMs},
	);
	return range.low;
};
