import * as http from 'node:http';
import type * as net from 'node:net';
import * as timersPromises from 'node:timers/promises';
import * as platform from '@bilberrydoor/platform';
import type {ExecutionContext} from 'ava';

const {PLATFORM_DIALECT: dialect} = platform;

/** How a stand-in target handles a request. */
export enum TargetBehaviour {
	Serve = 'serve',
	/** Runs the request and answers 500. */
	Fail = 'fail',
	/** Runs the request and resets the connection. */
	Reset = 'reset',
	/** Refuses the request without running it. */
	Shed = 'shed',
	/** Runs the request and answers after `SLOW_MS`. */
	Slow = 'slow',
	/** Runs the request, sends half of the answer, and the rest after `SLOW_MS`. */
	SlowHalves = 'slow-halves',
	/** Runs the request and never answers. */
	NoAnswer = 'silent',
	/** Runs the request and closes the connection in the middle of the answer. */
	Truncate = 'truncate',
	/** Answers with the id of another request. */
	WrongRequestId = 'foreign',
	/** Sends part of an answer that is delimited by the end of its connection, and resets the connection. */
	ResetUnframed = 'reset-unframed',
	/** Sends part of an answer that is delimited by the end of its connection, and closes the connection without an error. */
	EndUnframed = 'end-unframed',
	/** Sends `connection: close` and closes the connection before the last chunk of the answer. */
	EndChunked = 'end-chunked',
	/** Runs the request and sends an answer of `LARGE_ANSWER_BYTES`. */
	Large = 'large',
	/** Sends an answer whose head never ends. */
	EndlessHead = 'endless-head',
	/** Sends an answer whose body never ends. */
	EndlessBody = 'endless-body',
	/** Refuses the request without running it, with a body that never ends. */
	EndlessRefusal = 'endless-refusal',
	/** Runs the request, and announces in its answer that it is leaving. */
	Leave = 'leave',
	/** Refuses the request without running it, and asks for a pause of 5 s. */
	Pause = 'pause',
	/** Sends the refusal of a misdirected request again, when the next request arrives on its connection. */
	RepeatRefusal = 'repeat-refusal',
	/** Runs the request, and sends the start of the refusal of a misdirected request before its answer. */
	CutRefusal = 'cut-refusal',
}

const SLOW_MS = 800;

/** Time for the receiver to read what the target has sent. */
const RECEIVER_READ_MS = 50;
/** Slightly smaller than the largest answer that a node buffers. */
const LARGE_ANSWER_BYTES = 250_000;
const ENDLESS_CHUNK = 'x'.repeat(10_000);

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

const buildRawRefusal = (requestId: string): string =>
	`HTTP/1.1 421 Misdirected Request\r\n${dialect.requestIdHeader}: ${requestId}\r\ncontent-length: 0\r\n\r\n`;

/** Writes as long as the connection is open, and pauses while the receiver does not read. */
const writeEndlessly = async (socket: net.Socket, repeated: string): Promise<void> => {
	while (!socket.destroyed) {
		if (socket.writableNeedDrain) {
			await timersPromises.setTimeout(RECEIVER_READ_MS);
			continue;
		}

		socket.write(repeated);
		await timersPromises.setTimeout(1);
	}
};

type BehaviourHandler = (outgoing: http.ServerResponse, requestId: string) => Promise<void> | void;

