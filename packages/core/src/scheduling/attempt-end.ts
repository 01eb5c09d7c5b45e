import * as groupHealth from '../health/group-health.js';
import * as ports from '../ports/index.js';

/** How an attempt at a target ended. */
export enum AttemptEnd {
	Answered = 'answered',
	/** The target answered with a server error. */
	Error = 'error',
	/** The target's status means that it refused the work before doing any, and the answer names the attempt. */
	Refused = 'refused',
	/** As `Refused`, but the answer names no attempt, so it may be a copy of the refusal of another one. */
	UnconfirmedRefusal = 'unconfirmed-refusal',
	/** No byte reached the target. */
	Unreachable = 'unreachable',
	Lost = 'lost',
	TimedOut = 'timed-out',
	/** The caller cancelled the call. */
	Cancelled = 'cancelled',
	/** The borrowed slot was reclaimed for the class of work that lent it. */
	Reclaimed = 'reclaimed',
}

/** Ends by a refusal, which is not passed to the caller as the target's answer. */
export const REFUSED_ENDS: ReadonlySet<AttemptEnd> = new Set([AttemptEnd.Refused, AttemptEnd.UnconfirmedRefusal]);

/**
 * Ends of attempts that failed with an error of the target client. An attempt that was stopped ends with the cause
 * of the stop instead.
 */
export const ENDS_BY_ERROR: Record<ports.TargetErrorKind, AttemptEnd> = {
	[ports.TargetErrorKind.Unreachable]: AttemptEnd.Unreachable,
	[ports.TargetErrorKind.Lost]: AttemptEnd.Lost,
	[ports.TargetErrorKind.Cancelled]: AttemptEnd.Lost,
	[ports.TargetErrorKind.Mismatched]: AttemptEnd.Lost,
};

/** Results that are reported to the health tracking of targets. */
export const HEALTH_RESULTS_BY_END: Record<AttemptEnd, groupHealth.AttemptResult> = {
	[AttemptEnd.Answered]: groupHealth.AttemptResult.Success,
	[AttemptEnd.Error]: groupHealth.AttemptResult.Error,
	[AttemptEnd.Refused]: groupHealth.AttemptResult.Shed,
	[AttemptEnd.UnconfirmedRefusal]: groupHealth.AttemptResult.Shed,
	[AttemptEnd.Unreachable]: groupHealth.AttemptResult.Unreachable,
	[AttemptEnd.Lost]: groupHealth.AttemptResult.Lost,
	[AttemptEnd.TimedOut]: groupHealth.AttemptResult.TimedOut,
	[AttemptEnd.Cancelled]: groupHealth.AttemptResult.Cancelled,
	[AttemptEnd.Reclaimed]: groupHealth.AttemptResult.Cancelled,
};
