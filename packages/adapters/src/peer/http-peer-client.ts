import {Buffer} from 'node:buffer';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as trpcClient from '@trpc/client';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';
import * as zod from 'zod';
import {isConnectError} from '../http/connect-error.js';
import {decodeEnding, encodeForwardedCall, ENDING_HEADER, FORWARDED_CALL_HEADER} from './forwarded-call-codec.js';
import {CONTROL_MESSAGE_LIMIT_BYTES, CONTROL_PATH, FORWARD_PATH} from './peer-app.js';
import {AUTHENTICATION_HEADER, buildAuthenticationContext, REFUSAL_HEADER, type PeerEnvelope} from './peer-envelope.js';
import {PEER_MESSAGE_SCHEMAS} from './peer-message-schemas.js';

export type HttpPeerClientOptions = {
	/** Longest time for opening a connection, in ms. */
	readonly connectTimeoutMs: number;
	/** Largest number of connections to one peer. */
	readonly connectionLimit: number;
	/** How long an idle connection is kept, in ms. */
	readonly keepAliveMs: number;
	/** Largest head of a reply in bytes. */
	readonly headerLimitBytes: number;
};

export const DEFAULT_HTTP_PEER_CLIENT_OPTIONS: HttpPeerClientOptions = {
	connectTimeoutMs: 500,
	connectionLimit: 256,
	keepAliveMs: 30_000,
	headerLimitBytes: 65_536,
};

/** Thrown when a message was not sent, or when a node of the fleet has proved that it had no effect. */
class PeerRefusalError extends Error {
	override readonly name = 'PeerRefusalError';
}

/** Status of the reply to a malformed control message. A peer refuses such a message before any handler runs. */
const BAD_REQUEST_STATUS = 400;

const classifyError = (error: unknown): core.PeerError => ({
	kind:
		error instanceof PeerRefusalError
			? core.PeerErrorKind.Refused
			: isConnectError(error)
				? core.PeerErrorKind.Unreachable
				: core.PeerErrorKind.Lost,
	detail: String(error),
});

/** Bytes of a request head that are reserved for headers other than the head of the forwarded call. */
const RESERVED_HEAD_BYTES = 1024;

const readHeader = (response: undici.Dispatcher.ResponseData, name: string): string | undefined => {
	const value = response.headers[name];
	return typeof value === 'string' ? value : undefined;
};

