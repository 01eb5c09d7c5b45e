import {Buffer} from 'node:buffer';
import type * as http from 'node:http';
import * as net from 'node:net';
import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';
import * as nodeServerResponse from '@hono/node-server/utils/response';
import test, {type ExecutionContext} from 'ava';
import * as hono from 'hono';
import {createClientGuard, type ClientGuard} from '../http/client-guard.js';
import {ClientLimit, type ClientLimits} from '../http/client-limits.js';
import {startHttpListener, splitAddress, type NodeBindings} from '../http/http-listener.js';
import {createSystemRandom} from '../platform/system-random.js';

const LIMITS: ClientLimits = {
	connectionLimitCount: 3,
	readAheadLimitCount: 4,
	headerLineLimitCount: 100,
	stalledLimitMs: 500,
};
const ID_HEADER = 'x-request-id';
const HEADER_LIMIT_BYTES = 16_384;
const POLL_MS = 10;

type Exchange = {readonly incoming: http.IncomingMessage; readonly outgoing: http.ServerResponse};
type Handler = (exchange: Exchange, guard: ClientGuard) => Promise<void> | void;

const answerPath: Handler = ({incoming, outgoing}) => {
	outgoing.end(`<${incoming.url}>`);
};

const waitUntil = async (isMet: () => boolean): Promise<void> => {
	while (!isMet()) {
		await timersPromises.setTimeout(POLL_MS);
	}
};

const startServer = async (
	t: ExecutionContext,
	handle: Handler,
	given: {limits?: Partial<ClientLimits>; limitBytes?: number} = {},
) => {
	const reached: ClientLimit[] = [];
	const held = core.createHeldBytes({limitBytes: given.limitBytes ?? 10_000_000});
	const guard = createClientGuard({
		limits: {...LIMITS, ...given.limits},
		held,
		random: createSystemRandom(),
		noteLimit(limit) {
			reached.push(limit);
		},
		requestIdHeader: ID_HEADER,
		getHeaderLimitBytes: () => HEADER_LIMIT_BYTES,
	});
	const exchanges: Exchange[] = [];
	const app = new hono.Hono<NodeBindings>();
	app.all('*', async ({env}) => {
		exchanges.push(env);
		await handle(env, guard);
		return nodeServerResponse.RESPONSE_ALREADY_SENT;
	});
	const listener = await startHttpListener(app, {guard});
	t.teardown(async () => {
		listener.destroy();
		await listener.close();
	});
	const connect = async () => {
		const {host, port} = splitAddress(listener.address);
		const socket = net.connect(port, host);
		socket.on('error', () => undefined);
		t.teardown(() => socket.destroy());
		const client = {socket, received: '', isClosed: false};
		socket.on('data', chunk => {
			client.received += chunk.toString();
		});
		socket.on('close', () => {
			client.isClosed = true;
		});
		await new Promise(resolve => {
			socket.once('connect', resolve);
		});
		return client;
	};

	return {held, exchanges, reached, connect};
};

const buildRequest = (path: string, lines = ''): string => `GET ${path} HTTP/1.1\r\nHost: a\r\n${lines}\r\n`;

const listPaths = (text: string): string[] => [...text.matchAll(/<(.*?)>/g)].map(([, path]) => path!);

const REQUEST_COUNT = 200;
const PATHS = Array.from({length: REQUEST_COUNT}, (_, index) => `/${index}`);

// Guards against requests that are lost or answered out of order because their connection was not read for a while.
test('requests that are sent ahead are answered in order, also beyond the limit', async t => {
	const server = await startServer(t, async exchange => {
		await timersPromises.setTimeout(1);
		await answerPath(exchange, undefined!);
	});
	const client = await server.connect();
	client.socket.write(PATHS.map(path => buildRequest(path)).join(''));
	await waitUntil(() => listPaths(client.received).length === REQUEST_COUNT);
	t.deepEqual(listPaths(client.received), PATHS);
	await waitUntil(() => server.held.usedRatio() === 0);
	t.deepEqual(server.reached, []);
});

// Guards against regular requests that go behind others, and against requests sent ahead that do not.
test('a request counts as sent ahead if it arrives before the answers ahead of it', async t => {
	const aheadPaths: unknown[] = [];
	const server = await startServer(t, async (exchange, guard) => {
		if (guard.isSentAhead(exchange.incoming)) {
			aheadPaths.push(exchange.incoming.url);
		}

		await timersPromises.setTimeout(POLL_MS);
		await answerPath(exchange, guard);
	});
	const client = await server.connect();
	const send = async (paths: readonly string[]): Promise<void> => {
		client.received = '';
		client.socket.write(paths.map(path => buildRequest(path)).join(''));
		await waitUntil(() => listPaths(client.received).length === paths.length);
	};

	await send(['/alone']);
	await send(['/alone-again']);
	// More than are handled at once.
	const paths = PATHS.slice(0, 3 * LIMITS.readAheadLimitCount);
	await send(paths);
	await send(['/alone-at-last']);
	t.deepEqual(aheadPaths, paths.slice(1));
});

