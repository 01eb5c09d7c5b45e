import type * as net from 'node:net';
import process from 'node:process';
import * as timersPromises from 'node:timers/promises';

const SAMPLE_INTERVAL_MS = 20;

/** Writes as long as the connection is open, and pauses while the receiver does not read. */
export const writeEndlessly = async (socket: net.Socket, repeated: string): Promise<void> => {
	while (!socket.destroyed) {
		if (socket.writableNeedDrain) {
			await timersPromises.setTimeout(SAMPLE_INTERVAL_MS);
			continue;
		}

		socket.write(repeated);
		await timersPromises.setImmediate();
	}
};

const readMemoryBytes = (): number => {
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
};

/** Largest growth of the memory until the signal is aborted, in bytes. */
export const watchMemory = async (signal: AbortSignal): Promise<number> => {
	const startBytes = readMemoryBytes();
	let largestBytes = startBytes;
	while (!signal.aborted) {
		largestBytes = Math.max(largestBytes, readMemoryBytes());
		await timersPromises.setTimeout(SAMPLE_INTERVAL_MS);
	}

	return largestBytes - startBytes;
};
