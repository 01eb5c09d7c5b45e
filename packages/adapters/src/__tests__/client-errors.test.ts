import {once} from 'node:events';
import * as net from 'node:net';
import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';
import * as nodeServerResponse from '@hono/node-server/utils/response';
import test, {type ExecutionContext} from 'ava';
import * as hono from 'hono';
import {startHttpListener, type NodeBindings} from '../http/http-listener.js';

const HEADERS_TIMEOUT_MS = 100;
/** Time limit that a busy machine does not exceed between two parts of a head. */
const LONG_HEADERS_TIMEOUT_MS = 1500;
const HEADER_LIMIT_BYTES = 1024;
const POLL_MS = 10;

const REQUEST = 'GET /first HTTP/1.1\r\nhost: a.example\r\n\r\n';
const HALF_HEAD = 'GET /second HTTP/1.1\r\nhost: a.exa';

/** Starts a listener whose requests are at work until `finishWork` is called. */
const startListener = async (t: ExecutionContext) => {
	const runPaths: string[] = [];
	const logFields: Array<Readonly<Record<string, unknown>>> = [];
	const log = (_: string, fields: Readonly<Record<string, unknown>> = {}): void => {
		logFields.push(fields);
	};

	let finishWork!: () => void;
	const work = new Promise<void>(resolve => {
		finishWork = resolve;
	});
	const app = new hono.Hono<NodeBindings>();
	app.all('*', async context => {
		runPaths.push(context.req.path);
		if (context.req.path === '/streamed') {
			context.env.outgoing.writeHead(200, {'content-length': '8'}).write('half');
			await work;
			context.env.outgoing.end('half');
			return nodeServerResponse.RESPONSE_ALREADY_SENT;
		}

		await work;
		return context.text(`done ${context.req.path}`);
	});
	const listener = await startHttpListener(app, {
		headersTimeoutMs: HEADERS_TIMEOUT_MS,
		headerLimitBytes: HEADER_LIMIT_BYTES,
		logger: {debug: log, info: log, warn: log, error: log},
	});
	t.teardown(async () => {
		listener.destroy();
		await listener.close();
	});
	return {listener, runPaths, logFields, finishWork};
};

const waitUntil = async (isMet: () => boolean): Promise<void> => {
	while (!isMet()) {
		await timersPromises.setTimeout(POLL_MS);
	}
};

/** Opens a connection. `closed` resolves with everything that was received until the connection has ended. */
const connect = (t: ExecutionContext, {address}: {address: string}) => {
	const [host, port] = address.split(':');
	const socket = net.connect(Number(port), host);
	t.teardown(() => socket.destroy());
	let received = '';
	socket.on('data', data => {
		received += data.toString();
	});
	const closed = new Promise<string>(resolve => {
		['error', 'close'].forEach(event => {
			socket.on(event, () => {
				resolve(received);
			});
		});
	});
	return {socket, closed};
};

test('what the server answers by itself is logged, once a second for each kind', async t => {
	const {listener, logFields, finishWork} = await startListener(t);
	finishWork();
	const send = async (bytes: string): Promise<void> => {
		const {socket, closed} = connect(t, listener);
		socket.write(bytes);
		await closed;
	};

	await Promise.all([send('\u0000'), send('\u0000')]);
	await send(HALF_HEAD);
	await send(`${REQUEST}\u0000`);

	t.deepEqual(
		logFields.map(({event, status, requestCount, skippedCount}) => [event, status, requestCount, skippedCount]),
		[
			[core.LogEvent.ClientError, 400, 0, 0],
			[core.LogEvent.ClientError, 408, 0, 0],
			[core.LogEvent.ClientError, undefined, 1, 0],
		],
	);
});

/** Bytes that the server cannot read as a request, or not in time, and its own answer to them. */
const UNREADABLE_REQUESTS = [
	{name: 'half a head', bytes: HALF_HEAD, status: 408},
	{name: 'a line that is not HTTP', bytes: '\u0000 no request\r\n\r\n', status: 400},
	{name: 'a head over the limit', bytes: `${HALF_HEAD}\r\nx: ${'y'.repeat(HEADER_LIMIT_BYTES)}`, status: 431},
];

// Guards against a 408, 400 or 431 for the next request that is read as the answer to the one at work.
UNREADABLE_REQUESTS.forEach(({name, bytes}) => {
	test(`a request at work gets its own answer when ${name} arrives behind it`, async t => {
		const {listener, runPaths, logFields, finishWork} = await startListener(t);
		const {socket, closed} = connect(t, listener);
		socket.write(`${REQUEST}${bytes}`);
		await waitUntil(() => logFields.length > 0);
		finishWork();
		const received = await closed;
		t.regex(received, /^HTTP\/1\.1 200 OK\r\n/);
		t.regex(received, /done \/first$/);
		t.deepEqual(runPaths, ['/first']);
	});
});

