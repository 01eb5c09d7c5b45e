/** The bound on a workspace's calls in any window, and the times of the leases. */
export type QuotaOptions = {
	/** Length of the windows in which calls are bounded, in ms. */
	readonly windowMs: number;
	/** Share of the calls that a window allows by rate and burst that may be made beyond them. */
	readonly overrunRatio: number;
	/** Calls that may be made in a window beyond rate, burst and overrun. */
	readonly slackCount: number;
	/** Lifetime of leased tokens, in ms. */
	readonly leaseMs: number;
	/** Lifetime of tokens that calls wait for, in ms. */
	readonly immediateLeaseMs: number;
	/** Longest time that a call waits for tokens when its node has none, in ms. */
	readonly waitLimitMs: number;
};

export const DEFAULT_QUOTA_OPTIONS: QuotaOptions = {
	windowMs: 5000,
	overrunRatio: 0.1,
	slackCount: 20,
	// A stopped holder's tokens are in use for this time at most, and its successor issues none before.
	leaseMs: 1000,
	// Longer than any reply is waited for. A longer lifetime would keep used tokens from being replaced until it ends.
	immediateLeaseMs: 100,
	// Two round trips between regions, of 40 ms each, and one to each holder of the region.
	waitLimitMs: 120,
};
