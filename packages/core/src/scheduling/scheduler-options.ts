/** Options of group schedulers that do not belong to a catalogue entry. */
export type SchedulerOptions = {
	/** Share of a group's slots that long and bulk work get together while short work saturates the group. */
	readonly longShareRatio: number;
	/** Share of the slots of long and bulk work that bulk work uses at most while long work waits. */
	readonly bulkShareRatio: number;
	/** How long long and bulk work may hold a borrowed slot while short work waits, in ms. */
	readonly borrowedSlotLimitMs: number;
	/** How long the highest use of slots by short work keeps those slots from being lent, in ms. */
	readonly lendingWindowMs: number;
	/** Largest predicted wait of an admitted call as a part of the time that its deadline leaves for waiting. */
	readonly waitLimitRatio: number;
	/** Attempts of one call, the first included. */
	readonly attemptLimitCount: number;
	/** Time limit of an attempt that may be retried, as a multiple of the typical service time. */
	readonly attemptTimeoutFactor: number;
	/** Lower bound of that time limit, in ms. */
	readonly attemptTimeoutFloorMs: number;
	/** Retries that may be saved up. */
	readonly retryBurstCount: number;
	/** Largest request body that is kept for resending, in bytes. */
	readonly resendLimitBytes: number;
	/** Part of an answer that is read before its caller asks for it, in bytes. */
	readonly answerReadAheadBytes: number;
	/** Longest time for the body of an answer after its head, in ms. */
	readonly answerBodyTimeoutMs: number;
	readonly adaptiveLimit: AdaptiveLimitOptions;
	readonly nodeGuard: NodeGuardOptions;
};

/** Options of the adaptive slot limit of a target. */
export type AdaptiveLimitOptions = {
	/** Share of the entry's slots that a new scheduler opens at first. */
	readonly startRatio: number;
	/** Period without shedding and high latency after which one more slot opens, in ms. */
	readonly probePeriodMs: number;
	/** Factor of a reduction. */
	readonly decreaseFactor: number;
	/** Shortest time between two reductions, in ms. Calls in flight at the first one would otherwise cause the next. */
	readonly decreasePauseMs: number;
	/**
	 * Short calls that may be on their way to a target beyond its slots, as a part of them; at least one from three slots
	 * on. Without them a slot is idle while its next call travels, which cost 10% of 20 ms calls with 2 ms of travel.
	 */
	readonly transitRatio: number;
	/** How long no such calls are sent after the target shed one, in ms. */
	readonly transitPauseMs: number;
	/** A target whose latency is this multiple of the usual latency of its class is congested. */
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
	// A full queue needs little depth to keep the slots busy, and an early refusal lets another group take the call.
	waitLimitRatio: 0.25,
	attemptLimitCount: 3,
	attemptTimeoutFactor: 8,
	attemptTimeoutFloorMs: 50,
	retryBurstCount: 100,
	resendLimitBytes: 65_536,
	answerReadAheadBytes: 65_536,
	// The longest deadline that an entry may have.
	answerBodyTimeoutMs: 600_000,
	adaptiveLimit: {
		startRatio: 0.5,
		probePeriodMs: 100,
		decreaseFactor: 0.7,
		decreasePauseMs: 100,
		transitRatio: 0.1,
		transitPauseMs: 10_000,
		highLatencyFactor: 4,
	},
	nodeGuard: {
		eventLoopDelayLimitMs: 100,
		// Three quarters of a small VM of 2 GiB.
		residentLimitBytes: 1_610_612_736,
	},
};
