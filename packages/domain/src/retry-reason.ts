/** Why an attempt of repeatable work was repeated. Each reason has a counter. */
export enum RetryReason {
	TargetUnreachable = 'target-unreachable',
	TargetRefused = 'target-refused',
	TargetLost = 'target-lost',
	TargetTimedOut = 'target-timed-out',
	TargetError = 'target-error',
	PeerUnreachable = 'peer-unreachable',
	PeerLost = 'peer-lost',
}