// Guards against an answer that is cut off because the next request on its connection cannot be read.
UNREADABLE_REQUESTS.forEach(({name, bytes}) => {
	test(`an answer that has begun is completed when ${name} arrives behind its request`, async t => {
		const {listener, runPaths, logFields, finishWork} = await startListener(t);
		const {socket, closed} = connect(t, listener);
		socket.write(REQUEST.replace('/first', '/streamed'));
		await once(socket, 'data');
		socket.write(bytes);
		await waitUntil(() => logFields.length > 0);
		finishWork();
		t.regex(await closed, /^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nhalfhalf$/);
		t.deepEqual(runPaths, ['/streamed']);
	});
});

// Guards against a request that runs although its connection ends before its answer.
test('a head that is completed too late behind a request at work does not run', async t => {
	const {listener, runPaths, logFields, finishWork} = await startListener(t);
	const {socket, closed} = connect(t, listener);
	socket.write(`${REQUEST}${HALF_HEAD}`);
	await waitUntil(() => logFields.length > 0);
	socket.write('mple\r\n\r\n');
	await timersPromises.setTimeout(HEADERS_TIMEOUT_MS);
	finishWork();
	t.regex(await closed, /connection: close[^]*done \/first$/i);
	t.deepEqual(runPaths, ['/first']);
});

// Guards against a node that keeps working for a caller that has left.
test('a request at work ends when its caller leaves after half of the next head', async t => {
	const {listener} = await startListener(t);
	const {socket, closed} = connect(t, listener);
	socket.write(`${REQUEST}${HALF_HEAD}`);
	await waitUntil(() => listener.countRequests() === 1);
	socket.end();
	t.is(await closed, '');
	await waitUntil(() => listener.countRequests() === 0);
});

UNREADABLE_REQUESTS.forEach(({name, bytes, status}) => {
	test(`a caller without a request at work gets ${status} for ${name}`, async t => {
		const {listener, runPaths} = await startListener(t);
		const {socket, closed} = connect(t, listener);
		socket.write(bytes);
		t.regex(await closed, new RegExp(`^HTTP/1\\.1 ${status} `));
		t.deepEqual(runPaths, []);
	});
});

// Guards against a 408 for a request that arrived in time, while the process was paused.
test('a head that arrived during a pause of the process is not too late', async t => {
	const {listener, runPaths, finishWork} = await startListener(t);
	finishWork();
	listener.setTimeouts({headersTimeoutMs: LONG_HEADERS_TIMEOUT_MS, keepAliveMs: 60_000});
	const {socket} = connect(t, listener);
	const answered = once(socket, 'data');
	socket.write(HALF_HEAD);
	await timersPromises.setTimeout(HEADERS_TIMEOUT_MS);
	// Timers are next after callbacks of this kind, and the time limit is one of them.
	await timersPromises.setImmediate();
	socket.write('mple\r\n\r\n');
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, LONG_HEADERS_TIMEOUT_MS);
	t.regex(String(await answered), /^HTTP\/1\.1 200 /);
	t.deepEqual(runPaths, ['/second']);
});

// Guards against a 408 on a connection that its caller has opened but not used.
test('the time limit for a head begins with its first byte', async t => {
	const {listener, runPaths, finishWork} = await startListener(t);
	finishWork();
	const {socket} = connect(t, listener);
	await timersPromises.setTimeout(4 * HEADERS_TIMEOUT_MS);
	const answered = once(socket, 'data');
	socket.write(REQUEST);
	t.regex(String(await answered), /^HTTP\/1\.1 200 /);
	t.deepEqual(runPaths, ['/first']);
});

// Guards against limits of a new catalogue that do not apply to connections that callers keep.
test('a changed time limit for heads applies to open connections', async t => {
	const {listener} = await startListener(t);
	listener.setTimeouts({headersTimeoutMs: 60_000, keepAliveMs: 60_000});
	const {socket, closed} = connect(t, listener);
	socket.write(HALF_HEAD);
	await timersPromises.setTimeout(3 * HEADERS_TIMEOUT_MS);
	t.false(socket.readableEnded);
	listener.setTimeouts({headersTimeoutMs: HEADERS_TIMEOUT_MS, keepAliveMs: 60_000});
	t.regex(await closed, /^HTTP\/1\.1 408 /);
});
