import type * as http from 'node:http';
import type * as net from 'node:net';

/** Closes the connections of a stopping server as they become idle. */
export type ConnectionCloser = {
	/** Requests whose head has arrived and whose answer has not been sent completely, of one connection or of all. */
	countRequests(socket?: net.Socket): number;
	/** Requests whose head has arrived since the connection was opened. */
	countAccepted(socket: net.Socket): number;
	/** Whether a part of the answer that is due next on a connection has been written. */
	hasBegunAnswer(socket: net.Socket): boolean;
	/** Closes idle connections, and from now on every other one once its answers have been sent. */
	closeWhenIdle(): void;
};

type ConnectionState = {
	/** Answers that have not been sent completely, in the order of their requests. */
	readonly answers: Set<http.ServerResponse>;
	acceptedCount: number;
	/** Bytes received when the last answer was sent. More bytes since then belong to a request that is arriving. */
	handledBytes: number;
};

/**
 * Tracks a server's connections. `http.Server#closeIdleConnections`, which `http.Server#close` calls too, is not used: for it a
 * connection is idle as soon as its answer has been ended, and what is not sent by then is cut off.
 */
export const createConnectionCloser = (server: http.Server): ConnectionCloser => {
	const connections = new Map<net.Socket, ConnectionState>();
	let isClosing = false;

	const closeIfIdle = (socket: net.Socket): void => {
		const state = connections.get(socket);
		if (isClosing && state?.answers.size === 0 && socket.bytesRead === state.handledBytes) {
			socket.destroy();
		}
	};

	server.on('connection', socket => {
		connections.set(socket, {answers: new Set(), acceptedCount: 0, handledBytes: 0});
		socket.once('close', () => {
			connections.delete(socket);
		});
	});
	server.prependListener('request', ({socket}, outgoing) => {
		const state = connections.get(socket);
		if (!state) {
			return;
		}

		state.acceptedCount++;
		state.answers.add(outgoing);
		// The answer is closed once it has been handed over to the operating system, or its connection has ended.
		outgoing.once('close', () => {
			state.answers.delete(outgoing);
			state.handledBytes = socket.bytesRead;
			closeIfIdle(socket);
		});
	});
	return {
		countRequests(socket) {
			const states = socket ? [connections.get(socket)] : [...connections.values()];
			return states.reduce((sum, state) => sum + (state?.answers.size ?? 0), 0);
		},
		countAccepted: socket => connections.get(socket)?.acceptedCount ?? 0,
		hasBegunAnswer(socket) {
			const [answer] = connections.get(socket)?.answers ?? [];
			return answer?.headersSent ?? false;
		},
		closeWhenIdle() {
			isClosing = true;
			[...connections.keys()].forEach(closeIfIdle);
		},
	};
};
