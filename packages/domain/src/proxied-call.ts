import type {BodyStream, HeaderList} from './call.js';
import type {RefusalReason} from './refusal-reason.js';

/** A request body that arrives while it is sent. The call owns it, and each attempt opens a reader of its own. */
export type CallBody = {
	/** Whether a new reader gets every byte from the first one. */
	canOpen(): boolean;
	/**
	 * Opens a reader from the first byte; earlier readers throw from then on. Its iteration ends only after the whole body of
	 * the caller, and throws if there is no such end, or if the body cannot be opened.
	 */
	open(): BodyStream;
	/** Whether the caller's body broke off, is too long, or has another length than announced. */
	isBroken(): boolean;
};

/** A caller's request on its way to a target. */
export type ProxiedCall = {
	/** Identifies this request of the caller. */
	readonly requestId: string;
	readonly host: string;
	readonly method: string;
	readonly pathAndQuery: string;
	/** Headers to forward, without hop-by-hop headers. */
	readonly headers: HeaderList;
	/** The whole body, or one that is still arriving when it is too large to buffer. */
	readonly body: Uint8Array | CallBody | undefined;
	/** Length of an arriving body that the caller announced, in bytes. */
	readonly bodyLengthBytes: number | undefined;
	/** Deadline of the caller, in ms after `receivedAtMs`. */
	readonly deadlineMs: number | undefined;
	/** Monotonic time at which the request's head arrived, in ms. */
	readonly receivedAtMs: number;
	/** Workspace of the caller's key; absent if the call needs no key and has none. */
	readonly workspace?: string;
	/** Whether the caller sent the request before the answers ahead of it on its connection. */
	readonly isSentAhead?: boolean;
};

/** What a caller presents to identify its workspace. */
export enum CredentialKind {
	/** No key. */
	Absent = 'absent',
	/** Something that is not exactly one key of the expected form. */
	Malformed = 'malformed',
	/** A key, which may be unknown. */
	Key = 'key',
}

export type CallerCredential =
	| {readonly kind: CredentialKind.Absent | CredentialKind.Malformed}
	| {readonly kind: CredentialKind.Key; /** SHA-256 digest of the key, in hexadecimal. */ readonly digest: string};

/** The parts of a call that are known when its head has arrived. */
export type CallHead = Pick<ProxiedCall, 'requestId' | 'host' | 'pathAndQuery' | 'receivedAtMs' | 'deadlineMs'> & {
	/** Computes a digest, so it is called only when the catalogue asks for keys. */
	readonly readCredential: () => CallerCredential;
};

/** A target's answer to a proxied call. */
export type TargetAnswer = {
	readonly status: number;
	readonly headers: HeaderList;
	/** The whole body, or a stream when it is too large to buffer. Iteration throws when the answer is cut off. */
	readonly body: Uint8Array | BodyStream;
};

/** How a proxied call ended. */
export enum ProxyOutcome {
	/** A target answered, with any status. */
	Answered = 'answered',
	/** No target ran the call, and none will. */
	Refused = 'refused',
	/** A target may have run the call, but there is no answer to return. */
	Failed = 'failed',
	/** The caller disconnected before there was an answer. */
	Abandoned = 'abandoned',
}

export type AnsweredEnding = {readonly outcome: ProxyOutcome.Answered; readonly answer: TargetAnswer};

export type RefusedEnding = {
	readonly outcome: ProxyOutcome.Refused;
	readonly reason: RefusalReason;
	/** Time after which the caller may try again, in ms; absent when trying again does not help. */
	readonly retryAfterMs?: number;
};

export type FailedEnding = {readonly outcome: ProxyOutcome.Failed; readonly reason: RefusalReason};

export type AbandonedEnding = {readonly outcome: ProxyOutcome.Abandoned};

export type ProxyEnding = AnsweredEnding | RefusedEnding | FailedEnding | AbandonedEnding;