/** Reads a body as text. Throws when it exceeds the limit, which happens only with a process outside the fleet. */
const readLimitedText = async (body: AsyncIterable<Uint8Array>, limitBytes: number): Promise<string> => {
	const chunks: Uint8Array[] = [];
	let sizeBytes = 0;
	for await (const chunk of body) {
		sizeBytes += chunk.byteLength;
		if (sizeBytes > limitBytes) {
			throw new Error(`the reply is larger than ${limitBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

/** Client for other nodes over HTTP, with one connection pool for each peer. */
export const createHttpPeerClient = (
	envelope: PeerEnvelope,
	given: Partial<HttpPeerClientOptions> = {},
): core.PeerClient & {close(): Promise<void>} => {
	const options = {...DEFAULT_HTTP_PEER_CLIENT_OPTIONS, ...given};
	const agent = new undici.Agent({
		connections: options.connectionLimit,
		pipelining: 1,
		keepAliveTimeout: options.keepAliveMs,
		maxHeaderSize: options.headerLimitBytes,
		headersTimeout: 0,
		bodyTimeout: 0,
		connect: {timeout: options.connectTimeoutMs},
	});

	const isProvenRefusal = (authentication: string, response: undici.Dispatcher.ResponseData): boolean =>
		envelope.openRefusal(authentication, response.statusCode, readHeader(response, REFUSAL_HEADER));

	/** Sends one control message with authentication, and checks that the reply comes from the fleet. */
	const sendControl = async (url: string, body: string, signal: AbortSignal): Promise<Response> => {
		if (Buffer.byteLength(body) > CONTROL_MESSAGE_LIMIT_BYTES) {
			throw new PeerRefusalError(`the message is larger than ${CONTROL_MESSAGE_LIMIT_BYTES} bytes`);
		}

		const {host, pathname, origin} = new URL(url);
		const authentication = envelope.seal(buildAuthenticationContext(host, pathname), body);
		const response = await agent.request({
			origin,
			path: pathname,
			method: 'POST',
			headers: {'content-type': 'application/json', [AUTHENTICATION_HEADER]: authentication},
			body,
			signal,
		});
		const reply = await readLimitedText(response.body, CONTROL_MESSAGE_LIMIT_BYTES);
		const isAuthentic = envelope.openReply(authentication, reply, readHeader(response, AUTHENTICATION_HEADER));
		if (isProvenRefusal(authentication, response) || (isAuthentic && response.statusCode === BAD_REQUEST_STATUS)) {
			throw new PeerRefusalError(`the peer refused the message with status ${response.statusCode}`);
		}

		if (!isAuthentic) {
			throw new Error(`the reply with status ${response.statusCode} is not authenticated`);
		}

		return new Response(reply, {status: response.statusCode, headers: {'content-type': 'application/json'}});
	};

	const createControlClient = (address: string, signal: AbortSignal) =>
		trpcClient.createTRPCUntypedClient({
			links: [
				trpcClient.httpLink({
					url: `http://${address}${CONTROL_PATH}`,
					// The link itself sends no authentication, so the request is sent through the agent.
					fetch: async (input, init) =>
						sendControl(String(input), typeof init?.body === 'string' ? init.body : '', signal),
				}),
			],
		});

	const sendForwardedCall = async (
		address: string,
		{forwarded, head, authentication}: {forwarded: core.ForwardedCall; head: string; authentication: string},
		signal: AbortSignal,
	): Promise<undici.Dispatcher.ResponseData> => {
		const {body, bodyLengthBytes} = forwarded.call;
		return agent.request({
			origin: `http://${address}`,
			path: FORWARD_PATH,
			method: 'POST',
			headers: {
				[FORWARDED_CALL_HEADER]: head,
				[AUTHENTICATION_HEADER]: authentication,
				...(body !== undefined && bodyLengthBytes !== undefined && {'content-length': String(bodyLengthBytes)}),
			},
			body: body as undici.Dispatcher.RequestOptions['body'],
			signal,
		});
	};

	return {
		async request(address, kind, request, signal) {
			try {
				const message = zod.safeEncode(PEER_MESSAGE_SCHEMAS[kind].request, request);
				if (!message.success) {
					throw new PeerRefusalError(`malformed ${kind} message: ${zod.prettifyError(message.error)}`);
				}

				const reply: unknown = await createControlClient(address, signal).mutation(kind, message.data);
				const parsed = PEER_MESSAGE_SCHEMAS[kind].reply.safeParse(reply);
				return parsed.success
					? neverthrow.ok(parsed.data)
					: neverthrow.err({kind: core.PeerErrorKind.Refused, detail: `malformed ${kind} reply`});
			} catch (error) {
				const cause: unknown = error instanceof trpcClient.TRPCClientError ? (error.cause ?? error) : error;
				return neverthrow.err(classifyError(cause));
			}
		},
		async forwardCall(address, forwarded, signal) {
			try {
				const head = encodeForwardedCall(forwarded);
				if (head.length > options.headerLimitBytes - RESERVED_HEAD_BYTES) {
					throw new PeerRefusalError(`the head of the call is larger than ${options.headerLimitBytes} bytes`);
				}

				const authentication = envelope.seal(buildAuthenticationContext(address, FORWARD_PATH), head);
				const response = await sendForwardedCall(address, {forwarded, head, authentication}, signal);
				const endingHead = readHeader(response, ENDING_HEADER) ?? '';
				if (envelope.openReply(authentication, endingHead, readHeader(response, AUTHENTICATION_HEADER))) {
					const ending = decodeEnding(endingHead, response.body);
					if (ending?.outcome !== domain.Outcome.Completed) {
						await response.body.dump();
					}

					if (ending) {
						return neverthrow.ok(ending);
					}
				}

				// An unauthenticated body may be endless, so it is discarded unread.
				response.body.on('error', () => undefined).destroy();
				const isRefused = isProvenRefusal(authentication, response);
				const kind = isRefused ? core.PeerErrorKind.Refused : core.PeerErrorKind.Lost;
				return neverthrow.err({kind, detail: `peer ${address} answered with status ${response.statusCode}`});
			} catch (error) {
				return neverthrow.err(classifyError(error));
			}
		},
		async close() {
			await agent.destroy();
		},
	};
};
