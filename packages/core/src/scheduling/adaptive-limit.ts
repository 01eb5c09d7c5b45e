import type {AdaptiveLimitOptions} from './scheduler-options.js';

/** Slots of one target that may be used now. Additive increase, multiplicative decrease. */
export type AdaptiveLimit = {
	readonly limitCount: () => number;
	/** Reports an answer; `latencyRatio` is the target's mean latency divided by that of the class of work. */
	reportAnswer(nowMs: number, latencyRatio: number): void;
	/** Reports a shed call; `busyCount` is the number of calls that were at the target, including the shed one. */
	reportShedding(nowMs: number, busyCount: number): void;
	/** Number of short calls that may be in transit to the target beyond the limit now. */
	transitCount(nowMs: number): number;
	/** Opens one more slot if the last period had no congestion. Returns whether a slot was opened. */
	increase(nowMs: number): boolean;
	setSlotCount(slotCount: number): void;
};

/** Smaller targets get no calls in transit, because one call would be half of their slots or more. */
const MIN_SLOT_COUNT_FOR_TRANSIT = 3;

export const createAdaptiveLimit = (settings: {
	slotCount: number;
	startRatio: number;
	options: AdaptiveLimitOptions;
	nowMs: number;
}): AdaptiveLimit => {
	const {options} = settings;
	let {slotCount} = settings;
	let limitCount = Math.max(1, Math.ceil(slotCount * settings.startRatio));
	let increasePeriodStartedAtMs = settings.nowMs;
	let decreasedAtMs = -Infinity;
	let transitPausedUntilMs = -Infinity;

	const decrease = (nowMs: number): void => {
		increasePeriodStartedAtMs = nowMs;
		if (nowMs - decreasedAtMs >= options.decreasePauseMs) {
			decreasedAtMs = nowMs;
			limitCount = Math.max(1, Math.floor(limitCount * options.decreaseFactor));
		}
	};

	return {
		limitCount: () => limitCount,
		reportAnswer(nowMs, latencyRatio) {
			if (latencyRatio > options.highLatencyFactor) {
				decrease(nowMs);
			}
		},
		reportShedding(nowMs, busyCount) {
			if (busyCount > limitCount) {
				// The target does not queue calls in transit, which is no sign that its slots are congested.
				transitPausedUntilMs = nowMs + options.transitPauseMs;
			} else {
				decrease(nowMs);
			}
		},
		transitCount(nowMs) {
			const isAllowed =
				slotCount >= MIN_SLOT_COUNT_FOR_TRANSIT && limitCount === slotCount && nowMs >= transitPausedUntilMs;
			return isAllowed ? Math.max(1, Math.floor(slotCount * options.transitRatio)) : 0;
		},
		increase(nowMs) {
			if (limitCount >= slotCount || nowMs - increasePeriodStartedAtMs < options.increasePeriodMs) {
				return false;
			}

			limitCount++;
			increasePeriodStartedAtMs = nowMs;
			return true;
		},
		setSlotCount(newSlotCount) {
			// Added slots are meant to be used, also when all slots were open before; `increase` opens them one by one.
			slotCount = newSlotCount;
			limitCount = Math.min(limitCount, Math.max(1, slotCount));
		},
	};
};
