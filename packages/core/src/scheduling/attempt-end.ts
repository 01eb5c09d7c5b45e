import * as groupHealth from '../health/group-health.js';
import * as ports from '../ports/index.js';

/** How an attempt at a target went. */
export enum AttemptEnd {
	Answered = 'answered',
	/** The target answered with a server error. */
	Error = 'error',
	/** The target's status means that it refused the work before doing any. */
	Refused = 'refused',
	/** No byte reached the target. */
	Unreachable = 'unreachable',
	Lost = 'lost',
	TimedOut = 'timed-out',
	/** The caller left. */
	Cancelled = 'cancelled',
	/** The class that lent the slot took it back. */
	Reclaimed = 'reclaimed',
}

/** What an attempt that the target client could not finish counts as. */
export const ENDS_BY_ERROR: Record<ports.TargetErrorKind, AttemptEnd> = {
	[ports.TargetErrorKind.Unreachable]: AttemptEnd.Unreachable,
	[ports.TargetErrorKind.Lost]: AttemptEnd.Lost,
	[ports.TargetErrorKind.Cancelled]: AttemptEnd.Lost,
};

/** What the judgement of targets is told. */
export const HEALTH_RESULTS: Record<AttemptEnd, groupHealth.AttemptResult> = {
	[AttemptEnd.Answered]: groupHealth.AttemptResult.Success,
	[AttemptEnd.Error]: groupHealth.AttemptResult.Error,
	[AttemptEnd.Refused]: groupHealth.AttemptResult.Shed,
	[AttemptEnd.Unreachable]: groupHealth.AttemptResult.Unreachable,
	[AttemptEnd.Lost]: groupHealth.AttemptResult.Lost,
	[AttemptEnd.TimedOut]: groupHealth.AttemptResult.TimedOut,
	[AttemptEnd.Cancelled]: groupHealth.AttemptResult.Cancelled,
	[AttemptEnd.Reclaimed]: groupHealth.AttemptResult.Cancelled,
};
