/** Settings of the path from callers to targets. */
export type ProxyOptions = {
	/** Earliest and latest time after which a refused caller may come back, in ms. */
	readonly retryAfterMinimumMs: number;
	readonly retryAfterMaximumMs: number;
	/** Tries at targets that could not be reached, which do not count as attempts. */
	readonly unreachableLimit: number;
	/** An attempt at repeatable work is given up after this many times the usual duration, while another fits. */
	readonly slowAttemptFactor: number;
	/** Share of the remaining time after which a slow attempt at repeatable work is given up at the latest. */
	readonly slowAttemptRatio: number;
	/** Connections that one node may open to one target. */
	readonly connectionsPerTarget: number;
};

export const DEFAULT_PROXY_OPTIONS: ProxyOptions = {
	retryAfterMinimumMs: 100,
	retryAfterMaximumMs: 2000,
	unreachableLimit: 3,
	// Work takes up to twice its mean but for 3 in 100 calls, which take seven times as long.
	slowAttemptFactor: 4,
	slowAttemptRatio: 0.6,
	// More than the slots of any target; the dispatcher bounds the calls, this bounds a fault.
	connectionsPerTarget: 16,
};
