import {once} from 'node:events';
import * as net from 'node:net';
import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';
import test, {type ExecutionContext} from 'ava';
import {createFleetTargetClient} from '../target/fleet-target-client.js';
import {buildAttempt, DIALECT} from './build-attempt.js';
import {startRawTarget} from './raw-target.js';

/** Time for the client to read what the target has sent. */
const READ_DELAY_MS = 30;

const createSender = (t: ExecutionContext) => {
	const client = createFleetTargetClient({dialect: DIALECT, connectTimeoutMs: 5000});
	t.teardown(async () => client.close());
	return async (address: string, requestId: string, given: Partial<core.FleetAttempt> = {}) =>
		client.send({...buildAttempt(address, requestId), ...given}, new AbortController().signal);
};

const buildHead = (status: string, requestId: string, lines: readonly string[] = []): string =>
	[`HTTP/1.1 ${status}`, `x-request-id: ${requestId}`, ...lines, 'content-length: 0', '', ''].join('\r\n');

const REFUSAL_LINES = ['x-not-run: 1'];
const SUCCESS_LINES = ['x-signature: signed'];

const CUT_ANSWERS = [
	{name: 'misdirected request', place: 'status line', text: 'HTTP/1.1 421 Misd', status: '200 OK'},
	{name: 'refusal', place: 'header', text: 'HTTP/1.1 503 Busy\r\nx-not-run: 1\r\nretry-after: 0.', status: '200 OK'},
	{name: 'client error', place: 'status line', text: 'HTTP/1.1 404 Not', status: '200 OK'},
	{name: 'success', place: 'status line', text: 'HTTP/1.1 200 O', status: '500 Failed'},
];

// Guards against a running call that counts as refused, and against a failure that is forwarded as a success: the start of an
// extra answer and the call's own answer are read as one head.
CUT_ANSWERS.forEach(({name, place, text, status}) => {
	test(`an extra ${name} that breaks off in its ${place} does not change the meaning of the next answer`, async t => {
		const target = await startRawTarget(t, ({socket, requestCount, requestId}) => {
			const answer = buildHead(requestCount === 1 ? '200 OK' : status, requestId, SUCCESS_LINES);
			socket.write(requestCount === 1 ? answer : text + answer);
		});
		const send = createSender(t);
		await send(target.address, 'first');
		const second = await send(target.address, 'second');
		const meaning = second.isOk() ? second.value.meaning : second.error.kind;
		t.true([core.AnswerMeaning.Mismatched, core.AttemptErrorKind.Broken].includes(meaning), meaning);
	});
});

// Guards against extra bytes that arrive between two calls and become the start of the next call's answer.
CUT_ANSWERS.forEach(({name, place, text}) => {
	test(`an extra ${name} that breaks off in its ${place} between two calls closes the connection`, async t => {
		const target = await startRawTarget(t, async ({socket, requestId}) => {
			socket.write(buildHead('200 OK', requestId, SUCCESS_LINES));
			await timersPromises.setTimeout(READ_DELAY_MS);
			socket.write(text);
		});
		const send = createSender(t);
		await send(target.address, 'first');
		await timersPromises.setTimeout(2 * READ_DELAY_MS);
		const second = await send(target.address, 'second');
		t.like(second._unsafeUnwrap(), {meaning: core.AnswerMeaning.Completed, answer: {status: 200}});
		t.is(target.connectionCount(), 2);
	});
});

// Guards against answers that never match, so that each call with such an id fails and sets its target aside.
test('an answer to a call whose id has bytes beyond ASCII is accepted', async t => {
	const target = await startRawTarget(t, ({socket, requestId}) => {
		socket.write(buildHead('200 OK', requestId, SUCCESS_LINES), 'latin1');
	});
	// The bytes of "é" in UTF-8, as the server of the front decodes them.
	const result = await createSender(t)(target.address, 'caf\u00C3\u00A9');
	t.is(result._unsafeUnwrap().meaning, core.AnswerMeaning.Completed);
});

// Guards against a running call that counts as refused: its caller sent the same id before, and the copy of that refusal arrives.
test('the copy of a refusal is not accepted as the answer to a later call with the same id', async t => {
	const target = await startRawTarget(t, async ({socket, requestCount, requestId}) => {
		if (target.connectionCount() === 1) {
			socket.write(buildHead('503 Busy', requestId, REFUSAL_LINES));
		}

		if (target.connectionCount() === 2 || requestCount > 1) {
			await timersPromises.setTimeout(READ_DELAY_MS);
			socket.write(buildHead('200 OK', requestId, SUCCESS_LINES));
		}
	});
	const send = createSender(t);
	await send(target.address, 'call');
	const second = await send(target.address, 'call');
	t.is(second._unsafeUnwrap().meaning, core.AnswerMeaning.Completed);
});

