import test from 'ava';
import {startFleet} from './fleet-harness.js';
import {buildRequestParts, connectRawCaller} from './raw-caller.js';

/** Limits of the stand-in's catalogue. */
const HEADER_LIMIT_BYTES = 16_384;
const HEADER_TIMEOUT_MS = 3000;

/** Time after the limit by which the node has ended the connection, on a busy machine. */
const LATEST_END_MS = HEADER_TIMEOUT_MS + 2000;

// Guards against limits of the catalogue that do not apply to callers.
test('a head over the limit of the catalogue gets 431, and does not run', async t => {
	const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 1});
	const caller = await connectRawCaller(t, nodes[0]!);
	const [start, ...rest] = buildRequestParts('large');
	caller.send([start, `X-Large: ${'y'.repeat(HEADER_LIMIT_BYTES)}\r\n`, ...rest].join(''));
	t.regex(await caller.closed, /^HTTP\/1\.1 431 /);
	t.deepEqual(targets[0]!.runIds, []);
});

// Guards also against a stop that ends without an answer to a head that has begun.
[false, true].forEach(isStopping => {
	test(`a head that takes longer than the catalogue allows gets 408${isStopping ? ' during a stop' : ''}`, async t => {
		const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 1});
		const caller = await connectRawCaller(t, nodes[0]!);
		const [start] = buildRequestParts('slow');
		const startedAtMs = performance.now();
		caller.send(start);
		if (isStopping) {
			nodes[0]!.process.kill('SIGTERM');
		}

		t.regex(await caller.closed, /^HTTP\/1\.1 408 /);
		const tookMs = performance.now() - startedAtMs;
		t.true(tookMs > HEADER_TIMEOUT_MS && tookMs < LATEST_END_MS, `${tookMs} ms`);
		t.deepEqual(targets[0]!.runIds, []);
	});
});

const TRICKLE_INTERVAL_MS = 300;

// Guards against a call whose body arrives so slowly that it is kept long after it can be served.
[
	{name: 'with a length', start: 'Content-Length: 1000\r\n\r\n', repeated: 'x'},
	{name: 'in chunks', start: 'Transfer-Encoding: chunked\r\n\r\n', repeated: '1\r\nx\r\n'},
].forEach(({name, start, repeated}) => {
	test(`a body ${name} that has not arrived by the deadline of its call gets 408, and does not run`, async t => {
		const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 1});
		const caller = await connectRawCaller(t, nodes[0]!);
		const [headStart] = buildRequestParts('slow-body');
		caller.send(`${headStart}${start}`);
		const timer = setInterval(() => {
			caller.send(repeated);
		}, TRICKLE_INTERVAL_MS);
		t.teardown(() => {
			clearInterval(timer);
		});
		t.regex(await caller.closed, /^http\/1\.1 408 [^]*x-request-id: slow-body/i);
		t.deepEqual(targets[0]!.arrivedIds, []);
	});
});
