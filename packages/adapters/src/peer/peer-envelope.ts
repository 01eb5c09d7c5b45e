import type * as core from '@bilberrydoor/core';
import * as neverthrow from 'neverthrow';

/** Version of the protocol between nodes. */
export const PEER_PROTOCOL_VERSION = 1;

export const AUTHENTICATION_HEADER = 'bilberrydoor-authentication';

/** Largest difference between the clocks of two nodes, in ms. */
const TIME_WINDOW_MS = 30_000;

/**
 * Refusal of a message whose nonce is known. Unlike the other refusals it proves nothing about the call: the earlier copy
 * may have been handled.
 */
export const REPLAY_REFUSAL = 'the message has been received before';

/** Authenticates messages between nodes: HMAC over time, nonce, purpose and content. */
export type PeerEnvelope = {
	/** Value of the authentication header. */
	seal(purpose: string, content: string): string;
	/** Checks a header. Each nonce is accepted once within the time window. */
	open(purpose: string, content: string, header: string | undefined): neverthrow.Result<string, string>;
	/** Value for a reply, bound to the request's authentication header. */
	sealReply(requestHeader: string, content: string): string;
	openReply(requestHeader: string, content: string, header: string | undefined): boolean;
};

/** Remembers nonces for at least the time window, in two generations, so that forgetting costs nothing. */
const createNonceMemory = (clock: core.Clock) => {
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
	const rememberNonce = createNonceMemory(clock);
	const joinText = (...parts: readonly string[]): string => parts.join('\n');

	return {
		seal(purpose, content) {
			const time = String(Math.floor(clock.wallMs()));
			const nonce = random.token();
			const mac = authenticator.sign(joinText(String(PEER_PROTOCOL_VERSION), purpose, time, nonce, content));
			return [PEER_PROTOCOL_VERSION, time, nonce, mac].join('.');
		},
		open(purpose, content, header) {
			const [version = '', time = '', nonce = '', mac = ''] = (header ?? '').split('.');
			if (version !== String(PEER_PROTOCOL_VERSION)) {
				return neverthrow.err(`protocol version must be ${PEER_PROTOCOL_VERSION}, got "${version}"`);
			}

			if (!authenticator.verify(joinText(version, purpose, time, nonce, content), mac)) {
				return neverthrow.err('the authentication code does not match the fleet key');
			}

			if (!(Math.abs(clock.wallMs() - Number(time)) <= TIME_WINDOW_MS)) {
				return neverthrow.err(`the message is outside the time window of ${TIME_WINDOW_MS} ms`);
			}

			return rememberNonce(nonce) ? neverthrow.ok(nonce) : neverthrow.err(REPLAY_REFUSAL);
		},
		sealReply: (requestHeader, content) => authenticator.sign(joinText('reply', requestHeader, content)),
		openReply: (requestHeader, content, header) =>
			header !== undefined && authenticator.verify(joinText('reply', requestHeader, content), header),
	};
};
