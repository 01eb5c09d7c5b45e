import type * as domain from '@bilberrydoor/domain';
import type * as neverthrow from 'neverthrow';

export enum TargetErrorKind {
	/** No byte of the request reached the target. */
	Unreachable = 'unreachable',
	/** The connection broke after the request may have arrived. */
	Lost = 'lost',
	/** The attempt was cancelled through its signal after the request may have arrived. */
	Cancelled = 'cancelled',
	/** The answer names another attempt. The request was sent, and its connection is closed. */
	Mismatched = 'mismatched',
}

export type TargetError = {
	readonly kind: TargetErrorKind;
	readonly detail: string;
};

/** Whether an answer belongs to the request that waits for one on its connection. */
export enum AnswerMatch {
	/** The answer names the attempt. */
	Confirmed = 'confirmed',
	/** The answer names no attempt, so only its position on the connection assigns it to one. */
	Unconfirmed = 'unconfirmed',
	/** The answer names another attempt. */
	Mismatched = 'mismatched',
}

/** Compares the attempt that an answer names with the attempt that waits for it. */
export const matchAnswer = (attemptId: string, answeredAttemptId: string | undefined): AnswerMatch => {
	if (answeredAttemptId === undefined) {
		return AnswerMatch.Unconfirmed;
	}

	return answeredAttemptId === attemptId ? AnswerMatch.Confirmed : AnswerMatch.Mismatched;
};

/** A target's answer to an attempt. */
export type MatchedAnswer = domain.Answer & {
	/** Whether the answer names the attempt. If not, it may be the answer to an earlier request on its connection. */
	readonly isConfirmed: boolean;
};

/** One attempt at a target. */
export type TargetRequest = {
	/** Unique to this attempt. Targets are asked to repeat it in their answers. */
	readonly attemptId: string;
	readonly method: string;
	/** Path and query. */
	readonly pathAndQuery: string;
	readonly headers: domain.HeaderList;
	readonly body?: domain.BodyStream;
	readonly bodyLengthBytes?: number;
	/** Time left for the work, in ms. It is sent to the target. */
	readonly remainingMs: number;
};

/** Sends single attempts. Aborting the signal destroys the connection instead of returning it to the pool. */
export type TargetClient = {
	/**
	 * Resolves when the head of the answer has arrived. The body throws while it is read when the answer is cut off or
	 * `signal` is aborted.
	 */
	send(
		target: domain.TargetEntry,
		request: TargetRequest,
		signal: AbortSignal,
	): Promise<neverthrow.Result<MatchedAnswer, TargetError>>;
	/** Requests the target's health endpoint. Its answer may be outdated, so it only confirms evidence from calls. */
	probe(
		target: domain.TargetEntry,
		attemptId: string,
		signal: AbortSignal,
	): Promise<neverthrow.Result<TargetHealth, TargetError>>;
};

/** Health that a target reports about itself. */
export type TargetHealth = {
	readonly isReady: boolean;
	readonly isLeaving: boolean;
};
