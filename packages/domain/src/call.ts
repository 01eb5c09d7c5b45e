import type {Outcome} from './outcome.js';
import type {RefusalReason} from './refusal-reason.js';

/** Header names in lower case and their values. A name may occur more than once. */
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>;

/** Streamed body. Reading it applies back-pressure; it can be read once. */
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
	/** Names the operation for work that runs at most once. */
	readonly operationId?: string;
	/** The caller's own key, which names no executor. */
	readonly idempotencyKey?: string;
};

/** A target's answer. */
export type Answer = {
	readonly status: number;
	readonly headers: HeaderList;
	/** Iteration throws when the target's answer breaks off, so that the caller never takes it for complete. */
	readonly body: BodyStream;
};

export type CompletedEnding = {
	readonly outcome: Outcome.Completed;
	readonly answer: Answer;
};

export type NotRunEnding = {
	readonly outcome: Outcome.NotRun;
	readonly reason: RefusalReason;
	/** What was wrong and what would be right, for the caller. */
	readonly detail: string;
	/** When the caller may try again, in ms; absent when trying again does not help. */
	readonly retryAfterMs?: number;
	/** A fresh operation id to repeat the request with. */
	readonly operationId?: string;
};

export type UnknownEnding = {
	readonly outcome: Outcome.Unknown;
	readonly reason: RefusalReason;
	readonly detail: string;
};

/** How a call ended. */
export type CallEnding = CompletedEnding | NotRunEnding | UnknownEnding;
