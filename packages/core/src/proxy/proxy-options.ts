/** Settings of the proxy between callers and targets. */
export type ProxyOptions = {
	/** Bounds of the `Retry-After` time of refused calls, in ms. Jitter is added before the upper bound is applied. */
	readonly retryAfterMinimumMs: number;
	readonly retryAfterMaximumMs: number;
	/** Unreachable targets after which a call gets no further attempt; they do not count towards its attempt limit. */
	readonly unreachableLimit: number;
	/** An attempt at repeatable work is slow after this many times the route's mean duration, and may then be replaced. */
	readonly slowAttemptFactor: number;
	/** Fraction of the latency objective before which no attempt counts as slow. */
	readonly slowAttemptObjectiveRatio: number;
	/** Connections that one node may open to one target. */
	readonly connectionsPerTarget: number;
};

export const DEFAULT_PROXY_OPTIONS: ProxyOptions = {
	retryAfterMinimumMs: 100,
	retryAfterMaximumMs: 2000,
	unreachableLimit: 3,
	// 97 in 100 calls take up to twice the mean duration; the others take seven times as long.
	slowAttemptFactor: 4,
	// Waiting up to this time costs the caller less than a second run costs the targets.
	slowAttemptObjectiveRatio: 0.3,
	// More than the slots of any target. The dispatcher limits the calls; this limits the connections in case of a fault.
	connectionsPerTarget: 16,
};
