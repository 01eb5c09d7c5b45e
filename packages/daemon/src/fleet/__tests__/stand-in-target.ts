import * as http from 'node:http';
import type * as net from 'node:net';
import * as timersPromises from 'node:timers/promises';
import * as platform from '@bilberrydoor/platform';
import type {ExecutionContext} from 'ava';

const {PLATFORM_DIALECT: dialect} = platform;

/** How a stand-in target treats a request. */
export enum TargetBehaviour {
	Serve = 'serve',
	/** Runs the request and answers 500. */
	Fail = 'fail',
	/** Runs the request and breaks the connection. */
	Reset = 'reset',
	/** Refuses the request without running it. */
	Shed = 'shed',
	/** Runs the request and answers after `slowMs`. */
	Slow = 'slow',
	/** Runs the request and never answers. */
	Silent = 'silent',
	/** Breaks off in the middle of the answer. */
	Truncate = 'truncate',
	/** Answers with the id of another request. */
	Foreign = 'foreign',
	/** Sends a part of an answer whose end is that of its connection, and resets the connection. */
	ResetUnframed = 'reset-unframed',
	/** Sends a part of an answer whose end is that of its connection, and ends the connection in order. */
	EndUnframed = 'end-unframed',
	/** Announces the end of the connection and ends it before the last chunk of the answer. */
	EndChunked = 'end-chunked',
	/** Sends the head of an answer without end. */
	EndlessHead = 'endless-head',
	/** Sends the body of an answer without end. */
	EndlessBody = 'endless-body',
}

const SLOW_MS = 800;
const READ_MS = 50;
const FILLER = 'x'.repeat(10_000);

const answerOk = (outgoing: http.ServerResponse, requestId: string): void => {
	const headers = {[dialect.requestIdHeader]: requestId, [dialect.signatureHeader]: 'signed'};
	outgoing.writeHead(200, headers).end(`done ${requestId}`);
};

const buildRawHead = (requestId: string): string =>
	[
		'HTTP/1.1 200 OK',
		`${dialect.requestIdHeader}: ${requestId}`,
		`${dialect.signatureHeader}: signed`,
		'connection: close',
		'',
	].join('\r\n');

/** Writes for as long as the connection is open, and waits while its reader does not read. */
const writeEndlessly = async (socket: net.Socket, repeated: string): Promise<void> => {
	while (!socket.destroyed) {
		if (socket.writableNeedDrain) {
			await timersPromises.setTimeout(READ_MS);
			continue;
		}

		socket.write(repeated);
		await timersPromises.setTimeout(1);
	}
};

type Behave = (outgoing: http.ServerResponse, requestId: string) => Promise<void> | void;

const BEHAVIOURS: Record<TargetBehaviour, Behave> = {
	[TargetBehaviour.Serve]: answerOk,
	[TargetBehaviour.Fail](outgoing, requestId) {
		const headers = {[dialect.requestIdHeader]: requestId, [dialect.signatureHeader]: 'signed'};
		outgoing.writeHead(500, headers).end('failed');
	},
	[TargetBehaviour.Reset](outgoing) {
		outgoing.socket?.resetAndDestroy();
	},
	[TargetBehaviour.Shed](outgoing, requestId) {
		outgoing.writeHead(503, {[dialect.requestIdHeader]: requestId, [dialect.notRunHeader]: '1'}).end();
	},
	async [TargetBehaviour.Slow](outgoing, requestId) {
		await timersPromises.setTimeout(SLOW_MS);
		answerOk(outgoing, requestId);
	},
	[TargetBehaviour.Silent]: () => undefined,
	[TargetBehaviour.Truncate](outgoing, requestId) {
		const headers = {
			[dialect.requestIdHeader]: requestId,
			[dialect.signatureHeader]: 'signed',
			'content-length': '100',
		};
		outgoing.writeHead(200, headers).write('half', () => {
			outgoing.destroy();
		});
	},
	[TargetBehaviour.EndChunked](outgoing, requestId) {
		outgoing.socket?.end(`${buildRawHead(requestId)}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n`);
	},
	async [TargetBehaviour.EndlessHead](outgoing) {
		outgoing.socket!.write('HTTP/1.1 200 ');
		await writeEndlessly(outgoing.socket!, FILLER);
	},
	async [TargetBehaviour.EndlessBody](outgoing, requestId) {
		outgoing.socket!.write(`${buildRawHead(requestId)}transfer-encoding: chunked\r\n\r\n`);
		await writeEndlessly(outgoing.socket!, `${FILLER.length.toString(16)}\r\n${FILLER}\r\n`);
	},
	[TargetBehaviour.EndUnframed](outgoing, requestId) {
		outgoing.socket?.end(`${buildRawHead(requestId)}\r\nhalf`);
	},
	async [TargetBehaviour.ResetUnframed](outgoing, requestId) {
		outgoing.socket?.write(`${buildRawHead(requestId)}\r\nhalf`);
		// A reset discards what its receiver has not read yet.
		await timersPromises.setTimeout(READ_MS);
		outgoing.socket?.resetAndDestroy();
	},
	[TargetBehaviour.Foreign](outgoing) {
		answerOk(outgoing, 'another-request');
	},
};

export type StandInTarget = {
	readonly targetId: string;
	readonly address: string;
	behaviour: TargetBehaviour;
	/** Ids of the requests that it ran. */
	readonly runIds: string[];
	/** Open connections. */
	countConnections(): Promise<number>;
};

/** Starts a target that the test ends. */
export const startTarget = async (t: ExecutionContext, targetId: string): Promise<StandInTarget> => {
	const runIds: string[] = [];
	const target = {
		targetId,
		address: '',
		behaviour: TargetBehaviour.Serve,
		runIds,
		countConnections: async () =>
			new Promise<number>((resolve, reject) => {
				server.getConnections((error, count) => {
					if (error) {
						reject(error);
						return;
					}

					resolve(count);
				});
			}),
	};
	const server = http.createServer(async (incoming, outgoing) => {
		const requestId = String(incoming.headers[dialect.requestIdHeader]);
		incoming.resume();
		if (incoming.headers[dialect.expectedTargetHeader] !== targetId) {
			outgoing.writeHead(421, {[dialect.requestIdHeader]: requestId}).end();
			return;
		}

		if (target.behaviour !== TargetBehaviour.Shed) {
			runIds.push(requestId);
		}

		await BEHAVIOURS[target.behaviour](outgoing, requestId);
	});
	server.listen(0, '127.0.0.1');
	await new Promise(resolve => {
		server.once('listening', resolve);
	});
	target.address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return target;
};
