import type * as http from 'node:http';
import * as core from '@bilberrydoor/core';
import {ClientLimit, type ClientLimitLog} from './client-limits.js';

/** A body that is counted until its call has ended. */
export type ArrivingBody = {
	/** Notes that the part of the body that is read ahead has arrived. */
	endArrival(): void;
};

/** Bounds the bodies that are read before their calls are sent. */
export type ArrivingBodies = {
	/** Counts a body until its call has been answered, or returns undefined if there is no room for it. */
	hold(incoming: http.IncomingMessage, outgoing: http.ServerResponse, limitBytes: number): ArrivingBody | undefined;
	/** Closes the connections whose bodies have stopped arriving, if a body was refused since the last call. */
	closeStalled(): void;
};

/** Bytes of streams and connections, in addition to what is held of a body. */
const BUFFERED_BYTES = 65_536;

const sizeOf = ({headers}: http.IncomingMessage, limitBytes: number): number => {
	const announced = headers['content-length'];
	const isChunked = headers['transfer-encoding'] !== undefined;
	const sizeBytes = isChunked ? limitBytes : Number(announced ?? 0);
	return sizeBytes < limitBytes ? sizeBytes : limitBytes + BUFFERED_BYTES;
};

export const createArrivingBodies = (parts: {
	readonly held: core.HeldBytes;
	readonly stalledLimitMs: number;
	readonly noteLimit: ClientLimitLog;
}): ArrivingBodies => {
	/** Bytes that were received of each connection whose body arrives, and when the last of them were noticed. */
	const arriving = new Map<http.IncomingMessage, {receivedBytes: number; receivedAtMs: number}>();
	let isRoomNeeded = false;

	return {
		hold(incoming, outgoing, limitBytes) {
			const sizeBytes = sizeOf(incoming, limitBytes);
			const hold = parts.held.reserve(core.HeldKind.Upload, sizeBytes);
			if (!hold) {
				isRoomNeeded = true;
				parts.noteLimit(ClientLimit.Uploads);
				return undefined;
			}

			const endArrival = (): void => {
				arriving.delete(incoming);
			};

			if (sizeBytes > 0) {
				arriving.set(incoming, {receivedBytes: incoming.socket.bytesRead, receivedAtMs: performance.now()});
			}

			outgoing.once('close', () => {
				hold.release();
				endArrival();
			});
			return {endArrival};
		},
		closeStalled() {
			const nowMs = performance.now();
			arriving.forEach((progress, incoming) => {
				const {socket} = incoming;
				if (socket.bytesRead > progress.receivedBytes) {
					progress.receivedBytes = socket.bytesRead;
					progress.receivedAtMs = nowMs;
				} else if (isRoomNeeded && nowMs - progress.receivedAtMs > parts.stalledLimitMs) {
					parts.noteLimit(ClientLimit.SlowSender);
					socket.destroy();
				}
			});
			isRoomNeeded = false;
		},
	};
};
