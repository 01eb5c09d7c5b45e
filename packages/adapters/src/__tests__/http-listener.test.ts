import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import * as stream from 'node:stream';
import * as timersPromises from 'node:timers/promises';
import * as nodeServerResponse from '@hono/node-server/utils/response';
import test from 'ava';
import * as hono from 'hono';
import * as undici from 'undici';
import {startHttpListener, type NodeBindings} from '../http/http-listener.js';

// Guards against a shutdown that does not wait for requests whose bodies are still arriving.
test('a request is counted from the arrival of its head until its answer is sent', async t => {
	const counts: number[] = [];
	const app = new hono.Hono<NodeBindings>();
	app.post('*', async context => {
		counts.push(listener.countRequests());
		await context.req.text();
		return context.text('done');
	});
	const listener = await startHttpListener(app, {});
	t.teardown(async () => {
		listener.destroy();
		await listener.close();
	});
	t.is(listener.countRequests(), 0);
	const body = new stream.PassThrough();
	body.write('first');
	const answered = undici.request(`http://${listener.address}/`, {method: 'POST', body});
	while (counts.length === 0) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	body.end('last');
	const {body: answer} = await answered;
	t.is(await answer.text(), 'done');
	t.deepEqual(counts, [1]);
	while (listener.countRequests() > 0) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
});

/** More than the socket buffers of both ends take, so that most of the answer waits in the process. */
const LARGE_ANSWER_BYTES = 32 * 1024 * 1024;

/** Time in which the server has handed over its answer and begun to close. */
const SLOW_READER_DELAY_MS = 200;

const ANSWER_KINDS = [
	{name: 'written at once', chunkCount: 1},
	{name: 'written in parts', chunkCount: 8},
];

// Guards against a planned stop that cuts off an answer whose last part was written but not sent yet.
ANSWER_KINDS.forEach(({name, chunkCount}) => {
	test(`closing the listener lets a slow reader receive the whole answer, ${name}`, async t => {
		const chunk = Buffer.alloc(LARGE_ANSWER_BYTES / chunkCount, 'x');
		const ended = new EventTarget();
		const app = new hono.Hono<NodeBindings>();
		app.get('*', context => {
			const {outgoing} = context.env;
			outgoing.writeHead(200, {'content-length': String(LARGE_ANSWER_BYTES), connection: 'close'});
			Array.from({length: chunkCount}).forEach(() => {
				outgoing.write(chunk);
			});
			outgoing.end();
			ended.dispatchEvent(new Event('end'));
			return nodeServerResponse.RESPONSE_ALREADY_SENT;
		});
		const listener = await startHttpListener(app, {});
		t.teardown(() => {
			listener.destroy();
		});
		const hasEnded = new Promise(resolve => {
			ended.addEventListener('end', resolve);
		});
		const [host, port] = listener.address.split(':');
		const socket = net.connect(Number(port), host);
		socket.pause();
		socket.write('GET / HTTP/1.1\r\nhost: a.example\r\n\r\n');
		await hasEnded;
		const closed = listener.close();
		await timersPromises.setTimeout(SLOW_READER_DELAY_MS);
		let receivedBytes = 0;
		socket.on('data', data => {
			receivedBytes += data.byteLength;
		});
		socket.resume();
		await new Promise(resolve => {
			socket.on('close', resolve);
			socket.on('error', resolve);
		});
		t.true(receivedBytes > LARGE_ANSWER_BYTES, `${receivedBytes} bytes`);
		await closed;
	});
});

test('closing the listener closes idle connections, and refuses new ones', async t => {
	const app = new hono.Hono<NodeBindings>();
	app.get('*', context => context.text('done'));
	const listener = await startHttpListener(app, {});
	const [host, port] = listener.address.split(':');
	const unused = net.connect(Number(port), host);
	const agent = new undici.Agent();
	t.teardown(async () => agent.destroy());
	const {body} = await undici.request(`http://${listener.address}/`, {dispatcher: agent});
	t.is(await body.text(), 'done');
	await listener.close();
	await t.throwsAsync(undici.request(`http://${listener.address}/`, {dispatcher: agent}));
	unused.destroy();
});
