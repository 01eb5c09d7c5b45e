import type {AdaptiveLimitOptions} from './scheduler-options.js';

/** Slots of one target that may be used now. Additive increase by slot probing, multiplicative decrease. */
export type AdaptiveLimit = {
	readonly limitCount: () => number;
	/** Reports an answer; `latencyRatio` is its target's latency divided by the usual latency of the class. */
	reportAnswer(nowMs: number, latencyRatio: number): void;
	/** Reports a shed call; `busyCount` are the calls that were at the target, the shed one included. */
	reportShedding(nowMs: number, busyCount: number): void;
	/** Short calls that may be on their way beyond the limit now. */
	transitCount(nowMs: number): number;
	/** Opens one more slot when the last period was free of congestion. Returns whether it did. */
	probe(nowMs: number): boolean;
	setSlotCount(slotCount: number): void;
};

/** Smaller targets get no calls in transit, because one call would be half of their slots or more. */
const TRANSIT_FLOOR_SLOT_COUNT = 3;

export const createAdaptiveLimit = (settings: {
	slotCount: number;
	startRatio: number;
	options: AdaptiveLimitOptions;
	nowMs: number;
}): AdaptiveLimit => {
	const {options} = settings;
	let {slotCount} = settings;
	let limitCount = Math.max(1, Math.ceil(slotCount * settings.startRatio));
	let congestedAtMs = settings.nowMs;
	let decreasedAtMs = -Infinity;
	let transitPausedUntilMs = -Infinity;

	const decrease = (nowMs: number): void => {
		congestedAtMs = nowMs;
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
				// The target has no queue for calls in transit; that says nothing about its slots.
				transitPausedUntilMs = nowMs + options.transitPauseMs;
			} else {
				decrease(nowMs);
			}
		},
		transitCount(nowMs) {
			const isAllowed =
				slotCount >= TRANSIT_FLOOR_SLOT_COUNT && limitCount === slotCount && nowMs >= transitPausedUntilMs;
			return isAllowed ? Math.max(1, Math.floor(slotCount * options.transitRatio)) : 0;
		},
		probe(nowMs) {
			if (limitCount >= slotCount || nowMs - congestedAtMs < options.probePeriodMs) {
				return false;
			}

			limitCount++;
			congestedAtMs = nowMs;
			return true;
		},
		setSlotCount(newSlotCount) {
			// An operator who raises the slots of a fully open target wants them used; probing opens them one by one.
			slotCount = newSlotCount;
			limitCount = Math.min(limitCount, Math.max(1, slotCount));
		},
	};
};