const BEHAVIOURS: Record<TargetBehaviour, BehaviourHandler> = {
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
	[TargetBehaviour.Large](outgoing, requestId) {
		const headers = {[dialect.requestIdHeader]: requestId, [dialect.signatureHeader]: 'signed'};
		outgoing.writeHead(200, headers).end('x'.repeat(LARGE_ANSWER_BYTES));
	},
	async [TargetBehaviour.Slow](outgoing, requestId) {
		await timersPromises.setTimeout(SLOW_MS);
		answerOk(outgoing, requestId);
	},
	async [TargetBehaviour.SlowHalves](outgoing, requestId) {
		const body = `done ${requestId}`;
		const headers = {
			[dialect.requestIdHeader]: requestId,
			[dialect.signatureHeader]: 'signed',
			'content-length': String(body.length),
		};
		outgoing.writeHead(200, headers).write(body.slice(0, body.length / 2));
		await timersPromises.setTimeout(SLOW_MS);
		outgoing.end(body.slice(body.length / 2));
	},
	[TargetBehaviour.NoAnswer]: () => undefined,
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
		await writeEndlessly(outgoing.socket!, ENDLESS_CHUNK);
	},
	async [TargetBehaviour.EndlessBody](outgoing, requestId) {
		outgoing.socket!.write(`${buildRawHead(requestId)}transfer-encoding: chunked\r\n\r\n`);
		await writeEndlessly(outgoing.socket!, `${ENDLESS_CHUNK.length.toString(16)}\r\n${ENDLESS_CHUNK}\r\n`);
	},
	async [TargetBehaviour.EndlessRefusal](outgoing, requestId) {
		const head = `HTTP/1.1 503 Busy\r\n${dialect.requestIdHeader}: ${requestId}\r\n${dialect.notRunHeader}: 1\r\n`;
		outgoing.socket!.write(`${head}transfer-encoding: chunked\r\n\r\n`);
		await writeEndlessly(outgoing.socket!, `${ENDLESS_CHUNK.length.toString(16)}\r\n${ENDLESS_CHUNK}\r\n`);
	},
	[TargetBehaviour.Leave](outgoing, requestId) {
		outgoing.setHeader(dialect.leavingHeader, dialect.leavingValue);
		answerOk(outgoing, requestId);
	},
	[TargetBehaviour.Pause](outgoing, requestId) {
		const headers = {[dialect.requestIdHeader]: requestId, [dialect.notRunHeader]: '1', 'retry-after': '5'};
		outgoing.writeHead(503, headers).end();
	},
	[TargetBehaviour.EndUnframed](outgoing, requestId) {
		outgoing.socket?.end(`${buildRawHead(requestId)}\r\nhalf`);
	},
	async [TargetBehaviour.ResetUnframed](outgoing, requestId) {
		outgoing.socket?.write(`${buildRawHead(requestId)}\r\nhalf`);
		// A reset discards data that the receiver has not read yet.
		await timersPromises.setTimeout(RECEIVER_READ_MS);
		outgoing.socket?.resetAndDestroy();
	},
	[TargetBehaviour.CutRefusal](outgoing, requestId) {
		outgoing.socket!.write('HTTP/1.1 421 Misd');
		answerOk(outgoing, requestId);
	},
	async [TargetBehaviour.RepeatRefusal](outgoing, requestId) {
		await timersPromises.setTimeout(RECEIVER_READ_MS);
		answerOk(outgoing, requestId);
	},
	[TargetBehaviour.WrongRequestId](outgoing) {
		answerOk(outgoing, 'another-request');
	},
};

const REFUSING_BEHAVIOURS: ReadonlySet<TargetBehaviour> = new Set([
	TargetBehaviour.Shed,
	TargetBehaviour.EndlessRefusal,
	TargetBehaviour.Pause,
]);

export type StandInTarget = {
	readonly targetId: string;
	readonly address: string;
	behaviour: TargetBehaviour;
	/** Ids of the requests that the target ran. */
	readonly runIds: string[];
	/** Ids of the requests that reached the target, whether it ran them or not. */
	readonly arrivedIds: string[];
	/** Names and values of the headers of each request that reached the target, by request id. */
	readonly arrivedHeaders: Map<string, readonly string[]>;
	/** Counts the open connections. */
	countConnections(): Promise<number>;
};

/** Starts a target that is closed when the test ends. */
export const startTarget = async (t: ExecutionContext, targetId: string): Promise<StandInTarget> => {
	const runIds: string[] = [];
	const arrivedIds: string[] = [];
	const arrivedHeaders = new Map<string, readonly string[]>();
	/** Refusals that are sent again on their connections. */
	const refusalsToRepeat = new WeakMap<net.Socket, string>();
	const target = {
		targetId,
		address: '',
		behaviour: TargetBehaviour.Serve,
		runIds,
		arrivedIds,
		arrivedHeaders,
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
		const repeated = refusalsToRepeat.get(incoming.socket);
		if (repeated !== undefined) {
			refusalsToRepeat.delete(incoming.socket);
			incoming.socket.write(repeated);
		}

		if (incoming.headers[dialect.expectedTargetHeader] !== targetId) {
			if (target.behaviour === TargetBehaviour.RepeatRefusal) {
				refusalsToRepeat.set(incoming.socket, buildRawRefusal(requestId));
			}

			outgoing.writeHead(421, {[dialect.requestIdHeader]: requestId}).end();
			return;
		}

		arrivedIds.push(requestId);
		arrivedHeaders.set(requestId, incoming.rawHeaders);
		if (!REFUSING_BEHAVIOURS.has(target.behaviour)) {
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
