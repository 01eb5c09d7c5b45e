import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as core from '@bilberrydoor/core';
import {ClientLimit} from './client-limits.js';
import {createMessageScanner, MessagePart, type ScannedBytes} from './message-scanner.js';
import {TurnKind, type ParseTurns} from './parse-turns.js';

/** Reads a connection as fast as its requests are answered. */
export type ConnectionReader = {
	/** Notes a request whose head has just been parsed. Returns whether it was sent before the answers ahead of it. */
	noteRequest(incoming: http.IncomingMessage): boolean;
	/** Continues reading if that was stopped and requests have been answered since. */
	resume(): void;
	/** Whether only empty lines have arrived since the last request. */
	hasOnlyEmptyLines(): boolean;
};

export type ConnectionReaderOptions = {
	/** Reserves memory for what is read ahead of this connection, or returns undefined if there is no room. */
	readonly reserve: (sizeBytes: number) => core.Hold | undefined;
	readonly turns: ParseTurns;
	/** Whether another request of the connection may be handled now. */
	readonly mayReadAhead: () => boolean;
	/** Requests of the connection that are at work. */
	readonly countRequests: () => number;
	/** Whether the connection accepts no further requests. */
	readonly isEnding: () => boolean;
	/** Called when bytes of a head arrive. */
	readonly onArriving: () => void;
	/** Called before the connection is closed because there is no room for what was sent ahead. */
	readonly onNoRoom: () => void;
	/** Returns the largest size of what may arrive before a request, of its head, and between the chunks of its body, in bytes. */
	readonly getPartLimits: () => PartLimits;
	/** Called when a limit is exceeded. The connection has to be ended. */
	readonly onPartTooLarge: (limit: ClientLimit) => void;
};

export type PartLimits = {
	readonly emptyLineLimitBytes: number;
	/** Limit of a head that has not arrived completely. A complete one is refused with its id. */
	readonly headLimitBytes: number;
	readonly headerLineLimitCount: number;
	readonly chunkOverheadLimitBytes: number;
};

/** Memory that each line of a head takes while the head arrives, in bytes. */
const LINE_BYTES = 200;

/** Memory of an arriving head that is not counted in the budget, in bytes. It covers 70 lines of 30 bytes. */
const FREE_HEAD_BYTES = 16_384;

/** Steps in which the memory of larger heads is counted, in bytes. */
const HEAD_STEP_BYTES = 32_768;

/** Bytes that Node.js still reads from a connection after it was told to stop. */
const READ_BYTES = 16_384;

const PARTS_OF_BODIES: ReadonlySet<MessagePart> = new Set([
	MessagePart.Body,
	MessagePart.ChunkLine,
	MessagePart.ChunkData,
	MessagePart.Trailers,
]);

const findExceededLimit = (part: MessagePart, scanned: ScannedBytes, limits: PartLimits): ClientLimit | undefined => {
	if (scanned.emptyLineBytes > limits.emptyLineLimitBytes) {
		return ClientLimit.EmptyLines;
	}

	if (scanned.chunkOverheadBytes > limits.chunkOverheadLimitBytes) {
		return ClientLimit.ChunkOverhead;
	}

	// The request line is no header line.
	if (part === MessagePart.Head && scanned.fieldLineCount > limits.headerLineLimitCount + 1) {
		return ClientLimit.HeaderLines;
	}

	return part === MessagePart.Head && scanned.fieldBytes > limits.headLimitBytes ? ClientLimit.HeadSize : undefined;
};

/**
 * Takes the place of the HTTP server's listener for data and passes the bytes on to it in parts, of which each has at most one
 * request. Node.js otherwise parses a whole read of 64 KiB, which may hold 2,500 requests, before the first is answered.
 */
