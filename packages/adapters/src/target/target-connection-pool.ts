import * as undici from 'undici';
import {createConnectionEndTracker, type ConnectionEndTracker} from './connection-end-tracker.js';
import {passOnHandler} from './pass-on-handler.js';

export type TargetConnectionPoolOptions = {
	/** Largest number of connections to the target. */
	readonly connectionLimit: number;
	/** Longest time for opening a connection, in ms. */
	readonly connectTimeoutMs: number;
	/** How long an idle connection is kept, in ms. A shorter time announced by the target takes precedence. */
	readonly keepAliveMs: number;
};

/** Opens connections whose ends are recorded before undici handles them. */
const createConnector = (
	connectTimeoutMs: number,
	endTracker: ConnectionEndTracker,
): undici.buildConnector.connector => {
	const connect = undici.buildConnector({timeout: connectTimeoutMs});
	return (connectOptions, callback) => {
		connect(connectOptions, (...result) => {
			const [, socket] = result;
			['end', 'error', 'close'].forEach(event => {
				socket?.prependListener(event, endTracker.recordEnd);
			});
			callback(...result);
		});
	};
};

type Handler = undici.Dispatcher.DispatchHandler;

/** Statuses whose answers have no body, so that they end with their heads. */
const BODYLESS_STATUSES = new Set([204, 304]);

const endsWithChunks = (transferEncoding: string | string[] | undefined): boolean =>
	/(?:^|[,\s])chunked$/i.test(String(transferEncoding ?? '').trim());

/**
 * Fails an answer of which nothing shows that it is whole: one that only the end of its connection delimits, and a chunked one
 * that was completed by that end.
 */
const rejectTruncatedAnswers = (handler: Handler, endTracker: ConnectionEndTracker, method: string): Handler => {
	const passOn = passOnHandler(handler);
	let hasContentLength = false;
	let isDelimitedByEnd = false;
	return {
		...passOn,
		onResponseStart(controller, status, headers, message) {
			hasContentLength = headers['content-length'] !== undefined;
			const isBodyless = method === 'HEAD' || BODYLESS_STATUSES.has(status);
			isDelimitedByEnd = !isBodyless && !hasContentLength && !endsWithChunks(headers['transfer-encoding']);
			passOn.onResponseStart(controller, status, headers, message);
		},
		onResponseEnd(controller, trailers) {
			if (isDelimitedByEnd || (endTracker.isHandlingEnd() && !hasContentLength)) {
				const error = new Error('the connection ended, and nothing shows that the answer is whole');
				passOn.onResponseError(controller, error);
				return;
			}

			passOn.onResponseEnd(controller, trailers);
		},
	};
};

/**
 * Creates a connection pool for one target that fails truncated answers. Undici completes an answer when a connection
 * without keep-alive ends or is reset, even in the middle of a chunked body, so a truncated answer would look complete.
 */
export const createTargetConnectionPool = (
	address: string,
	options: TargetConnectionPoolOptions,
): undici.Dispatcher => {
	const endTracker = createConnectionEndTracker();
	const pool = new undici.Pool(`http://${address}`, {
		connections: options.connectionLimit,
		pipelining: 1,
		keepAliveTimeout: options.keepAliveMs,
		keepAliveMaxTimeout: options.keepAliveMs,
		// Calls have their own deadlines, and undici's time-outs would end them earlier.
		headersTimeout: 0,
		bodyTimeout: 0,
		connect: createConnector(options.connectTimeoutMs, endTracker),
	});
	return pool.compose(
		dispatch => (dispatchOptions, handler) =>
			dispatch(dispatchOptions, rejectTruncatedAnswers(handler, endTracker, dispatchOptions.method)),
	);
};
