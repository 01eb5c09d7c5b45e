import * as undici from 'undici';
import {createConnectionEnds, type ConnectionEnds} from './connection-ends.js';

export type WholeAnswerPoolOptions = {
	/** Connections to the target. */
	readonly connectionLimit: number;
	/** Longest time for opening a connection, in ms. */
	readonly connectTimeoutMs: number;
	/** How long an idle connection is kept, in ms; targets that announce a shorter time are obeyed. */
	readonly keepAliveMs: number;
};

/** Opens connections that note their ends before undici handles them. */
const createConnector = (connectTimeoutMs: number, ends: ConnectionEnds): undici.buildConnector.connector => {
	const connect = undici.buildConnector({timeout: connectTimeoutMs});
	return (connectOptions, callback) => {
		connect(connectOptions, (...result) => {
			const [, socket] = result;
			['end', 'error', 'close'].forEach(event => {
				socket?.prependListener(event, ends.note);
			});
			callback(...result);
		});
	};
};

type Handler = undici.Dispatcher.DispatchHandler;

/** Turns the end of an answer into an error when nothing shows that the answer is whole. */
const checkEnd = (handler: Handler, ends: ConnectionEnds): Handler => {
	let hasLength = false;
	return {
		onRequestStart: (controller, context) => handler.onRequestStart?.(controller, context),
		onRequestUpgrade: (controller, status, headers, socket) =>
			handler.onRequestUpgrade?.(controller, status, headers, socket),
		onResponseStart(controller, status, headers, message) {
			hasLength = headers['content-length'] !== undefined;
			handler.onResponseStart?.(controller, status, headers, message);
		},
		onResponseData: (controller, chunk) => handler.onResponseData?.(controller, chunk),
		onResponseEnd(controller, trailers) {
			// A crashed target's half answer looks the same, so only a length proves that such an answer is whole.
			if (ends.isHandling() && !hasLength) {
				const error = new Error('the connection ended, and nothing shows that the answer is whole');
				handler.onResponseError?.(controller, error);
				return;
			}

			handler.onResponseEnd?.(controller, trailers);
		},
		onResponseError: (controller, error) => handler.onResponseError?.(controller, error),
	};
};

/**
 * Connections to one target whose answers are whole or fail. Undici completes an answer when a connection that is not kept
 * ends or is reset, also in the middle of a chunked body, and half an answer would pass as a whole one.
 */
export const createWholeAnswerPool = (address: string, options: WholeAnswerPoolOptions): undici.Dispatcher => {
	const ends = createConnectionEnds();
	const pool = new undici.Pool(`http://${address}`, {
		connections: options.connectionLimit,
		pipelining: 1,
		keepAliveTimeout: options.keepAliveMs,
		keepAliveMaxTimeout: options.keepAliveMs,
		// Calls have their own deadlines, and a second clock would end them earlier.
		headersTimeout: 0,
		bodyTimeout: 0,
		connect: createConnector(options.connectTimeoutMs, ends),
	});
	return pool.compose(dispatch => (dispatchOptions, handler) => dispatch(dispatchOptions, checkEnd(handler, ends)));
};
