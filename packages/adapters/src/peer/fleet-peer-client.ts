import * as core from '@bilberrydoor/core';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';
import {collectBody} from '../http/collect-body.js';
import {isConnectError} from '../http/connect-error.js';
import {FLEET_MESSAGE_SCHEMAS, FLEET_REQUEST_ENCODERS} from './fleet-message-schemas.js';
import {FLEET_PATH} from './fleet-peer-app.js';

export type FleetPeerClientOptions = {
	/** Longest time for opening a connection, in ms. */
	readonly connectTimeoutMs: number;
	/** Largest number of connections to one peer. */
	readonly connectionLimit: number;
	/** How long an idle connection is kept, in ms. */
	readonly keepAliveMs: number;
	/** Largest reply that is read, in bytes. */
	readonly replyLimitBytes: number;
};

export const DEFAULT_FLEET_PEER_CLIENT_OPTIONS: FleetPeerClientOptions = {
	connectTimeoutMs: 500,
	connectionLimit: 64,
	keepAliveMs: 4000,
	// Leaves a node of 250 MB enough memory for its calls.
	replyLimitBytes: 16 * 1024 * 1024,
};

/** Envelope of a tRPC reply. */
type TrpcReply = {readonly result?: {readonly data: unknown}; readonly error?: {readonly message?: string}};

/** Client for the other nodes. Uses the wire format of tRPC, with one connection pool for each peer. */
export const createFleetPeerClient = (
	given: Partial<FleetPeerClientOptions> = {},
): core.FleetPeerClient & {close(): Promise<void>} => {
	const options = {...DEFAULT_FLEET_PEER_CLIENT_OPTIONS, ...given};
	const agent = new undici.Agent({
		connections: options.connectionLimit,
		pipelining: 1,
		keepAliveTimeout: options.keepAliveMs,
		headersTimeout: 0,
		bodyTimeout: 0,
		connect: {timeout: options.connectTimeoutMs},
	});

	return {
		async request(address, kind, request, {signal, noteProgress}) {
			try {
				const response = await undici.request(`http://${address}${FLEET_PATH}/${kind}`, {
					dispatcher: agent,
					method: 'POST',
					headers: {'content-type': 'application/json'},
					body: JSON.stringify(FLEET_REQUEST_ENCODERS[kind](request)),
					signal,
				});
				const bytes = await collectBody(response.body, {limitBytes: options.replyLimitBytes, noteProgress});
				const reply = JSON.parse(new TextDecoder().decode(bytes)) as TrpcReply;
				const parsed = FLEET_MESSAGE_SCHEMAS[kind].reply.safeParse(reply.result?.data);
				return parsed.success
					? neverthrow.ok(parsed.data)
					: neverthrow.err({
							kind: core.PeerErrorKind.Refused,
							detail: reply.error?.message ?? `the reply to ${kind} is malformed: ${parsed.error.message}`,
						});
			} catch (error) {
				const kind = isConnectError(error) ? core.PeerErrorKind.Unreachable : core.PeerErrorKind.Lost;
				return neverthrow.err({kind, detail: String(error)});
			}
		},
		async close() {
			await agent.destroy();
		},
	};
};