// Guards against requests that are handled without a bound, and that are handled on for a connection that has closed.
test('a connection has a bounded number of requests at work, which end with it', async t => {
	const server = await startServer(t, () => undefined);
	const client = await server.connect();
	client.socket.write(PATHS.map(path => buildRequest(path)).join(''));
	await waitUntil(() => server.exchanges.length > 0);
	await timersPromises.setTimeout(100);
	// One part of 1 KiB holds 25 of these requests or more.
	const startedCount = server.exchanges.length;
	t.true(startedCount >= LIMITS.readAheadLimitCount && startedCount < 50, `${startedCount} requests`);
	const closedPaths: unknown[] = [];
	server.exchanges.forEach(({incoming, outgoing}) => {
		outgoing.on('close', () => {
			closedPaths.push(incoming.url);
		});
	});
	client.socket.resetAndDestroy();
	await waitUntil(() => closedPaths.length === startedCount);
	await waitUntil(() => server.held.usedRatio() === 0);
	t.is(server.exchanges.length, startedCount);
});

// Guards against bodies that are damaged when their connection is read in parts.
[
	{name: 'with a length', frame: (body: string) => `Content-Length: ${body.length}\r\n\r\n${body}`},
	{
		name: 'in chunks',
		frame: (body: string) => `Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
	},
].forEach(({name, frame}) => {
	test(`a large body ${name} arrives whole, and the requests behind it are answered`, async t => {
		const body = Array.from({length: 300_000}, (_, index) => index.toString(36)).join(' ');
		const server = await startServer(t, async ({incoming, outgoing}) => {
			const chunks: Uint8Array[] = [];
			for await (const chunk of incoming) {
				chunks.push(chunk as Uint8Array);
				await timersPromises.setImmediate();
			}

			const isWhole = incoming.method === 'GET' || Buffer.concat(chunks).toString() === body;
			outgoing.end(`<${incoming.url} ${isWhole}>`);
		});
		const client = await server.connect();
		client.socket.write(`POST /upload HTTP/1.1\r\nHost: a\r\n${frame(body)}${buildRequest('/1')}${buildRequest('/2')}`);
		await waitUntil(() => listPaths(client.received).length === 3);
		t.deepEqual(listPaths(client.received), ['/upload true', '/1 true', '/2 true']);
	});
});

const buildLines = (count: number): string => Array.from({length: count}, (_, index) => `l${index}:\r\n`).join('');

// Guards against header lines that are dropped without a sign, and against heads of the largest size that are refused.
test('a request has up to the limit of header lines, and gets 431 beyond it', async t => {
	const server = await startServer(t, answerPath);
	// The head has a line for the host too.
	const clients = await Promise.all(
		[LIMITS.headerLineLimitCount - 1, LIMITS.headerLineLimitCount].map(async count => {
			const client = await server.connect();
			client.socket.write(buildRequest('/lines', buildLines(count)));
			await waitUntil(() => client.received !== '');
			return client;
		}),
	);
	t.deepEqual(
		clients.map(({received}) => received.slice(0, 12)),
		['HTTP/1.1 200', 'HTTP/1.1 431'],
	);
	t.is(server.exchanges.length, 1);
	t.deepEqual(server.reached, [ClientLimit.HeaderLines]);
});

// Guards against a refusal whose request has run, or that says neither which request it means nor when to come back.
test('a request for which there is no room gets 503 with its id and a Retry-After, and is not handled', async t => {
	const server = await startServer(t, answerPath, {limitBytes: 20_000});
	const client = await server.connect();
	client.socket.write(buildRequest('/x', 'X-Request-Id: r-1\r\n'));
	await waitUntil(() => client.received !== '');
	t.regex(client.received, /^HTTP\/1\.1 503 [^]*x-request-id: r-1[^]*retry-after: [12]\.\d{3}/);
	t.deepEqual(server.exchanges, []);
	t.deepEqual(server.reached, [ClientLimit.Requests]);
});

// Guards against connections that take all descriptors, and against a request at work that is cut off for a new connection.
test('beyond the limit of connections, the one that has been idle for longest is closed', async t => {
	const server = await startServer(t, exchange => {
		if (exchange.incoming.url !== '/wait') {
			void answerPath(exchange, undefined!);
		}
	});
	const busy = await server.connect();
	busy.socket.write(buildRequest('/wait'));
	await waitUntil(() => server.exchanges.length === 1);
	const answered = await server.connect();
	const silent = await server.connect();
	await timersPromises.setTimeout(100);
	answered.socket.write(buildRequest('/x'));
	await waitUntil(() => answered.received !== '');
	const last = await server.connect();
	await waitUntil(() => silent.isClosed);
	t.deepEqual([busy.isClosed, answered.isClosed, last.isClosed], [false, false, false]);
	t.deepEqual(server.reached, [ClientLimit.Connections]);
});

const ANSWER_BYTES = 8_000_000;

// Guards against callers that make a node hold answers for as long as they like, and against a slow link that is taken for one.
test('a caller that reads nothing is cut off, and one that reads slowly is not', async t => {
	const server = await startServer(
		t,
		({outgoing}, guard) => {
			guard.holdAnswer(outgoing, ANSWER_BYTES);
			for (let sentBytes = 0; sentBytes < ANSWER_BYTES; sentBytes += 100_000) {
				outgoing.write(Buffer.alloc(100_000));
			}

			outgoing.end();
		},
		{limitBytes: 1_000_000_000},
	);
	const [stalled, slow] = [await server.connect(), await server.connect()];
	stalled.socket.pause();
	const reader = setInterval(() => {
		slow.socket.resume();
		setImmediate(() => slow.socket.pause());
	}, POLL_MS);
	stalled.socket.write(buildRequest('/x'));
	slow.socket.write(buildRequest('/x'));
	await waitUntil(() => server.reached.length > 0);
	await waitUntil(() => slow.received.length > ANSWER_BYTES);
	clearInterval(reader);
	t.deepEqual(server.reached, [ClientLimit.SlowReader]);
	t.false(slow.isClosed);
});

// Guards against heads that fill the memory until their time limit, and against complete ones that are refused without their id.
[
	{name: 'a header value', start: 'GET / HTTP/1.1\r\nHost: a\r\nb: ', repeated: 'v', limit: ClientLimit.HeadSize},
	{name: 'spaces that the parser does not count', start: 'GET ', repeated: ' ', limit: ClientLimit.HeadSize},
	{name: 'header lines', start: 'GET / HTTP/1.1\r\nHost: a\r\n', repeated: 'b:\r\n', limit: ClientLimit.HeaderLines},
	{name: 'empty lines', start: '', repeated: '\r\n', limit: ClientLimit.EmptyLines},
].forEach(({name, start, repeated, limit}) => {
	test(`a client that sends ${name} without end is refused at once`, async t => {
		const server = await startServer(t, answerPath);
		const client = await server.connect();
		client.socket.write(start + repeated.repeat((2 * HEADER_LIMIT_BYTES) / repeated.length));
		await waitUntil(() => client.isClosed);
		t.regex(client.received, limit === ClientLimit.EmptyLines ? /^HTTP\/1\.1 400/ : /^HTTP\/1\.1 431/);
		t.deepEqual(server.reached, [limit]);
		t.deepEqual(server.exchanges, []);
		await waitUntil(() => server.held.usedRatio() === 0);
	});
});

const UNREAD_LIMIT_BYTES = 16_000_000;

// Guards against an ended connection that is read as fast as its caller sends until it is closed, which fills the memory.
test('little is read of what a client sends after it was refused', async t => {
	const server = await startServer(t, answerPath);
	const client = await server.connect();
	// A client that reads would notice that its connection has ended.
	client.socket.pause();
	const block = Buffer.alloc(100_000, 'x');
	const send = (): void => {
		while (!client.isClosed && client.socket.write(block));
	};

	client.socket.on('drain', send);
	send();
	await waitUntil(() => client.isClosed);
	// The buffers of the system hold a few MB.
	t.true(client.socket.bytesWritten < UNREAD_LIMIT_BYTES, `${client.socket.bytesWritten} bytes`);
});

// Guards against requests that the HTTP server refuses by itself, whose bodies are then taken for heads.
test('requests with an unknown expectation are refused, and those behind them are answered', async t => {
	const server = await startServer(t, answerPath);
	const client = await server.connect();
	const body = 'x\r\n'.repeat(HEADER_LIMIT_BYTES);
	const refused = `POST /x HTTP/1.1\r\nHost: a\r\nExpect: x\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
	client.socket.write(refused.repeat(3) + buildRequest('/last'));
	await waitUntil(() => client.isClosed || listPaths(client.received).length > 0);
	t.deepEqual(client.received.match(/HTTP\/1\.1 \d{3}/g), [
		...Array.from({length: 3}, () => 'HTTP/1.1 417'),
		'HTTP/1.1 200',
	]);
	t.deepEqual(server.reached, []);
});
