import * as crypto from 'node:crypto';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as platform from '@bilberrydoor/platform';
import type {ExecutionContext} from 'ava';

const {PLATFORM_DIALECT: dialect} = platform;

/** A request at an upload target, as far as it has arrived. */
export type UploadExchange = {
	readonly requestId: string;
	readonly incoming: http.IncomingMessage;
	receivedBytes: number;
	/** Digest of the body; undefined until the target takes the body for whole. */
	digest?: string;
	isRefused: boolean;
	/** Whether the connection was closed before the body was whole. */
	isBroken: boolean;
	/** Answers before the body is whole, and reads on. */
	answerEarly(status: 200 | 503): void;
};

export type UploadTarget = {
	readonly port: number;
	readonly exchanges: UploadExchange[];
	/** Called when an exchange begins and whenever more of its body has arrived. */
	onProgress: (exchange: UploadExchange) => void;
	/** While true, whole requests wait for their answers. */
	isHolding: boolean;
	release(): void;
};

export const digestBody = (body: Uint8Array): string => crypto.createHash('sha1').update(body).digest('hex');

/** Starts a target that answers each whole body with its digest. */
export const startUploadTarget = async (t: ExecutionContext): Promise<UploadTarget> => {
	const held: Array<() => void> = [];
	const target = {
		port: 0,
		exchanges: new Array<UploadExchange>(),
		onProgress: (_exchange: UploadExchange): void => undefined,
		isHolding: false,
		release() {
			target.isHolding = false;
			held.splice(0).forEach(answer => {
				answer();
			});
		},
	};
	const server = http.createServer((incoming, outgoing) => {
		const requestId = String(incoming.headers[dialect.requestIdHeader]);
		const headers = {[dialect.requestIdHeader]: requestId, [dialect.signatureHeader]: 'signed'};
		const hash = crypto.createHash('sha1');
		const exchange: UploadExchange = {
			requestId,
			incoming,
			receivedBytes: 0,
			isRefused: false,
			isBroken: false,
			answerEarly(status) {
				exchange.isRefused = status === 503;
				outgoing.writeHead(status, {...headers, ...(status === 503 && {[dialect.notRunHeader]: '1'})}).end('early');
			},
		};
		target.exchanges.push(exchange);
		target.onProgress(exchange);
		incoming.on('error', () => undefined);
		outgoing.on('error', () => undefined);
		incoming.on('data', (chunk: Uint8Array) => {
			hash.update(chunk);
			exchange.receivedBytes += chunk.byteLength;
			target.onProgress(exchange);
		});
		// After an early answer, the request itself is not told that its connection has closed.
		incoming.socket.once('close', () => {
			exchange.isBroken = exchange.digest === undefined;
		});
		incoming.on('end', () => {
			const digest = hash.digest('hex');
			exchange.digest = digest;
			const answer = (): void => {
				if (!outgoing.headersSent && !outgoing.destroyed) {
					outgoing.writeHead(200, headers).end(digest);
				}
			};

			if (target.isHolding) {
				held.push(answer);
				return;
			}

			answer();
		});
	});
	server.on('clientError', (_error, socket) => {
		socket.destroy();
	});
	server.listen(0, '127.0.0.1');
	await new Promise(resolve => {
		server.once('listening', resolve);
	});
	target.port = (server.address() as net.AddressInfo).port;
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return target;
};
