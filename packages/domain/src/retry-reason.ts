/** Why an attempt of repeatable work was repeated. Each reason has a counter. */
export enum RetryReason {
	TargetUnreachable = 'target-unreachable',
	TargetRefused = 'target-refused',
	TargetLost = 'target-lost',
	TargetTimedOut = 'target-timed-out',
	TargetError = 'target-error',
	/** The slot was borrowed from another class of work, which reclaimed it. */
	SlotReclaimed = 'slot-reclaimed',
	/** One group refused the call, and it was sent to another group of the service. */
	GroupRefused = 'group-refused',
	PeerUnreachable = 'peer-unreachable',
	PeerLost = 'peer-lost',
}
