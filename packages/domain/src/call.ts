import type {Outcome} from './outcome.js';
import type {RefusalReason} from './refusal-reason.js';

/** Header names in lower case and their values. A name may occur more than once. */
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>;

/** Streamed body. It is subject to back-pressure and can be read only once. */
export type BodyStream = AsyncIterable<Uint8Array>;

/** A caller's request, independent of the protocol that carried it. */
export type CallRequest = {
	readonly callId: string;
	readonly method: string;
	/** Path without the query. */
	readonly path: string;
	/** Query with its question mark, or the empty string. */
	readonly query: string;
	readonly headers: HeaderList;
	readonly workspace: string;
	/** Absent when the request has no body. */
	readonly body?: BodyStream;
	/** Declared body length in bytes, when known. */
	readonly bodyLengthBytes?: number;
	/** Time the caller is willing to wait, in ms. */
	readonly deadlineMs?: number;
	/** Identifies the operation, for work that runs at most once. */
	readonly operationId?: string;
	/** Key chosen by the caller. Unlike an operation id it identifies no executor. */
	readonly idempotencyKey?: string;
};

/** A target's answer. */
export type Answer = {
	readonly status: number;
	readonly headers: HeaderList;
	/** Iteration throws when the target's answer is cut off, so that the caller never treats it as complete. */
	readonly body: BodyStream;
};

export type CompletedEnding = {
	readonly outcome: Outcome.Completed;
	readonly answer: Answer;
};

export type NotRunEnding = {
	readonly outcome: Outcome.NotRun;
	readonly reason: RefusalReason;
	/** Explanation for the caller: what was wrong and how to correct it. */
	readonly detail: string;
	/** When the caller may try again, in ms; absent when trying again does not help. */
	readonly retryAfterMs?: number;
	/** A new operation id for repeating the request. */
	readonly operationId?: string;
};

export type UnknownEnding = {
	readonly outcome: Outcome.Unknown;
	readonly reason: RefusalReason;
	readonly detail: string;
};

/** How a call ended. */
export type CallEnding = CompletedEnding | NotRunEnding | UnknownEnding;