// Guards against a pause that begins again, because a copy of the refusal that asked for it arrives with a later call.
test('an answer to another call announces nothing', async t => {
	const target = await startRawTarget(t, ({socket}) => {
		socket.write(buildHead('503 Busy', 'first', [...REFUSAL_LINES, 'retry-after: 5']));
	});
	const send = createSender(t);
	await send(target.address, 'first');
	const second = await send(target.address, 'second');
	t.is(second._unsafeUnwrap().announcement, undefined);
});

// Guards against calls that fail because another call needs a new connection to the same target.
test('calls in progress and queued calls end as usual beside attempts that need new connections', async t => {
	const target = await startRawTarget(t, async ({socket, requestId}) => {
		await timersPromises.setTimeout(READ_DELAY_MS);
		socket.write(buildHead('200 OK', requestId, SUCCESS_LINES));
	});
	const send = createSender(t);
	const results = await Promise.all([
		send(target.address, 'running'),
		send(target.address, 'queued'),
		send(target.address, 'second attempt', {needsNewConnection: true}),
		send(target.address, 'another', {needsNewConnection: true}),
		send(target.address, 'later'),
	]);
	t.deepEqual(
		results.map(result => (result.isOk() ? result.value.meaning : result.error.detail)),
		results.map(() => core.AnswerMeaning.Completed),
	);
});

// Guards against an answer that the target sent before it got the call: on a new connection, the call is sent as soon as it opens.
test('an answer that is sent before the call arrives is not accepted', async t => {
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.write(buildHead('503 Busy', 'call', REFUSAL_LINES));
		socket.on('data', async () => {
			await timersPromises.setTimeout(READ_DELAY_MS);
			socket.write(buildHead('200 OK', 'call', SUCCESS_LINES));
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => server.close());
	const result = await createSender(t)(`127.0.0.1:${(server.address() as net.AddressInfo).port}`, 'call');
	t.not(result.isOk() ? result.value.meaning : undefined, core.AnswerMeaning.NotRun);
});

/** Starts a target that resets a connection when it accepts it while as many as `limitCount` are open. */
const startLimitedTarget = async (t: ExecutionContext, limitCount: number): Promise<string> => {
	const sockets = new Set<net.Socket>();
	let refusedCount = 0;
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		if (sockets.size >= limitCount) {
			socket.resetAndDestroy();
			return;
		}

		sockets.add(socket);
		socket.once('close', () => sockets.delete(socket));
		socket.on('data', chunk => {
			const requestId = /^x-request-id: (.*)$/im.exec(chunk.toString('latin1'))?.[1] ?? '';
			const isRefused = requestId === 'call' && refusedCount++ === 0;
			socket.write(
				isRefused ? buildHead('503 Busy', requestId, REFUSAL_LINES) : buildHead('200 OK', requestId, SUCCESS_LINES),
			);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		sockets.forEach(socket => socket.destroy());
		server.close();
	});
	return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
};

// Guards against a second attempt that breaks at a target that has no connection left beyond the idle ones of this node.
test('a second attempt at a target that accepts one connection is served', async t => {
	const address = await startLimitedTarget(t, 1);
	const send = createSender(t);
	await send(address, 'call');
	await timersPromises.setTimeout(READ_DELAY_MS);
	const second = await send(address, 'call', {needsNewConnection: true});
	t.is(
		second.isOk() ? second.value.meaning : `${second.error.kind}: ${second.error.detail}`,
		core.AnswerMeaning.Completed,
	);
});

// Guards against calls that fail because their connection delivered the answer to another call before.
test('a queued call is not sent on a connection that delivered the answer to another call', async t => {
	const target = await startRawTarget(t, async ({socket, requestCount, requestId}) => {
		if (requestCount === 1 && requestId === 'first') {
			socket.write(buildHead('503 Busy', requestId, REFUSAL_LINES));
			return;
		}

		if (requestId === 'second') {
			socket.write(buildHead('503 Busy', 'first', REFUSAL_LINES));
		}

		await timersPromises.setTimeout(READ_DELAY_MS);
		socket.write(buildHead('200 OK', requestId, SUCCESS_LINES));
	});
	const send = createSender(t);
	await send(target.address, 'first');
	const [second, queued] = await Promise.all(['second', 'queued'].map(async id => send(target.address, id)));
	t.is(second!._unsafeUnwrap().meaning, core.AnswerMeaning.Mismatched);
	t.is(queued!._unsafeUnwrap().meaning, core.AnswerMeaning.Completed);
});
