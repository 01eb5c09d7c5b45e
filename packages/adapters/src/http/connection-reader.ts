import type * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@bilberrydoor/core';
import type {ParseTurns} from './parse-turns.js';

/** Reads a connection as fast as its requests are answered. */
export type ConnectionReader = {
	/** Notes a request whose head has just been parsed. */
	noteRequest(incoming: http.IncomingMessage): void;
	/** Continues reading if that was stopped and requests have been answered since. */
	resume(): void;
};

export type ConnectionReaderOptions = {
	readonly held: core.HeldBytes;
	readonly turns: ParseTurns;
	/** Whether another request of the connection may be handled now. */
	readonly mayReadAhead: () => boolean;
	/** Whether the connection accepts no further requests. */
	readonly isEnding: () => boolean;
	/** Called when bytes of a head arrive. */
	readonly onArriving: () => void;
	/** Called before the connection is closed because there is no room for what was sent ahead. */
	readonly onNoRoom: () => void;
};

/** Bytes that the parser gets at once: it parses all requests in them, at least 26 bytes each, before any can be answered. */
const SLICE_BYTES = 1024;

/** The same while a body without a length arrives, which small parts would slow down. */
const CHUNKED_SLICE_BYTES = 4096;

/** Memory that each line of a head takes while the head arrives, in bytes. */
const LINE_BYTES = 200;
const LINE_END = 10;

/** Memory of an arriving head that is not counted in the budget, in bytes. It covers 70 lines of 30 bytes. */
const FREE_HEAD_BYTES = 16_384;

/** Steps in which the memory of larger heads is counted, in bytes. */
const HEAD_STEP_BYTES = 32_768;

/** Bytes that Node.js still reads from a connection after it was told to stop. */
const READ_BYTES = 16_384;

const countLines = (bytes: Uint8Array): number => bytes.reduce((count, byte) => count + (byte === LINE_END ? 1 : 0), 0);

const announcedBytesOf = ({headers}: http.IncomingMessage): number => Number(headers['content-length'] ?? 0);

/**
 * Takes the place of the HTTP server's listener for data and passes the bytes on to it in parts. Node.js otherwise parses a whole
 * read of 64 KiB, which may hold 2,500 requests, before the first is answered.
 */
export const createConnectionReader = (socket: net.Socket, options: ConnectionReaderOptions): ConnectionReader => {
	const [parse] = socket.listeners('data') as Array<(bytes: Uint8Array) => void>;
	/** The request whose body arrives. A complete one is not kept, since its header lines take much memory. */
	let arrivingRequest: http.IncomingMessage | undefined;
	/** Bytes that certainly belong to the body of the last request. */
	let bodyLeftBytes = 0;
	/** Memory of the head that arrives. */
	let headBytes = 0;
	let countedHeadBytes = FREE_HEAD_BYTES;
	let headHolds: core.Hold[] = [];
	let aheadHold: core.Hold | undefined;
	let isStopped = false;

	const resume = (): void => {
		// Set by the HTTP server while it waits for the caller to read; it resumes the connection itself then.
		const isServerWaiting = '_paused' in socket && socket._paused === true;
		if (isStopped && !isServerWaiting && !socket.destroyed && options.mayReadAhead()) {
			socket.resume();
		}
	};

	const isBodyArriving = (): boolean => arrivingRequest !== undefined;

	const nextSliceBytes = (): number =>
		Math.max(bodyLeftBytes, isBodyArriving() && bodyLeftBytes === 0 ? CHUNKED_SLICE_BYTES : SLICE_BYTES);

	const closeWithoutRoom = (): void => {
		options.onNoRoom();
		socket.destroy();
	};

	const stop = (rest: Uint8Array): void => {
		isStopped = true;
		aheadHold = options.held.reserve(core.HeldKind.ReadAhead, rest.byteLength + READ_BYTES);
		if (!aheadHold) {
			closeWithoutRoom();
			return;
		}

		socket.pause();
		socket.unshift(rest);
	};

	const releaseHead = (): void => {
		headHolds.forEach(hold => {
			hold.release();
		});
		headHolds = [];
		headBytes = 0;
		countedHeadBytes = FREE_HEAD_BYTES;
	};

	const countHead = (slice: Uint8Array): void => {
		headBytes += slice.byteLength + countLines(slice) * LINE_BYTES;
		while (headBytes > countedHeadBytes) {
			const hold = options.held.reserve(core.HeldKind.ReadAhead, HEAD_STEP_BYTES);
			if (!hold) {
				closeWithoutRoom();
				return;
			}

			headHolds.push(hold);
			countedHeadBytes += HEAD_STEP_BYTES;
		}
	};

	const parseSlice = (slice: Uint8Array): void => {
		if (!isBodyArriving()) {
			options.onArriving();
			options.turns.count(slice.byteLength);
			countHead(slice);
		}

		bodyLeftBytes = Math.max(0, bodyLeftBytes - slice.byteLength);
		if (!socket.destroyed) {
			parse!.call(socket, slice);
		}

		if (arrivingRequest?.complete) {
			arrivingRequest = undefined;
		}
	};

	const handleData = (bytes: Uint8Array): void => {
		aheadHold?.release();
		isStopped = false;
		let offset = 0;
		while (offset < bytes.byteLength && !socket.destroyed && !options.isEnding()) {
			if (!isBodyArriving() && !options.mayReadAhead()) {
				stop(bytes.subarray(offset));
				return;
			}

			if (!isBodyArriving() && !options.turns.hasRoom()) {
				stop(bytes.subarray(offset));
				options.turns.wait(resume);
				return;
			}

			const end = offset + nextSliceBytes();
			parseSlice(bytes.subarray(offset, end));
			offset = end;
			// The parser stops while a body or an answer waits for its reader.
			if (socket.isPaused() && offset < bytes.byteLength) {
				socket.unshift(bytes.subarray(offset));
				return;
			}
		}
	};

	socket.removeListener('data', parse!);
	socket.on('data', handleData);
	socket.once('close', () => {
		aheadHold?.release();
		releaseHead();
	});

	return {
		noteRequest(incoming) {
			arrivingRequest = incoming;
			// Part of the body may be in the same slice as the end of the head.
			bodyLeftBytes = Math.max(0, announcedBytesOf(incoming) - CHUNKED_SLICE_BYTES);
			releaseHead();
		},
		resume,
	};
};
