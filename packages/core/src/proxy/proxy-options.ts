/** Settings of the path from callers to targets. */
export type ProxyOptions = {
	/** Earliest and latest time after which a refused caller may come back, in ms. */
	readonly retryAfterMinimumMs: number;
	readonly retryAfterMaximumMs: number;
	/** Tries at targets that could not be reached, which do not count as attempts. */
	readonly unreachableLimit: number;
	/** An attempt at repeatable work is slow after this many times the usual duration; another then takes its place. */
	readonly slowAttemptFactor: number;
	/** Share of the latency objective before which no attempt counts as slow. */
	readonly slowAttemptObjectiveRatio: number;
	/** Connections that one node may open to one target. */
	readonly connectionsPerTarget: number;
};

export const DEFAULT_PROXY_OPTIONS: ProxyOptions = {
	retryAfterMinimumMs: 100,
	retryAfterMaximumMs: 2000,
	unreachableLimit: 3,
	// Work takes up to twice its mean but for 3 in 100 calls, which take seven times as long.
	slowAttemptFactor: 4,
	// Shorter than this, a wait costs the caller less than a second run costs the targets.
	slowAttemptObjectiveRatio: 0.3,
	// More than the slots of any target; the dispatcher bounds the calls, this bounds a fault.
	connectionsPerTarget: 16,
};
