/** Result of one attempt at a target. */
export enum AttemptResult {
	/** The target answered without a server error. */
	Success = 'success',
	/** The target answered with a server error. */
	Error = 'error',
	/** The target shed load. This is back-pressure and does not count against its health. */
	Shed = 'shed',
	/** No connection could be opened. */
	Unreachable = 'unreachable',
	/** The connection broke before the head of the answer had arrived. */
	Lost = 'lost',
	/** The attempt exceeded its time limit. */
	TimedOut = 'timed-out',
	/** The caller cancelled the call, so the attempt is no evidence about the target. */
	Cancelled = 'cancelled',
}

/** Evidence about a target's health. All but `Good` are reasons for an ejection and labels of its counter. */
export enum HealthSign {
	Good = 'good',
	Errors = 'errors',
	Unreachable = 'unreachable',
	ConnectionsLost = 'connections-lost',
	TimeOuts = 'time-outs',
	/** An answer that took much longer than the group's answers for its class of work. */
	Latency = 'latency',
	/** Work in flight that has taken much longer than the group's answers for its class of work. */
	Overdue = 'overdue',
}

/** Sign of each failed result. Results without an entry are no evidence about the target's health. */
export const FAILURE_SIGNS: Readonly<Partial<Record<AttemptResult, HealthSign>>> = {
	[AttemptResult.Error]: HealthSign.Errors,
	[AttemptResult.Unreachable]: HealthSign.Unreachable,
	[AttemptResult.Lost]: HealthSign.ConnectionsLost,
	[AttemptResult.TimedOut]: HealthSign.TimeOuts,
};
