/** What one attempt at a target showed. */
export enum AttemptResult {
	/** The target answered well. */
	Success = 'success',
	/** The target answered with a server error. */
	Error = 'error',
	/** The target shed load. This is back-pressure and not sickness. */
	Shed = 'shed',
	/** No connection could be opened. */
	Unreachable = 'unreachable',
	/** The connection broke before the whole answer had arrived. */
	Lost = 'lost',
	/** The time for the attempt was up. */
	TimedOut = 'timed-out',
	/** The caller went away, which says nothing about the target. */
	Cancelled = 'cancelled',
}

/** What counts for or against a target. All but `Good` are reasons for an ejection and labels of its counter. */
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

/** Sign of each failed result. Absent: the result says nothing about the target's health. */
export const FAILURE_SIGNS: Readonly<Partial<Record<AttemptResult, HealthSign>>> = {
	[AttemptResult.Error]: HealthSign.Errors,
	[AttemptResult.Unreachable]: HealthSign.Unreachable,
	[AttemptResult.Lost]: HealthSign.ConnectionsLost,
	[AttemptResult.TimedOut]: HealthSign.TimeOuts,
};
