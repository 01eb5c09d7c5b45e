import type * as net from 'node:net';

/** Keeps the number of connections under a limit. */
export type ConnectionRoom = {
	/** Adds a new connection. If there is no room, an idle one is closed, or else the new one. */
	add(socket: net.Socket): void;
	/** Notes that bytes of a request's head have arrived. */
	noteArriving(socket: net.Socket): void;
	/** Notes that a request is at work. */
	noteBusy(socket: net.Socket): void;
	/** Notes that all requests are answered. */
	noteIdle(socket: net.Socket): void;
	/** Lists the connections that have been without a request for longer than a time, in ms. */
	listIdle(durationMs: number): readonly net.Socket[];
};

const oldestOf = (sockets: Iterable<net.Socket>): net.Socket | undefined => {
	const [oldest] = sockets;
	return oldest;
};

/**
 * When there is no room, the connection that has been idle for longest is closed, since nothing on it is lost. Next are those
 * on which a head has begun: such a request has not run.
 */
export const createConnectionRoom = (limitCount: number, onFull: () => void): ConnectionRoom => {
	let openCount = 0;
	/** Monotonic times since which connections have no requests, in ms. Those that have been idle for longest come first. */
	const idle = new Map<net.Socket, number>();
	/** Connections on which a head has begun, the oldest first. */
	const arriving = new Set<net.Socket>();
	const remove = (socket: net.Socket): void => {
		idle.delete(socket);
		arriving.delete(socket);
	};

	const makeRoom = (socket: net.Socket): void => {
		onFull();
		const closed = oldestOf(idle.keys()) ?? oldestOf(arriving) ?? socket;
		remove(closed);
		closed.destroy();
	};

	return {
		add(socket) {
			openCount++;
			let isCounted = true;
			const uncount = (): void => {
				openCount -= isCounted ? 1 : 0;
				isCounted = false;
				remove(socket);
			};

			socket.once('close', uncount);
			if (openCount > limitCount) {
				makeRoom(socket);
			}

			if (!socket.destroyed) {
				idle.set(socket, performance.now());
			}
		},
		noteArriving(socket) {
			if (idle.delete(socket)) {
				arriving.add(socket);
			}
		},
		noteBusy: remove,
		noteIdle(socket) {
			remove(socket);
			if (!socket.destroyed) {
				idle.set(socket, performance.now());
			}
		},
		listIdle(durationMs) {
			const nowMs = performance.now();
			return [...idle].filter(([, idleSinceMs]) => nowMs - idleSinceMs > durationMs).map(([socket]) => socket);
		},
	};
};
