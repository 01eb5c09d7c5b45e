import type * as domain from '@bilberrydoor/domain';
import type * as neverthrow from 'neverthrow';

export enum AttemptErrorKind {
	/** No byte of the call reached the target. */
	Unreachable = 'unreachable',
	/** The call was sent, and the connection broke or brought bytes that are no answer. */
	Broken = 'broken',
	/** The attempt was cancelled before the call was sent. */
	CancelledUnsent = 'cancelled-unsent',
	/** The attempt was cancelled after the call was sent. */
	CancelledSent = 'cancelled-sent',
}

export type AttemptError = {readonly kind: AttemptErrorKind; readonly detail: string};

/** What an answer says about the call. */
export enum AnswerMeaning {
	/** The target ran the call and answered with a success or a redirect or a caller's error. */
	Completed = 'completed',
	/** The target ran the call and failed. */
	Failed = 'failed',
	/** The target says that it did not run the call. */
	NotRun = 'not-run',
	/** Another process has the address and did not run the call. */
	Replaced = 'replaced',
	/** The answer is not one to this call. */
	Foreign = 'foreign',
}

export type AttemptAnswer = {readonly meaning: AnswerMeaning; readonly answer: domain.TargetAnswer};

export type FleetAttempt = {
	readonly call: domain.ProxiedCall;
	readonly target: domain.RegisteredTarget;
	/** Time left for the target, in ms. */
	readonly remainingMs: number;
	/** Connections that this node may open to the target. */
	readonly connectionLimit: number;
};

/** Sends calls to targets. */
export type FleetTargetClient = {
	send(attempt: FleetAttempt, signal: AbortSignal): Promise<neverthrow.Result<AttemptAnswer, AttemptError>>;
};
