import * as http from 'node:http';
import * as net from 'node:net';
import type * as core from '@bilberrydoor/core';
import * as nodeServer from '@hono/node-server';
import type * as hono from 'hono';
import {handleClientErrors} from './client-errors.js';
import type {ClientGuard} from './client-guard.js';
import {createConnectionCloser} from './connection-closer.js';

/** Bindings that give handlers the Node.js request and response, so that bodies stream without copies. */
export type NodeBindings = {Bindings: nodeServer.HttpBindings};

export type HttpListenerOptions = {
	/** IP address to listen on. */
	readonly host: string;
	/** Port; 0 selects a free one. */
	readonly port: number;
	/** Longest time for a request's headers, in ms. */
	readonly headersTimeoutMs: number;
	/** Longest time for a complete request including its body, in ms. */
	readonly requestTimeoutMs: number;
	/** Largest request head in bytes. */
	readonly headerLimitBytes: number;
	/** Largest number of open connections. */
	readonly connectionLimit: number;
	/** How long an idle connection is kept, in ms. */
	readonly keepAliveMs: number;
	/** Logs what the server answers without the application. */
	readonly logger?: core.Logger;
	/** Limits what clients can make the process hold. Peers and operators need none. */
	readonly guard?: ClientGuard;
};

export const DEFAULT_HTTP_LISTENER_OPTIONS: HttpListenerOptions = {
	host: '127.0.0.1',
	port: 0,
	headersTimeoutMs: 10_000,
	requestTimeoutMs: 300_000,
	headerLimitBytes: 16_384,
	connectionLimit: 20_000,
	keepAliveMs: 65_000,
};

/** Status of requests that expect something else than `100-continue`. */
const EXPECTATION_FAILED_STATUS = 417;

/** Longest interval at which the time limits of requests are checked, in ms. */
const TIMEOUT_CHECK_INTERVAL_MS = 250;

/** A listening HTTP server. */
export type HttpListener = {
	/** IP and port. */
	readonly address: string;
	/**
	 * Refuses new connections, and closes each one once its answers have been sent. Resolves when all connections are closed.
	 */
	close(): Promise<void>;
	/** Destroys all connections. */
	destroy(): void;
	/** Counts the requests whose head has arrived and whose response has not ended yet. */
	countRequests(): number;
	/** Changes time limits, in ms. They apply to open connections too. */
	setTimeouts(timeouts: {readonly headersTimeoutMs: number; readonly keepAliveMs: number}): void;
};

/** Splits `127.0.0.1:8080` into host and port. */
export const splitAddress = (address: string): {host: string; port: number} => {
	const [host = '', port = ''] = address.split(':');
	return {host, port: Number(port)};
};

/** Starts an HTTP server for a hono application. Rejects when the address cannot be bound. */
export const startHttpListener = async <Bindings extends NodeBindings>(
	app: hono.Hono<Bindings>,
	given: Partial<HttpListenerOptions>,
): Promise<HttpListener> => {
	const options = {...DEFAULT_HTTP_LISTENER_OPTIONS, ...given};
	const connections = createConnectionCloser();
	const handleRequest = nodeServer.getRequestListener(app.fetch, {overrideGlobalObjects: false});
	const admit = (incoming: http.IncomingMessage, outgoing: http.ServerResponse, handle: () => void): void => {
		if (!connections.accept(incoming, outgoing)) {
			return;
		}

		if (options.guard) {
			options.guard.admit(incoming, outgoing, {connections, handle});
			return;
		}

		handle();
	};

	const server = http.createServer(
		{
			headersTimeout: options.headersTimeoutMs,
			requestTimeout: options.requestTimeoutMs,
			maxHeaderSize: options.headerLimitBytes,
			keepAliveTimeout: options.keepAliveMs,
			connectionsCheckingInterval: Math.min(TIMEOUT_CHECK_INTERVAL_MS, options.headersTimeoutMs),
			noDelay: true,
		},
		(incoming, outgoing) => {
			admit(incoming, outgoing, () => {
				void handleRequest(incoming, outgoing);
			});
		},
	);
	// The HTTP server would answer these by itself, and not count them.
	server.on('checkExpectation', (incoming: http.IncomingMessage, outgoing: http.ServerResponse) => {
		admit(incoming, outgoing, () => {
			outgoing.writeHead(EXPECTATION_FAILED_STATUS, {'content-length': '0'}).end();
		});
	});
	server.maxConnections = options.connectionLimit;
	server.on('connection', connections.track);
	options.guard?.watch(server, connections);
	handleClientErrors(server, {connections, logger: options.logger});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(options.port, options.host, resolve);
	});
	const bound = server.address() as net.AddressInfo;
	return {
		address: `${bound.address}:${bound.port}`,
		async close() {
			const closed = new Promise(resolve => {
				net.Server.prototype.close.call(server, resolve);
			});
			connections.closeWhenIdle();
			await closed;
		},
		destroy() {
			server.closeAllConnections();
		},
		countRequests: () => connections.countRequests(),
		setTimeouts({headersTimeoutMs, keepAliveMs}) {
			server.headersTimeout = headersTimeoutMs;
			server.keepAliveTimeout = keepAliveMs;
		},
	};
};
