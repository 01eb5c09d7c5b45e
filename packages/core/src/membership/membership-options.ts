/** Periods and limits of the membership protocol. */
export type MembershipOptions = {
	/** Mean pause between readings of a VM list up to the threshold below, in ms. */
	readonly vmListPeriodMs: number;
	/** Number of listed VMs above which the pause grows. */
	readonly vmListItemThresholdCount: number;
	/** Growth of the pause for each VM beyond the threshold, in ms. */
	readonly vmListMsPerItem: number;
	/** Number of probe rings, and so of peers in its own region that a node probes during a ring period. */
	readonly regionPeerCount: number;
	/** Time between the starts of two probes of one peer in the same region, in ms. */
	readonly probePeriodMs: number;
	/** Mean pause between two probes of members in other regions, in ms. */
	readonly crossRegionPeriodMs: number;
	/** Mean pause between two probes of members that are not alive, in ms. */
	readonly recoveryPeriodMs: number;
	/** Longest wait for a probe's reply, in ms. */
	readonly probeTimeoutMs: number;
	/** Time that a suspect has to refute the suspicion, in ms. */
	readonly suspicionMs: number;
	/** Time after which the rings are reordered, so that every node probes other peers, in ms. */
	readonly ringPeriodMs: number;
	/** Most queued updates in one message, and most missed updates in one reply. */
	readonly updateLimitCount: number;
	/** Time for which an inactive member (leaving, dead or send-only) is kept in the table, in ms. */
	readonly inactiveRetentionMs: number;
	/** Most peers to which a starting or leaving node announces itself at once. */
	readonly announcementCount: number;
};

/**
 * With these values a node of 4,100 stays under 5 KB/s: 0.85 exchanges a second, each update sent log2(nodes) + 2 times.
 * `suspicionMs` exceeds `probePeriodMs`, so peers receive a probe from a suspect that can still send before the
 * suspicion period ends.
 */
export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
	vmListPeriodMs: 1000,
	vmListItemThresholdCount: 256,
	// One listed VM takes about 100 bytes, so 100 ms for each limits the reading to 1 KB/s.
	vmListMsPerItem: 100,
	regionPeerCount: 3,
	probePeriodMs: 4000,
	crossRegionPeriodMs: 10_000,
	recoveryPeriodMs: 10_000,
	probeTimeoutMs: 1000,
	suspicionMs: 6000,
	ringPeriodMs: 60_000,
	updateLimitCount: 16,
	inactiveRetentionMs: 900_000,
	announcementCount: 8,
};
