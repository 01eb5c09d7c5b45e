/** Why an attempt of repeatable work was repeated. Each reason has a counter. */
export enum RetryReason {
	TargetUnreachable = 'target-unreachable',
	TargetRefused = 'target-refused',
	TargetLost = 'target-lost',
	TargetTimedOut = 'target-timed-out',
	TargetError = 'target-error',
	/** The class of work that lent the slot needed it back. */
	SlotReclaimed = 'slot-reclaimed',
	PeerUnreachable = 'peer-unreachable',
	PeerLost = 'peer-lost',
}
