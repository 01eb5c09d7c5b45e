import * as net from 'node:net';
import * as platform from '@bilberrydoor/platform';
import type {ExecutionContext} from 'ava';
import type {RunningNode} from './fleet-harness.js';

const {PLATFORM_DIALECT: dialect} = platform;

const BODY = 'clearance';

/** Returns the bytes of a request in three parts: the first half of its head, the rest of its head, and its body. */
export const buildRequestParts = (
	requestId: string,
	given: {path?: string} = {},
): readonly [string, string, string] => [
	`POST ${given.path ?? '/unsafe/x'} HTTP/1.1\r\nHost: malipo.example\r\n${dialect.requestIdHeader}: ${requestId}\r\n`,
	`${dialect.remainingMsHeader}: 4000\r\nContent-Length: ${BODY.length}\r\n\r\n`,
	BODY,
];

/** A caller that sends bytes on one connection. */
export type RawCaller = {
	/** Resolves with everything that was received until the connection has ended. */
	readonly closed: Promise<string>;
	send(bytes: string): void;
	/** Everything that has been received. */
	received(): string;
};

/** Connects to the front of a node. The connection is closed when the test ends. */
export const connectRawCaller = async (t: ExecutionContext, node: RunningNode): Promise<RawCaller> => {
	const {hostname, port} = new URL(node.frontUrl);
	const socket = net.connect(Number(port), hostname);
	t.teardown(() => socket.destroy());
	let received = '';
	socket.on('data', chunk => {
		received += chunk.toString();
	});
	const closed = new Promise<string>(resolve => {
		['error', 'close'].forEach(event => {
			socket.on(event, () => {
				resolve(received);
			});
		});
	});
	await new Promise(resolve => {
		socket.once('connect', resolve);
		socket.once('error', resolve);
	});
	return {
		send(bytes) {
			socket.write(bytes);
		},
		received: () => received,
		closed,
	};
};
