import type * as domain from '@bilberrydoor/domain';
import type * as neverthrow from 'neverthrow';

export enum AttemptErrorKind {
	/** No byte of the call reached the target. */
	Unreachable = 'unreachable',
	/** The call was sent, and then the connection broke or the target sent bytes that are not a valid answer. */
	Broken = 'broken',
	/** The attempt was cancelled before the call was sent. */
	CancelledUnsent = 'cancelled-unsent',
	/** The attempt was cancelled after the call was sent. */
	CancelledSent = 'cancelled-sent',
}

/** What the head of an answer says about the target itself, whatever the answer means for the call. */
export type TargetAnnouncement = {
	/** Whether the target is leaving and wants no new calls. */
	readonly isLeaving: boolean;
	/** Present if the target refused the call and asked this node to send it nothing for a while. */
	readonly pause?: {
		/** Requested time as the target sent it, for the log. */
		readonly text: string;
		/** The requested time in ms; not a number if the text is none. May be negative or without end. */
		readonly requestedMs: number;
	};
};

export type AttemptError = {
	readonly kind: AttemptErrorKind;
	readonly detail: string;
	/** Present if the answer broke off after a head that says something about the target. */
	readonly announcement?: TargetAnnouncement;
};

/** How an answer is interpreted. */
export enum AnswerMeaning {
	/** The target ran the call and answered with a success, a redirect or a client error. */
	Completed = 'completed',
	/** The target ran the call and failed. */
	Failed = 'failed',
	/** The target reports that it did not run the call. */
	NotRun = 'not-run',
	/** Another process listens on the target's address and did not run the call. */
	Replaced = 'replaced',
	/** The answer does not belong to this call. */
	Mismatched = 'foreign',
}

export type AttemptAnswer = {
	readonly meaning: AnswerMeaning;
	readonly answer: domain.TargetAnswer;
	readonly announcement?: TargetAnnouncement;
};

export type FleetAttempt = {
	readonly call: domain.ProxiedCall;
	readonly target: domain.RegisteredTarget;
	/** Time left for the target to answer, in ms. */
	readonly remainingMs: number;
	/** Connections that this node may open to the target. */
	readonly connectionLimit: number;
	/**
	 * Whether the attempt needs a connection that has carried no earlier attempt of this call. Answers name the call and not the
	 * attempt, so a late copy of an earlier answer could not be told from the answer to this attempt.
	 */
	readonly needsNewConnection: boolean;
};

/** Sends calls to targets. */
export type FleetTargetClient = {
	send(attempt: FleetAttempt, signal: AbortSignal): Promise<neverthrow.Result<AttemptAnswer, AttemptError>>;
};
