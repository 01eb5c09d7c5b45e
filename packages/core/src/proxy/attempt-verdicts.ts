import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';

/** What an attempt's result means for the call. */
export type AttemptVerdict = {
	readonly result: ports.GrantResult;
	readonly reason: domain.RefusalReason;
	/** Whether the call was sent to the target. */
	readonly isSent: boolean;
	readonly mayHaveRun: boolean;
};

/** Verdict on an attempt without an answer. */
export const ERROR_VERDICTS: Record<ports.AttemptErrorKind, AttemptVerdict> = {
	[ports.AttemptErrorKind.Unreachable]: {
		result: ports.GrantResult.Unreachable,
		reason: domain.RefusalReason.TargetUnreachable,
		isSent: false,
		mayHaveRun: false,
	},
	[ports.AttemptErrorKind.CancelledUnsent]: {
		result: ports.GrantResult.Unreachable,
		reason: domain.RefusalReason.TargetUnreachable,
		isSent: false,
		mayHaveRun: false,
	},
	[ports.AttemptErrorKind.Broken]: {
		result: ports.GrantResult.Broken,
		reason: domain.RefusalReason.TargetLost,
		isSent: true,
		mayHaveRun: true,
	},
	[ports.AttemptErrorKind.CancelledSent]: {
		result: ports.GrantResult.TimedOut,
		reason: domain.RefusalReason.TargetTimedOut,
		isSent: true,
		mayHaveRun: true,
	},
};

/** Verdict on an attempt with an answer. */
export const ANSWER_VERDICTS: Record<ports.AnswerMeaning, AttemptVerdict> = {
	[ports.AnswerMeaning.Completed]: {
		result: ports.GrantResult.Success,
		reason: domain.RefusalReason.Internal,
		isSent: true,
		mayHaveRun: true,
	},
	[ports.AnswerMeaning.Failed]: {
		result: ports.GrantResult.Failure,
		reason: domain.RefusalReason.TargetLost,
		isSent: true,
		mayHaveRun: true,
	},
	[ports.AnswerMeaning.NotRun]: {
		result: ports.GrantResult.Shed,
		reason: domain.RefusalReason.TargetRefused,
		isSent: true,
		mayHaveRun: false,
	},
	[ports.AnswerMeaning.Replaced]: {
		result: ports.GrantResult.Replaced,
		reason: domain.RefusalReason.TargetRefused,
		isSent: true,
		mayHaveRun: false,
	},
	[ports.AnswerMeaning.Mismatched]: {
		result: ports.GrantResult.Broken,
		reason: domain.RefusalReason.TargetLost,
		isSent: true,
		mayHaveRun: true,
	},
};

/** Refusal reason given to the caller for each refusal by a dispatcher. */
export const GRANT_REFUSAL_REASONS: Record<ports.GrantRefusal, domain.RefusalReason> = {
	[ports.GrantRefusal.NoTarget]: domain.RefusalReason.NoTarget,
	[ports.GrantRefusal.Busy]: domain.RefusalReason.QueueFull,
	[ports.GrantRefusal.NoBudget]: domain.RefusalReason.RateLimited,
	[ports.GrantRefusal.TooLate]: domain.RefusalReason.DeadlineTooShort,
};
