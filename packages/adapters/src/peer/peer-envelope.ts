import type * as core from '@bilberrydoor/core';
import * as neverthrow from 'neverthrow';

/** Version of the protocol between nodes. */
export const PEER_PROTOCOL_VERSION = 1;

export const AUTHENTICATION_HEADER = 'bilberrydoor-authentication';

/** Largest accepted difference between the send time of a message and the clock of its receiver, in ms. */
const TIME_WINDOW_MS = 30_000;

/** Header with the proof that a node of the fleet refused a message before any effect. */
export const REFUSAL_HEADER = 'bilberrydoor-refusal';

export enum EnvelopeErrorKind {
	WrongVersion = 'wrong-version',
	WrongKey = 'wrong-key',
	OutsideWindow = 'outside-window',
	Replayed = 'replayed',
}

export type EnvelopeError = {readonly kind: EnvelopeErrorKind; readonly detail: string};

/**
 * Whether refusing a message proves that it had no effect. A message that is altered, delayed or repeated in transit is
 * refused too, although the receiver may have accepted the original.
 */
export const IS_PROOF_OF_NO_EFFECT: Record<EnvelopeErrorKind, boolean> = {
	[EnvelopeErrorKind.WrongVersion]: true,
	[EnvelopeErrorKind.WrongKey]: false,
	[EnvelopeErrorKind.OutsideWindow]: false,
	[EnvelopeErrorKind.Replayed]: false,
};

/** Binds a message to its receiver and path, so that no other node accepts it. */
export const buildAuthenticationContext = (receiverAddress: string, path: string): string =>
	`${receiverAddress} ${path}`;

/** Authenticates messages between nodes: HMAC over time, nonce, context and content. */
export type PeerEnvelope = {
	/** Returns the value of the authentication header. */
	seal(context: string, content: string): string;
	/** Checks a header. Each nonce is accepted once within the time window. */
	open(context: string, content: string, header: string | undefined): neverthrow.Result<string, EnvelopeError>;
	/** Returns the value of the authentication header of a reply, bound to the request's authentication header. */
	sealReply(requestHeader: string, content: string): string;
	openReply(requestHeader: string, content: string, header: string | undefined): boolean;
	/** Returns the proof that the request had no effect, bound to the request's authentication header. */
	sealRefusal(requestHeader: string, status: number): string;
	openRefusal(requestHeader: string, status: number, header: string | undefined): boolean;
};

/**
 * Creates a function that registers a nonce and returns whether it is new. Nonces are kept for at least twice the time
 * window: a message from a clock that is ahead stays acceptable for that long. There are two generations of nonces, so that
 * expired ones are dropped without a scan.
 */
const createNonceCache = (clock: core.Clock) => {
	let recent = new Set<string>();
	let older = new Set<string>();
	let rotatedAtMs = clock.monotonicMs();
	return (nonce: string): boolean => {
		const nowMs = clock.monotonicMs();
		if (nowMs - rotatedAtMs > 2 * TIME_WINDOW_MS) {
			older = recent;
			recent = new Set();
			rotatedAtMs = nowMs;
		}

		const isNew = !recent.has(nonce) && !older.has(nonce);
		recent.add(nonce);
		return isNew;
	};
};

export const createPeerEnvelope = (ports: {
	authenticator: core.Authenticator;
	clock: core.Clock;
	random: core.Random;
}): PeerEnvelope => {
	const {authenticator, clock, random} = ports;
	const registerNonce = createNonceCache(clock);
	const joinText = (...parts: readonly string[]): string => parts.join('\n');

	const fail = (kind: EnvelopeErrorKind, detail: string) => neverthrow.err({kind, detail});

	return {
		seal(context, content) {
			const time = String(Math.floor(clock.wallMs()));
			const nonce = random.token();
			const mac = authenticator.sign(joinText(String(PEER_PROTOCOL_VERSION), context, time, nonce, content));
			return [PEER_PROTOCOL_VERSION, time, nonce, mac].join('.');
		},
		open(context, content, header) {
			const [version = '', time = '', nonce = '', mac = ''] = (header ?? '').split('.');
			if (version !== String(PEER_PROTOCOL_VERSION)) {
				return fail(
					EnvelopeErrorKind.WrongVersion,
					`protocol version must be ${PEER_PROTOCOL_VERSION}, got "${version}"`,
				);
			}

			if (!authenticator.verify(joinText(version, context, time, nonce, content), mac)) {
				return fail(EnvelopeErrorKind.WrongKey, 'the authentication code does not match the fleet key');
			}

			if (!(Math.abs(clock.wallMs() - Number(time)) <= TIME_WINDOW_MS)) {
				return fail(EnvelopeErrorKind.OutsideWindow, `the message is outside the time window of ${TIME_WINDOW_MS} ms`);
			}

			return registerNonce(nonce)
				? neverthrow.ok(nonce)
				: fail(EnvelopeErrorKind.Replayed, 'the message has been received before');
		},
		sealReply: (requestHeader, content) => authenticator.sign(joinText('reply', requestHeader, content)),
		openReply: (requestHeader, content, header) =>
			header !== undefined && authenticator.verify(joinText('reply', requestHeader, content), header),
		sealRefusal: (requestHeader, status) => authenticator.sign(joinText('refusal', requestHeader, String(status))),
		openRefusal: (requestHeader, status, header) =>
			header !== undefined && authenticator.verify(joinText('refusal', requestHeader, String(status)), header),
	};
};
