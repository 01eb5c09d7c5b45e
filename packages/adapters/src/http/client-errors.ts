import type * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@bilberrydoor/core';
import type {ConnectionCloser} from './connection-closer.js';

/** Errors of what a connection's caller sent. Those without a status of their own, and all others, are answered with 400. */
export enum ClientErrorCode {
	EmptyLines = 'ERR_EMPTY_LINES',
	HeadTooLarge = 'HPE_HEADER_OVERFLOW',
	ChunkExtensionsTooLarge = 'HPE_CHUNK_EXTENSIONS_OVERFLOW',
	TimedOut = 'ERR_HTTP_REQUEST_TIMEOUT',
}

const STATUS_LINES: Record<string, string> = {
	[ClientErrorCode.HeadTooLarge]: '431 Request Header Fields Too Large',
	[ClientErrorCode.ChunkExtensionsTooLarge]: '413 Payload Too Large',
	[ClientErrorCode.TimedOut]: '408 Request Timeout',
};
const DEFAULT_STATUS_LINE = '400 Bad Request';

/** Least time between two log lines of the same kind, in ms. */
const LOG_INTERVAL_MS = 1000;

/** Creates a function that logs an error of a connection, and counts those of the same kind in between. */
const createErrorLog = (logger: core.Logger) => {
	const kinds = new Map<string, {nextLineAtMs: number; skippedCount: number}>();
	return (fields: {code: string; status: number | undefined; requestCount: number}): void => {
		const kindName = `${fields.code} ${fields.status} ${fields.requestCount > 0}`;
		const kind = kinds.get(kindName) ?? {nextLineAtMs: Number.NEGATIVE_INFINITY, skippedCount: 0};
		kinds.set(kindName, kind);
		if (performance.now() < kind.nextLineAtMs) {
			kind.skippedCount++;
			return;
		}

		logger.info('connection ended because of what its caller sent', {
			event: core.LogEvent.ClientError,
			...fields,
			skippedCount: kind.skippedCount,
		});
		kind.nextLineAtMs = performance.now() + LOG_INTERVAL_MS;
		kind.skippedCount = 0;
	};
};

/** Closes a connection on which nothing has arrived when it has been idle for as long as a used one may be. */
const closeIfUnused = ({keepAliveTimeout}: http.Server, socket: net.Socket): void => {
	const timer = setTimeout(() => {
		if (socket.bytesRead === 0) {
			socket.destroy();
		}
	}, keepAliveTimeout);
	socket.once('close', () => {
		clearTimeout(timer);
	});
};

/**
 * Ends connections with a request that cannot be read or that takes too long. The server's own answer to it is sent only if no
 * other request of the connection waits for one: answers carry no reference to their request, and 408 states that it did not run.
 */
export const handleClientErrors = (
	server: http.Server,
	options: {readonly connections: ConnectionCloser; readonly logger: core.Logger | undefined},
): void => {
	const {connections, logger} = options;
	const logError = logger && createErrorLog(logger);
	const endConnection = (socket: net.Socket, error: NodeJS.ErrnoException): void => {
		const requestCount = connections.countRequests(socket);
		// A caller that closes its side while a request is at work has left.
		const hasCallerLeft = socket.readableEnded && (requestCount > 0 || connections.isEnding(socket));
		if (socket.destroyed || hasCallerLeft) {
			socket.destroy();
			return;
		}

		// The parser reports its error again for everything that arrives later.
		if (connections.isEnding(socket)) {
			return;
		}

		const code = error.code ?? 'none';
		const statusLine = requestCount === 0 ? (STATUS_LINES[code] ?? DEFAULT_STATUS_LINE) : undefined;
		logError?.({code, status: statusLine ? Number.parseInt(statusLine, 10) : undefined, requestCount});
		if (statusLine) {
			connections.end(socket, `HTTP/1.1 ${statusLine}\r\nConnection: close\r\n\r\n`);
			return;
		}

		connections.endAfterAnswers(socket);
	};

	server.on('clientError', (error: NodeJS.ErrnoException, duplex) => {
		const socket = duplex as net.Socket;
		if (error.code !== ClientErrorCode.TimedOut) {
			endConnection(socket, error);
			return;
		}

		if (socket.bytesRead === 0) {
			closeIfUnused(server, socket);
			return;
		}

		// After a pause of the process, time limits are checked before the bytes that arrived meanwhile are read.
		const acceptedCount = connections.countAccepted(socket);
		setImmediate(() => {
			if (connections.countAccepted(socket) === acceptedCount) {
				endConnection(socket, error);
			}
		});
	});
};
