import type * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@bilberrydoor/core';
import {createArrivingBodies, type ArrivingBody} from './arriving-bodies.js';
import {ClientErrorCode} from './client-errors.js';
import {ClientLimit, type ClientLimitLog, type ClientLimits} from './client-limits.js';
import type {ConnectionCloser} from './connection-closer.js';
import {createConnectionReader, type ConnectionReader, type PartLimits} from './connection-reader.js';
import {createConnectionRoom} from './connection-room.js';
import {createParseTurns} from './parse-turns.js';
import {createReadAheadRoom} from './read-ahead-room.js';
import {createUnreadAnswers} from './unread-answers.js';

/** Limits what clients can make the process hold. */
export type ClientGuard = {
	/** Limits the connections of a server, and what is read from them. */
	watch(server: http.Server, connections: ConnectionCloser): void;
	/** Handles a request unless it exceeds a limit or its caller has left. */
	admit(
		incoming: http.IncomingMessage,
		outgoing: http.ServerResponse,
		options: {readonly connections: ConnectionCloser; readonly handle: () => void},
	): void;
	/** Counts a body before it is read, or returns undefined if there is no room for it. */
	holdBody(incoming: http.IncomingMessage, outgoing: http.ServerResponse, limitBytes: number): ArrivingBody | undefined;
	/** Counts an answer until it is sent. Connections with many unread bytes are closed if there is no room for it. */
	holdAnswer(outgoing: http.ServerResponse, sizeBytes: number): void;
	/** Whether a request was sent before the answers ahead of it on its connection. */
	isSentAhead(incoming: http.IncomingMessage): boolean;
	/** Answers a request for which there is no room. It has not run. */
	refuse(incoming: http.IncomingMessage, outgoing: http.ServerResponse): void;
};

export type ClientGuardParts = {
	readonly limits: ClientLimits;
	readonly held: core.HeldBytes;
	readonly random: core.Random;
	readonly noteLimit: ClientLimitLog;
	/** Header with the id of a request, which refusals repeat. */
	readonly requestIdHeader: string;
	/** Returns the largest allowed request head in bytes, according to the current catalogue. */
	readonly getHeaderLimitBytes: () => number;
};

/** Memory that the handling of a request takes, and of each of its header lines, in bytes. */
const REQUEST_BYTES = 12_288;
const HEADER_LINE_BYTES = 400;

/** Part of the budget, and of the share of requests, beyond which no request is read ahead of the one that is at work. */
const CROWDED_RATIO = 0.25;

/** Requests at work beyond which further ones wait for the next turn of the event loop, in which their callers may have left. */
const DEFERRING_COUNT = 32;

const CHECK_INTERVAL_MS = 1000;

/** Refused callers come back over this span, in ms. Bodies that have stopped arriving are closed later than that. */
const RETRY_AFTER = {minimumMs: 1000, spreadMs: 2000};
const MS_PER_SECOND = 1000;

/** Errors with which connections end that exceed the limit of a part. */
const PART_ERRORS: Partial<Record<ClientLimit, ClientErrorCode>> = {
	[ClientLimit.EmptyLines]: ClientErrorCode.EmptyLines,
	[ClientLimit.HeadSize]: ClientErrorCode.HeadTooLarge,
	[ClientLimit.HeaderLines]: ClientErrorCode.HeadTooLarge,
	[ClientLimit.ChunkOverhead]: ClientErrorCode.ChunkExtensionsTooLarge,
};

/** Bytes of a header line beside its name and its value, which the limit of a head does not count: the colon, a space and the end. */
const LINE_FRAME_BYTES = 4;

/** How many times the limit the server accepts. The room closes an idle connection for each one beyond the limit. */
const ACCEPTED_RATIO = 2;

const findRequestId = ({rawHeaders}: http.IncomingMessage, headerName: string): string | undefined => {
	const index = rawHeaders.findIndex((text, position) => position % 2 === 0 && text.toLowerCase() === headerName);
	return index === -1 ? undefined : rawHeaders[index + 1];
};

const measureRequest = ({rawHeaders, url = ''}: http.IncomingMessage): number =>
	rawHeaders.reduce((sumBytes, text) => sumBytes + text.length, REQUEST_BYTES + url.length) +
	(rawHeaders.length / 2) * HEADER_LINE_BYTES;

