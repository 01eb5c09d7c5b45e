import type * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@bilberrydoor/core';
import {ClientLimit, type ClientLimitLog} from './client-limits.js';

/** Bounds the answers that wait until their callers read them. */
export type UnreadAnswers = {
	/** Counts an answer until it is sent. If the share of answers is full, the connections with the most unread bytes are closed. */
	hold(outgoing: http.ServerResponse, sizeBytes: number): void;
	/** Closes the connections of callers that have read nothing for too long. */
	closeStalled(): void;
};

type UnreadConnection = {
	sizeBytes: number;
	/** Monotonic time at which the caller last read something, in ms. */
	lastReadAtMs: number;
	readonly holds: Set<core.Hold>;
};

const createUncountedHold = (): core.Hold => ({release: () => undefined});

export const createUnreadAnswers = (parts: {
	readonly held: core.HeldBytes;
	readonly stalledLimitMs: number;
	readonly noteLimit: ClientLimitLog;
}): UnreadAnswers => {
	const connections = new Map<net.Socket, UnreadConnection>();

	const close = (socket: net.Socket, limit: ClientLimit): void => {
		parts.noteLimit(limit);
		connections.get(socket)?.holds.forEach(hold => {
			hold.release();
		});
		connections.delete(socket);
		socket.destroy();
	};

	/** Closes the connection with the most unread bytes. Returns false if there is none. */
	const closeLargest = (): boolean => {
		const largest = [...connections].reduce<[net.Socket, UnreadConnection] | undefined>(
			(found, entry) => (found && found[1].sizeBytes >= entry[1].sizeBytes ? found : entry),
			undefined,
		);
		if (largest) {
			close(largest[0], ClientLimit.UnreadAnswers);
		}

		return largest !== undefined;
	};

	/** Closing other connections makes no room while other kinds have taken the memory. The answer is not counted then. */
	const reserve = (socket: net.Socket, sizeBytes: number): core.Hold | undefined => {
		const isShareFull = (): boolean => parts.held.isShareFull(core.HeldKind.Answer, sizeBytes);
		let hold = parts.held.reserve(core.HeldKind.Answer, sizeBytes);
		while (!hold && isShareFull() && !socket.destroyed && closeLargest()) {
			hold = parts.held.reserve(core.HeldKind.Answer, sizeBytes);
		}

		return hold;
	};

	return {
		hold(outgoing, sizeBytes) {
			const {socket} = outgoing.req;
			const hold = reserve(socket, sizeBytes) ?? createUncountedHold();
			if (socket.destroyed) {
				hold.release();
				return;
			}

			const connection = connections.get(socket) ?? {
				sizeBytes: 0,
				lastReadAtMs: performance.now(),
				holds: new Set<core.Hold>(),
			};
			connections.set(socket, connection);
			connection.sizeBytes += sizeBytes;
			connection.holds.add(hold);
			const noteRead = (): void => {
				connection.lastReadAtMs = performance.now();
			};

			outgoing.on('drain', noteRead);
			outgoing.once('close', () => {
				noteRead();
				hold.release();
				connection.holds.delete(hold);
				connection.sizeBytes -= sizeBytes;
				if (connection.holds.size === 0) {
					connections.delete(socket);
				}
			});
		},
		closeStalled() {
			const nowMs = performance.now();
			connections.forEach((connection, socket) => {
				if (socket.writableLength === 0) {
					connection.lastReadAtMs = nowMs;
				} else if (nowMs - connection.lastReadAtMs > parts.stalledLimitMs) {
					close(socket, ClientLimit.SlowReader);
				}
			});
		},
	};
};