export const createConnectionReader = (socket: net.Socket, options: ConnectionReaderOptions): ConnectionReader => {
	const [parse] = socket.listeners('data') as Array<(bytes: Uint8Array) => void>;
	const scanner = createMessageScanner();
	let countedFieldBytes = FREE_HEAD_BYTES;
	let fieldHolds: core.Hold[] = [];
	let aheadHold: core.Hold | undefined;
	let isStopped = false;
	/** Whether the bytes that are handled, and those that wait, arrived before the answers ahead of them were sent. */
	let isAhead = false;
	let isRestAhead = false;

	/** A head that has begun is read to its end, so that its time limit does not pass while it is not read. */
	const mayRead = (): boolean => scanner.part() !== MessagePart.EmptyLines || options.mayReadAhead();

	const readTurnKind = (): TurnKind => {
		if (scanner.part() === MessagePart.Head) {
			return TurnKind.Begun;
		}

		return options.countRequests() > 0 ? TurnKind.Ahead : TurnKind.First;
	};

	const resume = (): void => {
		// Set by the HTTP server while it waits for the caller to read; it resumes the connection itself then.
		const isServerWaiting = '_paused' in socket && socket._paused === true;
		if (isStopped && !isServerWaiting && !socket.destroyed && mayRead()) {
			socket.resume();
		}
	};

	const closeWithoutRoom = (): void => {
		options.onNoRoom();
		socket.destroy();
	};

	const stop = (rest: Uint8Array): void => {
		isStopped = true;
		aheadHold = options.reserve(rest.byteLength + READ_BYTES);
		if (!aheadHold) {
			closeWithoutRoom();
			return;
		}

		socket.pause();
		socket.unshift(rest);
	};

	const releaseFields = (): void => {
		fieldHolds.forEach(hold => {
			hold.release();
		});
		fieldHolds = [];
		countedFieldBytes = FREE_HEAD_BYTES;
	};

	/** Counts the memory of a head or of trailers. Empty lines before a request take none. */
	const countFields = (): void => {
		const {fieldBytes, fieldLineCount} = scanner.scanned();
		const heldBytes = fieldBytes + fieldLineCount * LINE_BYTES;
		while (heldBytes > countedFieldBytes) {
			const hold = options.reserve(HEAD_STEP_BYTES);
			if (!hold) {
				closeWithoutRoom();
				return;
			}

			fieldHolds.push(hold);
			countedFieldBytes += HEAD_STEP_BYTES;
		}
	};

	/** Scans the next part, and returns its end unless the part exceeds a limit. */
	const scanPart = (bytes: Uint8Array, offset: number): number | undefined => {
		const isBody = PARTS_OF_BODIES.has(scanner.part());
		const end = scanner.scan(bytes, offset);
		const exceeded = findExceededLimit(scanner.part(), scanner.scanned(), options.getPartLimits());
		if (exceeded) {
			options.onPartTooLarge(exceeded);
			return undefined;
		}

		if (!isBody) {
			options.turns.countBytes(end - offset);
			if (scanner.scanned().fieldBytes > 0) {
				options.onArriving();
			}
		}

		countFields();
		return socket.destroyed ? undefined : end;
	};

	const handleData = (bytes: Uint8Array): void => {
		aheadHold?.release();
		isStopped = false;
		isAhead = isRestAhead;
		isRestAhead = false;
		let offset = 0;
		while (offset < bytes.byteLength && !socket.destroyed && !options.isEnding()) {
			if (!mayRead()) {
				isRestAhead = true;
				stop(bytes.subarray(offset));
				return;
			}

			if (!PARTS_OF_BODIES.has(scanner.part()) && !options.turns.hasRoom()) {
				isRestAhead = isAhead;
				stop(bytes.subarray(offset));
				options.turns.wait(readTurnKind(), resume);
				return;
			}

			const end = scanPart(bytes, offset);
			if (end === undefined) {
				return;
			}

			parse!.call(socket, bytes.subarray(offset, end));
			if (scanner.part() === MessagePart.EmptyLines) {
				releaseFields();
			}

			offset = end;
			// The parser stops while a body or an answer waits for its reader.
			if (socket.isPaused() && offset < bytes.byteLength) {
				isRestAhead = isAhead;
				socket.unshift(bytes.subarray(offset));
				return;
			}
		}
	};

	socket.removeListener('data', parse!);
	socket.on('data', handleData);
	socket.once('close', () => {
		aheadHold?.release();
		releaseFields();
	});

	return {
		noteRequest({headers}) {
			options.turns.countRequest();
			scanner.startBody({
				isChunked: headers['transfer-encoding'] !== undefined,
				lengthBytes: Number(headers['content-length'] ?? 0),
			});
			releaseFields();
			// The request itself is at work already.
			return isAhead || options.countRequests() > 1;
		},
		resume,
		hasOnlyEmptyLines: () => scanner.part() === MessagePart.EmptyLines && scanner.scanned().emptyLineBytes > 0,
	};
};
