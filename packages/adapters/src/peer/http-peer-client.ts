import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as trpcClient from '@trpc/client';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';
import {isConnectError} from '../http/connect-error.js';
import {decodeEnding, encodeForwardedCall, ENDING_HEADER, FORWARDED_CALL_HEADER} from './forwarded-call-codec.js';
import {CONTROL_PATH, FORWARD_PATH} from './peer-app.js';
import {AUTHENTICATION_HEADER, type PeerEnvelope} from './peer-envelope.js';
import {PEER_MESSAGE_SCHEMAS, PEER_REQUEST_ENCODERS} from './peer-message-schemas.js';

export type HttpPeerClientOptions = {
	/** Longest time for opening a connection, in ms. */
	readonly connectTimeoutMs: number;
	/** Connections to one peer. */
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

/** Statuses with which a peer refuses a call before it is handled. 409, for a repeated message, is not one of them. */
const REFUSED_STATUSES = new Set([400, 401, 410]);

const classifyError = (error: unknown): core.PeerError => ({
	kind: isConnectError(error) ? core.PeerErrorKind.Unreachable : core.PeerErrorKind.Lost,
	detail: String(error),
});

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

	/** Sends one control message with authentication, and checks that the reply comes from the fleet. */
	const sendControl = async (url: string, body: string, signal: AbortSignal): Promise<Response> => {
		const {pathname} = new URL(url);
		const authentication = envelope.seal(pathname, body);
		const response = await agent.request({
			origin: new URL(url).origin,
			path: pathname,
			method: 'POST',
			headers: {'content-type': 'application/json', [AUTHENTICATION_HEADER]: authentication},
			body,
			signal,
		});
		const reply = await response.body.text();
		const replyMac = response.headers[AUTHENTICATION_HEADER] as string | undefined;
		if (!envelope.openReply(authentication, reply, replyMac)) {
			throw new Error(`the reply with status ${response.statusCode} is not authenticated`);
		}

		return new Response(reply, {status: response.statusCode, headers: {'content-type': 'application/json'}});
	};

	const createControlClient = (address: string, signal: AbortSignal) =>
		trpcClient.createTRPCUntypedClient({
			links: [
				trpcClient.httpLink({
					url: `http://${address}${CONTROL_PATH}`,
					// The link's own fetch options carry no authentication, so the request goes through the agent.
					fetch: async (input, init) =>
						sendControl(String(input), typeof init?.body === 'string' ? init.body : '', signal),
				}),
			],
		});

	return {
		async request(address, kind, request, signal) {
			try {
				const content = PEER_REQUEST_ENCODERS[kind]?.(request) ?? request;
				const reply: unknown = await createControlClient(address, signal).mutation(kind, content);
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
				const authentication = envelope.seal(FORWARD_PATH, head);
				const {body, bodyLengthBytes} = forwarded.call;
				const response = await agent.request({
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
				const endingHead = String(response.headers[ENDING_HEADER] ?? '');
				const mac = response.headers[AUTHENTICATION_HEADER] as string | undefined;
				const ending = decodeEnding(endingHead, response.body);
				if (ending && envelope.openReply(authentication, endingHead, mac)) {
					if (ending.outcome !== domain.Outcome.Completed) {
						await response.body.dump();
					}

					return neverthrow.ok(ending);
				}

				await response.body.dump();
				// A refusal is sent before the call is handled, so nothing has run. Any other reply proves nothing.
				const kind = REFUSED_STATUSES.has(response.statusCode) ? core.PeerErrorKind.Refused : core.PeerErrorKind.Lost;
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
