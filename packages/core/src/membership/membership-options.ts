/** Periods and bounds of membership. */
export type MembershipOptions = {
	/** Shortest pause between readings of the VM list, in ms. */
	readonly vmListPeriodMs: number;
	/** Listed VMs beyond which the pause grows. */
	readonly vmListItemThresholdCount: number;
	/** Growth of the pause for each VM beyond the threshold, in ms. */
	readonly vmListMsPerItem: number;
	/** Peers of the node's own region that it probes at a time. */
	readonly regionPeerCount: number;
	/** Pause between two probes of one peer in the same region, in ms. */
	readonly probePeriodMs: number;
	/** Pause between two probes across regions, in ms. */
	readonly crossRegionPeriodMs: number;
	/** Pause between two probes of members that are not alive, in ms. */
	readonly recoveryPeriodMs: number;
	/** Longest wait for a probe's reply, in ms. */
	readonly probeTimeoutMs: number;
	/** How long a suspect has to refute, in ms. */
	readonly suspicionMs: number;
	/** Time after which every node exchanges its probed peers, in ms. */
	readonly ringPeriodMs: number;
	/** Updates in one message. */
	readonly updateLimitCount: number;
	/** How long a member that is gone is remembered, in ms. */
	readonly forgetMs: number;
	/** Peers that a leaving node tells at once. */
	readonly announcementCount: number;
};

/**
 * Chosen for 5 KB a second at 4,100 nodes: 0.85 exchanges a second, and each update repeated log2(nodes) + 2 times.
 * `suspicionMs` exceeds `probePeriodMs`, so a suspect that can still send is heard by its peers within the suspicion.
 */
export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
	vmListPeriodMs: 1000,
	vmListItemThresholdCount: 256,
	// One listed VM takes about 100 bytes, so 100 ms for each keeps the reading at 1 KB a second.
	vmListMsPerItem: 100,
	regionPeerCount: 3,
	probePeriodMs: 4000,
	crossRegionPeriodMs: 10_000,
	recoveryPeriodMs: 10_000,
	probeTimeoutMs: 1000,
	suspicionMs: 6000,
	ringPeriodMs: 60_000,
	updateLimitCount: 16,
	forgetMs: 900_000,
	announcementCount: 8,
};
