import * as net from 'node:net';
import type {ExecutionContext} from 'ava';

/** State of a connection to a raw target when a request head has arrived. */
export type RawConnection = {
	readonly socket: net.Socket;
	/** Requests that arrived on the connection so far, the current one included. */
	readonly requestCount: number;
	/** Value of `x-request-id` of the current request. */
	readonly requestId: string;
};

export type RawTarget = {
	readonly address: string;
	/** Connections that were accepted so far. */
	connectionCount(): number;
	/** Resolves when all open connections are closed. */
	waitUntilClosed(): Promise<void>;
};

const REQUEST_ID_PATTERN = /^x-request-id: (.*)$/im;

/**
 * Starts a target that answers with raw bytes, including ones that no HTTP library would send. `answer` is called once
 * for each request head; the requests have no bodies.
 */
export const startRawTarget = async (
	t: ExecutionContext,
	answer: (connection: RawConnection) => Promise<void> | void,
): Promise<RawTarget> => {
	const sockets = new Set<net.Socket>();
	let connectionCount = 0;
	const server = net.createServer(socket => {
		let received = '';
		let requestCount = 0;
		connectionCount++;
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		socket.on('data', chunk => {
			received += chunk.toString('latin1');
			for (let end = received.indexOf('\r\n\r\n'); end !== -1; end = received.indexOf('\r\n\r\n')) {
				const requestId = REQUEST_ID_PATTERN.exec(received.slice(0, end))?.[1] ?? '';
				received = received.slice(end + 4);
				requestCount++;
				void answer({socket, requestCount, requestId});
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await new Promise(resolve => {
		server.once('listening', resolve);
	});
	t.teardown(() => {
		sockets.forEach(socket => {
			socket.destroy();
		});
		server.close();
	});
	return {
		address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
		connectionCount: () => connectionCount,
		async waitUntilClosed() {
			await Promise.all(
				[...sockets].map(
					async socket =>
						new Promise(resolve => {
							socket.once('close', resolve);
						}),
				),
			);
		},
	};
};
