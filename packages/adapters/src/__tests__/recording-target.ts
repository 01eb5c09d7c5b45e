import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import * as timersPromises from 'node:timers/promises';
import type {ExecutionContext} from 'ava';

/** How a recording target treats its requests and connections. */
export enum TargetConduct {
	Prompt = 'prompt',
	Slow = 'slow',
	/** Announces the end of the connection with each answer. */
	ClosesWithAnswer = 'closes-with-answer',
	/** Ends the connection shortly after an answer that announced nothing. */
	EndsIdle = 'ends-idle',
	/** Resets the connection shortly after an answer that announced nothing. */
	ResetsIdle = 'resets-idle',
	/** Answers a request before its body has arrived, and reads on. */
	AnswersEarly = 'answers-early',
	/** Resets the connection when a request has arrived. */
	ResetsBusy = 'resets-busy',
	/** Ends each connection as soon as it is open. */
	EndsUnused = 'ends-unused',
	Silent = 'silent',
}

type Exchange = {readonly socket: net.Socket; readonly requestId: string};

const SLOW_MS = 25;
const IDLE_MS = 3;

const writeAnswer = ({socket, requestId}: Exchange, lines: readonly string[] = []): void => {
	const head = ['HTTP/1.1 200 OK', `x-request-id: ${requestId}`, 'x-signature: signed', 'content-length: 2', ...lines];
	socket.write(`${head.join('\r\n')}\r\n\r\nok`);
};

const ignore = (): void => undefined;

/** What a target does when the head and the whole of a request have arrived. */
type Handlers = {
	onConnection(socket: net.Socket): void;
	onHead(exchange: Exchange): void;
	onWhole(exchange: Exchange): unknown;
};

const HANDLERS: Record<TargetConduct, Partial<Handlers>> = {
	[TargetConduct.Prompt]: {onWhole: exchange => writeAnswer(exchange)},
	[TargetConduct.Slow]: {
		async onWhole(exchange) {
			await timersPromises.setTimeout(SLOW_MS);
			writeAnswer(exchange);
		},
	},
	[TargetConduct.ClosesWithAnswer]: {
		onWhole(exchange) {
			writeAnswer(exchange, ['connection: close']);
			exchange.socket.end();
		},
	},
	[TargetConduct.EndsIdle]: {
		async onWhole(exchange) {
			writeAnswer(exchange);
			await timersPromises.setTimeout(IDLE_MS);
			exchange.socket.end();
		},
	},
	[TargetConduct.ResetsIdle]: {
		async onWhole(exchange) {
			writeAnswer(exchange);
			await timersPromises.setTimeout(IDLE_MS);
			exchange.socket.resetAndDestroy();
		},
	},
	[TargetConduct.AnswersEarly]: {onHead: exchange => writeAnswer(exchange)},
	[TargetConduct.ResetsBusy]: {onHead: ({socket}) => socket.resetAndDestroy()},
	[TargetConduct.EndsUnused]: {onConnection: socket => socket.end()},
	[TargetConduct.Silent]: {},
};

/** A target that counts the requests whose heads have arrived. */
export type RecordingTarget = {
	readonly address: string;
	conduct: TargetConduct;
	/** Number of times that each request has arrived. */
	readonly arrivals: ReadonlyMap<string, number>;
	/** Number of connections that were opened. */
	readonly connectionCount: () => number;
	/** Resolves when the next connection is open. */
	nextConnection(): Promise<void>;
	/** Resolves when the head of the next request has arrived. */
	nextArrival(): Promise<void>;
	stopListening(): Promise<void>;
	/** Listens again at the same address. */
	listenAgain(): Promise<void>;
};

const ID_PATTERN = /^x-request-id: (.*)\r$/im;
const LENGTH_PATTERN = /^content-length: (\d+)\r$/im;
const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';

/** Length of the first request in the received text with its body; undefined while it is not whole. */
const measureRequest = (text: string): number | undefined => {
	const headLength = text.indexOf(HEAD_END) + HEAD_END.length;
	const head = text.slice(0, headLength);
	if (/^transfer-encoding: chunked\r$/im.test(head)) {
		const lastChunkAt = text.indexOf(LAST_CHUNK, headLength - 2);
		return lastChunkAt === -1 ? undefined : lastChunkAt + LAST_CHUNK.length;
	}

	const length = headLength + Number(LENGTH_PATTERN.exec(head)?.[1] ?? 0);
	return text.length < length ? undefined : length;
};

export const startRecordingTarget = async (t: ExecutionContext, conduct: TargetConduct): Promise<RecordingTarget> => {
	const arrivals = new Map<string, number>();
	const sockets = new Set<net.Socket>();
	let connectionCount = 0;
	let connectionWaiters: ReadonlyArray<() => void> = [];
	let arrivalWaiters: ReadonlyArray<() => void> = [];

	const receive = (socket: net.Socket): void => {
		let text = '';
		let isHeadKnown = false;
		socket.on('data', chunk => {
			text += Buffer.from(chunk).toString('latin1');
			while (text.includes(HEAD_END)) {
				const requestId = ID_PATTERN.exec(text)?.[1] ?? '';
				const exchange = {socket, requestId};
				if (!isHeadKnown) {
					isHeadKnown = true;
					arrivals.set(requestId, (arrivals.get(requestId) ?? 0) + 1);
					arrivalWaiters.forEach(resolve => resolve());
					arrivalWaiters = [];
					HANDLERS[target.conduct].onHead?.(exchange);
				}

				const length = measureRequest(text);
				if (length === undefined) {
					return;
				}

				text = text.slice(length);
				isHeadKnown = false;
				void HANDLERS[target.conduct].onWhole?.(exchange);
			}
		});
	};

	const createServer = (): net.Server =>
		net.createServer(socket => {
			connectionCount++;
			sockets.add(socket);
			socket.on('error', ignore);
			socket.on('close', () => {
				sockets.delete(socket);
			});
			receive(socket);
			connectionWaiters.forEach(resolve => resolve());
			connectionWaiters = [];
			HANDLERS[target.conduct].onConnection?.(socket);
		});

	let server = createServer();
	const listen = async (port: number): Promise<void> =>
		new Promise(resolve => {
			server.listen(port, '127.0.0.1', resolve);
		});
	await listen(0);
	const {port} = server.address() as net.AddressInfo;
	const target: RecordingTarget = {
		address: `127.0.0.1:${port}`,
		conduct,
		arrivals,
		connectionCount: () => connectionCount,
		nextConnection: async () =>
			new Promise(resolve => {
				connectionWaiters = [...connectionWaiters, resolve];
			}),
		nextArrival: async () =>
			new Promise(resolve => {
				arrivalWaiters = [...arrivalWaiters, resolve];
			}),
		async stopListening() {
			sockets.forEach(socket => socket.destroy());
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
		async listenAgain() {
			server = createServer();
			await listen(port);
		},
	};
	t.teardown(() => {
		sockets.forEach(socket => socket.destroy());
		server.close();
	});
	return target;
};
