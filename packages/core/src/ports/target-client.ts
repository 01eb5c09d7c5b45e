import type * as domain from '@bilberrydoor/domain';
import type * as neverthrow from 'neverthrow';

export enum TargetErrorKind {
	/** No byte of the request reached the target. */
	Unreachable = 'unreachable',
	/** The connection broke after the request may have arrived. */
	Lost = 'lost',
	/** The attempt was cancelled through its signal after the request may have arrived. */
	Cancelled = 'cancelled',
}

export type TargetError = {
	readonly kind: TargetErrorKind;
	readonly detail: string;
};

/** One attempt at a target. */
export type TargetRequest = {
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
	): Promise<neverthrow.Result<domain.Answer, TargetError>>;
	/** Requests the target's health endpoint. Its answer may be outdated, so it only confirms evidence from calls. */
	probe(target: domain.TargetEntry, signal: AbortSignal): Promise<neverthrow.Result<TargetHealth, TargetError>>;
};

/** Health that a target reports about itself. */
export type TargetHealth = {
	readonly isReady: boolean;
	readonly isLeaving: boolean;
};
