/** Options of group schedulers that do not belong to a catalogue entry. */
export type SchedulerOptions = {
	/** Fraction of a group's slots for long and bulk work together while short work saturates the group. */
	readonly longShareRatio: number;
	/** Largest fraction of the slots of long and bulk work that bulk work uses while long work waits. */
	readonly bulkShareRatio: number;
	/** Time after which a borrowed slot is reclaimed if the class of work that lent it waits for it, in ms. */
	readonly borrowedSlotLimitMs: number;
	/** Sliding window over which the peak demand of short work is taken, in ms. Slots within that peak are not lent. */
	readonly lendingWindowMs: number;
	/** Largest predicted wait of an admitted call, as a fraction of the time that its deadline leaves for waiting. */
	readonly waitLimitRatio: number;
	/** Maximum number of attempts of one call, including the first. */
	readonly attemptLimitCount: number;
	/** Time limit of an attempt that may be retried, as a multiple of the typical service time. */
	readonly attemptTimeoutFactor: number;
	/** Lower bound of the time limit of such an attempt, in ms. */
	readonly minAttemptTimeoutMs: number;
	/** Maximum number of unused retries that the retry budget accumulates. */
	readonly retryBurstCount: number;
	/** Largest request body that is kept for resending, in bytes. */
	readonly resendLimitBytes: number;
	/** Amount of an answer's body that is read ahead of the caller, in bytes. */
	readonly answerReadAheadBytes: number;
	/** Longest time for the body of an answer after its head, in ms. */
	readonly answerBodyTimeoutMs: number;
	readonly adaptiveLimit: AdaptiveLimitOptions;
	readonly nodeGuard: NodeGuardOptions;
};

/** Options of the adaptive slot limit of a target. */
export type AdaptiveLimitOptions = {
	/** Fraction of a target's slots that a new scheduler opens at first. */
	readonly startRatio: number;
	/** Period without shedding or high latency after which one more slot is opened, in ms. */
	readonly increasePeriodMs: number;
	/** Factor by which congestion reduces the limit. */
	readonly decreaseFactor: number;
	/** Shortest time between two reductions, in ms. Calls in flight at the first one would otherwise cause the next. */
	readonly decreasePauseMs: number;
	/**
	 * Short calls that may be in transit to a target beyond its slots, as a fraction of its slots; at least one for
	 * targets with three or more slots. Without them a slot is idle while its next call is in transit. That cost 10% with
	 * calls of 20 ms and a transit time of 2 ms.
	 */
	readonly transitRatio: number;
	/** Time for which no calls are sent beyond the slots after the target has shed such a call, in ms. */
	readonly transitPauseMs: number;
	/** A target is congested when its latency exceeds this multiple of the usual latency of the class of work. */
	readonly highLatencyFactor: number;
};

/** Limits of the node's own load beyond which it refuses calls. */
export type NodeGuardOptions = {
	readonly eventLoopDelayLimitMs: number;
	readonly residentLimitBytes: number;
};

export const DEFAULT_SCHEDULER_OPTIONS: SchedulerOptions = {
	longShareRatio: 0.25,
	bulkShareRatio: 0.5,
	borrowedSlotLimitMs: 1000,
	lendingWindowMs: 1000,
	// A short queue is enough to keep the slots busy, and an early refusal allows another group to take the call.
	waitLimitRatio: 0.25,
	attemptLimitCount: 3,
	attemptTimeoutFactor: 8,
	minAttemptTimeoutMs: 50,
	retryBurstCount: 100,
	resendLimitBytes: 65_536,
	answerReadAheadBytes: 65_536,
	// The longest deadline that an entry may have.
	answerBodyTimeoutMs: 600_000,
	adaptiveLimit: {
		startRatio: 0.5,
		increasePeriodMs: 100,
		decreaseFactor: 0.7,
		decreasePauseMs: 100,
		transitRatio: 0.1,
		transitPauseMs: 10_000,
		highLatencyFactor: 4,
	},
	nodeGuard: {
		eventLoopDelayLimitMs: 100,
		// Three quarters of the memory of a small VM with 2 GiB.
		residentLimitBytes: 1_610_612_736,
	},
};
