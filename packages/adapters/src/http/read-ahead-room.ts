import type * as net from 'node:net';
import * as core from '@bilberrydoor/core';

/** Shares the memory for what is read ahead between the connections. */
export type ReadAheadRoom = {
	/**
	 * Reserves memory for a connection. If the share is full, the connections that have taken most of it for longest are closed.
	 * Returns undefined if the connection itself is the one that has taken most, or if other kinds have taken the memory.
	 */
	reserve(socket: net.Socket, sizeBytes: number): core.Hold | undefined;
};

type ReadAheadConnection = {
	readonly holds: Map<core.Hold, number>;
	/** Monotonic time since which the connection holds memory, in ms. */
	readonly sinceMs: number;
};

const sumBytes = ({holds}: ReadAheadConnection): number =>
	[...holds.values()].reduce((sum, sizeBytes) => sum + sizeBytes, 0);

export const createReadAheadRoom = (parts: {
	readonly held: core.HeldBytes;
	/** Called before a connection is closed. */
	readonly onClose: () => void;
}): ReadAheadRoom => {
	const connections = new Map<net.Socket, ReadAheadConnection>();

	const release = (socket: net.Socket): void => {
		connections.get(socket)?.holds.forEach((_sizeBytes, hold) => {
			hold.release();
		});
		connections.delete(socket);
	};

	/** What a connection has kept from others: its memory multiplied by the time for which it has held it. */
	const measureUse = (connection: ReadAheadConnection | undefined): number =>
		connection ? sumBytes(connection) * (performance.now() - connection.sinceMs) : 0;

	/** Closes the connection that has used most. Returns false if no other one has used more than this one. */
	const closeLargest = (socket: net.Socket): boolean => {
		const [largest] = [...connections]
			.map(([candidate, connection]) => ({candidate, use: measureUse(connection)}))
			.toSorted((left, right) => right.use - left.use);
		if (!largest || largest.candidate === socket || largest.use <= measureUse(connections.get(socket))) {
			return false;
		}

		parts.onClose();
		release(largest.candidate);
		largest.candidate.destroy();
		return true;
	};

	const reserveOrClose = (socket: net.Socket, sizeBytes: number): core.Hold | undefined => {
		let hold = parts.held.reserve(core.HeldKind.ReadAhead, sizeBytes);
		while (!hold && parts.held.isShareFull(core.HeldKind.ReadAhead, sizeBytes) && closeLargest(socket)) {
			hold = parts.held.reserve(core.HeldKind.ReadAhead, sizeBytes);
		}

		return hold;
	};

	const addConnection = (socket: net.Socket): ReadAheadConnection => {
		const connection = {holds: new Map<core.Hold, number>(), sinceMs: performance.now()};
		connections.set(socket, connection);
		return connection;
	};

	return {
		reserve(socket, sizeBytes) {
			const hold = reserveOrClose(socket, sizeBytes);
			if (!hold) {
				return undefined;
			}

			const connection = connections.get(socket) ?? addConnection(socket);
			connection.holds.set(hold, sizeBytes);
			return {
				release() {
					hold.release();
					connection.holds.delete(hold);
					if (connection.holds.size === 0 && connections.get(socket) === connection) {
						connections.delete(socket);
					}
				},
			};
		},
	};
};