export const createClientGuard = (parts: ClientGuardParts): ClientGuard => {
	const {limits, held, noteLimit} = parts;
	const shared = {held, noteLimit, stalledLimitMs: limits.stalledLimitMs};
	const answers = createUnreadAnswers(shared);
	const bodies = createArrivingBodies(shared);
	const room = createConnectionRoom(limits.connectionLimitCount, () => {
		noteLimit(ClientLimit.Connections);
	});
	const turns = createParseTurns();
	const noteNoRoomAhead = (): void => {
		noteLimit(ClientLimit.ReadAhead);
	};

	const readAhead = createReadAheadRoom({held, onClose: noteNoRoomAhead});
	const isCrowded = (): boolean =>
		held.usedRatio() > CROWDED_RATIO || held.shareRatio(core.HeldKind.Request) > CROWDED_RATIO;
	const readers = new WeakMap<net.Socket, ConnectionReader>();
	const sentAhead = new WeakSet<http.IncomingMessage>();
	let atWorkCount = 0;

	/** The HTTP server's own time limit starts anew with each byte. */
	const closeIdleWithEmptyLines = (server: http.Server): void => {
		room
			.listIdle(server.keepAliveTimeout)
			.filter(socket => readers.get(socket)?.hasOnlyEmptyLines())
			.forEach(socket => {
				noteLimit(ClientLimit.EmptyLines);
				socket.destroy();
			});
	};

	const check = (server: http.Server): void => {
		answers.closeStalled();
		bodies.closeStalled();
		closeIdleWithEmptyLines(server);
	};

	const getPartLimits = (): PartLimits => {
		const headerLimitBytes = parts.getHeaderLimitBytes();
		return {
			emptyLineLimitBytes: headerLimitBytes,
			headLimitBytes: headerLimitBytes + limits.headerLineLimitCount * LINE_FRAME_BYTES,
			headerLineLimitCount: limits.headerLineLimitCount,
			chunkOverheadLimitBytes: headerLimitBytes,
		};
	};

	const writeRefusal = (
		incoming: http.IncomingMessage,
		outgoing: http.ServerResponse,
		status: number,
		headers: Record<string, string>,
	): void => {
		const requestId = findRequestId(incoming, parts.requestIdHeader);
		outgoing.writeHead(status, {
			...(requestId !== undefined && {[parts.requestIdHeader]: requestId}),
			'content-length': '0',
			...headers,
		});
		outgoing.end();
	};

	const refuse = (incoming: http.IncomingMessage, outgoing: http.ServerResponse): void => {
		const retryAfterMs = RETRY_AFTER.minimumMs + parts.random.fraction() * RETRY_AFTER.spreadMs;
		writeRefusal(incoming, outgoing, 503, {'retry-after': (retryAfterMs / MS_PER_SECOND).toFixed(3)});
	};

	const handleUnlessLeft = (incoming: http.IncomingMessage, handle: () => void): void => {
		const {socket} = incoming;
		if (socket.destroyed || socket.readableEnded) {
			noteLimit(ClientLimit.CallerLeft);
			return;
		}

		handle();
	};

	return {
		refuse,
		holdBody: bodies.hold,
		holdAnswer: answers.hold,
		isSentAhead: incoming => sentAhead.has(incoming),
		watch(server, connections) {
			server.maxConnections = limits.connectionLimitCount * ACCEPTED_RATIO;
			// Node.js drops further lines without a sign.
			server.maxHeadersCount = limits.headerLineLimitCount + 1;
			// After a pause of the process, what has arrived meanwhile is read before the checks.
			setInterval(() => {
				setImmediate(check, server);
			}, CHECK_INTERVAL_MS).unref();
			server.on('connection', socket => {
				room.add(socket);
				const reader = createConnectionReader(socket, {
					reserve: sizeBytes => readAhead.reserve(socket, sizeBytes),
					turns,
					mayReadAhead() {
						return connections.countRequests(socket) < (isCrowded() ? 1 : limits.readAheadLimitCount);
					},
					countRequests: () => connections.countRequests(socket),
					isEnding: () => connections.isEnding(socket),
					onArriving() {
						room.noteArriving(socket);
					},
					onNoRoom: noteNoRoomAhead,
					getPartLimits,
					onPartTooLarge(limit) {
						noteLimit(limit);
						server.emit('clientError', Object.assign(new Error(limit), {code: PART_ERRORS[limit]}), socket);
					},
				});
				readers.set(socket, reader);
			});
		},
		admit(incoming, outgoing, {connections, handle}) {
			const {socket} = incoming;
			const reader = readers.get(socket);
			if (reader?.noteRequest(incoming)) {
				sentAhead.add(incoming);
			}

			room.noteBusy(socket);
			atWorkCount++;
			const hold = held.reserve(core.HeldKind.Request, measureRequest(incoming));
			outgoing.once('close', () => {
				atWorkCount--;
				hold?.release();
				if (connections.countRequests(socket) === 0) {
					room.noteIdle(socket);
				}

				reader?.resume();
			});
			if (incoming.rawHeaders.length / 2 > limits.headerLineLimitCount) {
				noteLimit(ClientLimit.HeaderLines);
				writeRefusal(incoming, outgoing, 431, {connection: 'close'});
			} else if (!hold) {
				noteLimit(ClientLimit.Requests);
				refuse(incoming, outgoing);
			} else if (atWorkCount > DEFERRING_COUNT) {
				setImmediate(handleUnlessLeft, incoming, handle);
			} else {
				handle();
			}
		},
	};
};
