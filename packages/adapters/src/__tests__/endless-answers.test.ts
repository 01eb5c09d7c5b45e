import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';
import test from 'ava';
import {createFleetTargetClient} from '../target/fleet-target-client.js';
import {buildAttempt, DIALECT} from './build-attempt.js';
import {startRawTarget} from './raw-target.js';
import {watchMemory, writeEndlessly} from './endless-bytes.js';

/** Calls of one node that get an endless answer at the same time. */
const CALL_COUNT = 100;

/** Half of what a node of 250 MB has left beside the 75 MB that the program takes when it is idle. */
const MEMORY_LIMIT_BYTES = 80 * 1024 * 1024;

const DEADLINE_MS = 1500;
const CHUNK = 'x'.repeat(16_384);

const buildHead = (requestId: string, lines: readonly string[]): string =>
	['HTTP/1.1 200 OK', `x-request-id: ${requestId}`, 'x-signature: signed', ...lines, '', ''].join('\r\n');

type EndlessAnswer = {
	readonly name: string;
	readonly buildStart: (requestId: string) => string;
	readonly repeated: string;
};

const CHUNKED = ['transfer-encoding: chunked'];

const ENDLESS_ANSWERS: readonly EndlessAnswer[] = [
	{name: 'bytes that are no answer', buildStart: () => '', repeated: '\0'.repeat(16_384)},
	{name: 'a status line without end', buildStart: () => 'HTTP/1.1 200 ', repeated: CHUNK},
	{name: 'a header name without end', buildStart: () => 'HTTP/1.1 200 OK\r\nx-', repeated: CHUNK},
	{name: 'a header value without end', buildStart: () => 'HTTP/1.1 200 OK\r\nx-long: ', repeated: CHUNK},
	{name: 'header lines without end', buildStart: () => 'HTTP/1.1 200 OK\r\n', repeated: 'x-more: 1\r\n'.repeat(1000)},
	{name: 'interim answers without end', buildStart: () => '', repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(500)},
	{name: 'a chunk size without end', buildStart: id => buildHead(id, CHUNKED), repeated: '0'.repeat(16_384)},
	{name: 'a chunk extension without end', buildStart: id => `${buildHead(id, CHUNKED)}1;`, repeated: CHUNK},
	{
		name: 'trailers without end',
		buildStart: id => `${buildHead(id, CHUNKED)}0\r\n`,
		repeated: 'x-more: 1\r\n'.repeat(1000),
	},
	{name: 'a chunked body without end', buildStart: id => buildHead(id, CHUNKED), repeated: `4000\r\n${CHUNK}\r\n`},
	{name: 'a body without a length', buildStart: id => buildHead(id, ['connection: close']), repeated: CHUNK},
	{
		name: 'a body of a huge length',
		buildStart: id => buildHead(id, ['content-length: 9007199254740991']),
		repeated: CHUNK,
	},
	{
		name: 'a refusal with a body without end',
		buildStart: id =>
			`HTTP/1.1 503 Busy\r\nx-request-id: ${id}\r\nx-not-run: 1\r\ncontent-length: 9007199254740991\r\n\r\n`,
		repeated: CHUNK,
	},
];

// Guards against a node that keeps what a faulty target sends without end, and runs out of memory with all its other calls.
ENDLESS_ANSWERS.forEach(({name, buildStart, repeated}) => {
	test.serial(
		`${CALL_COUNT} answers at once with ${name} take bounded memory, and their connections are closed`,
		async t => {
			const target = await startRawTarget(t, async ({socket, requestId}) => {
				socket.write(buildStart(requestId));
				await writeEndlessly(socket, repeated);
			});
			const client = createFleetTargetClient({dialect: DIALECT});
			t.teardown(async () => client.close());
			const watch = new AbortController();
			const watching = watchMemory(watch.signal);
			const results = await Promise.all(
				Array.from({length: CALL_COUNT}, async (_, index) => {
					const deadline = new AbortController();
					const sending = client.send(
						{...buildAttempt(target.address, `request-${index}`), connectionLimit: CALL_COUNT},
						deadline.signal,
					);
					await timersPromises.setTimeout(DEADLINE_MS);
					deadline.abort(core.STOP_REASON);
					return sending;
				}),
			);
			watch.abort();
			const growthBytes = await watching;
			t.log(`${Math.round(growthBytes / 1024 / 1024)} MB`);
			t.true(growthBytes < MEMORY_LIMIT_BYTES, `the memory grew by ${growthBytes} bytes`);
			const isWhole = results.map(result => result.isOk() && result.value.answer.body instanceof Uint8Array);
			t.false(isWhole.includes(true));
			await target.waitUntilClosed();
		},
	);
});
