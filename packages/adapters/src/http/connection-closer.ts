import type * as http from 'node:http';
import type * as net from 'node:net';

/** Knows the requests of a server's connections, and closes connections without cutting off an answer. */
export type ConnectionCloser = {
	/** Adds a new connection. */
	track(socket: net.Socket): void;
	/** Adds a request whose head has arrived. Returns false if its connection is about to close, so that it must not run. */
	accept(incoming: http.IncomingMessage, outgoing: http.ServerResponse): boolean;
	/** Requests whose head has arrived and whose answer has not been sent completely, of one connection or of all. */
	countRequests(socket?: net.Socket): number;
	/** Requests accepted since the connection was opened. */
	countAccepted(socket: net.Socket): number;
	/** Whether the connection accepts no further requests. */
	isEnding(socket: net.Socket): boolean;
	/** Sends `lastBytes` on a connection without requests and closes it. */
	end(socket: net.Socket, lastBytes: string): void;
	/** Closes a connection once the requests that have arrived completely are answered. Others on it are broken off. */
	endAfterAnswers(socket: net.Socket): void;
	/** Closes idle connections, and from now on every other one once its answers have been sent. */
	closeWhenIdle(): void;
};

type ConnectionState = {
	/** Requests whose answers have not been sent completely, by answer, in the order of their arrival. */
	readonly requests: Map<http.ServerResponse, http.IncomingMessage>;
	acceptedCount: number;
	/** Bytes received when the last answer was sent. More bytes since then belong to a request that is arriving. */
	handledBytes: number;
	isEnding: boolean;
};

/**
 * How long an ended connection still reads, in ms. Closing it with unread bytes resets it, and a reset can discard an answer that
 * its caller has not read.
 */
const LINGER_MS = 1000;

/** Bytes that an ended connection still reads. A caller that sends without a pause would fill the memory with what is not used. */
const LINGER_BYTES = 131_072;

const listWholeAnswers = ({requests}: ConnectionState): http.ServerResponse[] =>
	[...requests].filter(([, incoming]) => incoming.complete).map(([outgoing]) => outgoing);

/** Node.js closes only the answer that is being sent. The calls of those behind it would be handled to their end. */
const closeWaitingAnswers = ({requests}: ConnectionState): void => {
	[...requests.keys()]
		.filter(outgoing => outgoing.socket === null)
		.forEach(outgoing => {
			outgoing.destroy();
			outgoing.emit('close');
		});
};

const endAndLinger = (socket: net.Socket, lastBytes = ''): void => {
	socket.end(lastBytes);
	const endedAtBytes = socket.bytesRead;
	socket.on('data', () => {
		if (socket.bytesRead - endedAtBytes > LINGER_BYTES) {
			socket.destroy();
		}
	});
	const timer = setTimeout(() => {
		socket.destroy();
	}, LINGER_MS);
	socket.once('close', () => {
		clearTimeout(timer);
	});
};

/**
 * Tracks a server's connections. `http.Server#closeIdleConnections`, which `http.Server#close` calls too, is not used: for it a
 * connection is idle as soon as its answer has been ended, and what is not sent by then is cut off.
 */
export const createConnectionCloser = (): ConnectionCloser => {
	const connections = new Map<net.Socket, ConnectionState>();
	let isClosing = false;

	const closeIfDone = (socket: net.Socket, state: ConnectionState): void => {
		if (state.isEnding && listWholeAnswers(state).length === 0) {
			endAndLinger(socket);
			return;
		}

		if (isClosing && !state.isEnding && state.requests.size === 0 && socket.bytesRead === state.handledBytes) {
			socket.destroy();
		}
	};

	return {
		track(socket) {
			const state: ConnectionState = {requests: new Map(), acceptedCount: 0, handledBytes: 0, isEnding: false};
			connections.set(socket, state);
			socket.once('close', () => {
				connections.delete(socket);
				closeWaitingAnswers(state);
			});
		},
		accept(incoming, outgoing) {
			const {socket} = incoming;
			const state = connections.get(socket);
			if (!state || state.isEnding) {
				return false;
			}

			state.acceptedCount++;
			state.requests.set(outgoing, incoming);
			// The answer is closed once it has been handed over to the operating system, or its connection has ended.
			outgoing.once('close', () => {
				state.requests.delete(outgoing);
				state.handledBytes = socket.bytesRead;
				closeIfDone(socket, state);
			});
			return true;
		},
		countRequests(socket) {
			const states = socket ? [connections.get(socket)] : [...connections.values()];
			return states.reduce((sum, state) => sum + (state?.requests.size ?? 0), 0);
		},
		countAccepted: socket => connections.get(socket)?.acceptedCount ?? 0,
		isEnding: socket => connections.get(socket)?.isEnding ?? true,
		end(socket, lastBytes) {
			const state = connections.get(socket);
			if (state) {
				state.isEnding = true;
				endAndLinger(socket, lastBytes);
			}
		},
		endAfterAnswers(socket) {
			const state = connections.get(socket);
			if (!state) {
				return;
			}

			state.isEnding = true;
			const lastAnswer = listWholeAnswers(state).at(-1);
			if (!lastAnswer) {
				socket.destroy();
				return;
			}

			// Announces the end in the answer's head, if that has not been sent yet.
			lastAnswer.shouldKeepAlive = false;
		},
		closeWhenIdle() {
			isClosing = true;
			connections.forEach((state, socket) => {
				closeIfDone(socket, state);
			});
		},
	};
};
