import type {BodyStream, HeaderList} from './call.js';
import type {RefusalReason} from './refusal-reason.js';

/** A caller's request on its way to a target. */
export type ProxiedCall = {
	/** Names this attempt of the caller. */
	readonly requestId: string;
	readonly host: string;
	readonly method: string;
	readonly pathAndQuery: string;
	/** Headers to pass on, without those that concern one connection. */
	readonly headers: HeaderList;
	/** The whole body, or a stream when it is too large to hold. */
	readonly body: Uint8Array | BodyStream | undefined;
	/** Declared length of a streamed body, when known. */
	readonly bodyLengthBytes: number | undefined;
	/** Time that the caller waits, in ms from `receivedAtMs`. */
	readonly deadlineMs: number | undefined;
	/** Monotonic time at which the request's head arrived, in ms. */
	readonly receivedAtMs: number;
};

/** What a target sent in return. */
export type TargetAnswer = {
	readonly status: number;
	readonly headers: HeaderList;
	/** The whole body, or a stream when it is too large to hold; its iteration throws when the answer breaks off. */
	readonly body: Uint8Array | BodyStream;
};

/** How a proxied call ended. */
export enum ProxyOutcome {
	/** A target's own answer, whatever its status. */
	Answered = 'answered',
	/** No target ran the call, and none will. */
	Refused = 'refused',
	/** A target may have run the call, and there is no answer to give. */
	Failed = 'failed',
	/** The caller left before there was an answer. */
	Abandoned = 'abandoned',
}

export type AnsweredEnding = {readonly outcome: ProxyOutcome.Answered; readonly answer: TargetAnswer};

export type RefusedEnding = {
	readonly outcome: ProxyOutcome.Refused;
	readonly reason: RefusalReason;
	/** When the caller may come back, in ms; absent when coming back does not help. */
	readonly retryAfterMs?: number;
};

export type FailedEnding = {readonly outcome: ProxyOutcome.Failed; readonly reason: RefusalReason};

export type AbandonedEnding = {readonly outcome: ProxyOutcome.Abandoned};

export type ProxyEnding = AnsweredEnding | RefusedEnding | FailedEnding | AbandonedEnding;
