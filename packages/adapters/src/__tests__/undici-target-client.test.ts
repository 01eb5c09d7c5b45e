import * as timersPromises from 'node:timers/promises';
import type * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {createUndiciTargetClient} from '../target/undici-target-client.js';
import {startRawTarget, type RawConnection} from './raw-target.js';

const FRAMINGS = [
	{framing: 'chunks', head: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n', part: '4\r\nhalf\r\n'},
	{
		framing: 'chunks and the end of the connection',
		head: 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n',
		part: '4\r\nhalf\r\n',
	},
	{framing: 'a length', head: 'HTTP/1.1 200 OK\r\ncontent-length: 8\r\n', part: 'half'},
	{
		framing: 'a length and the end of the connection',
		head: 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 8\r\n',
		part: 'half',
	},
	{framing: 'the end of the connection', head: 'HTTP/1.1 200 OK\r\nconnection: close\r\n', part: 'half'},
];
const ENDING_ACTIONS = {
	ended({socket}: RawConnection) {
		socket.end();
	},
	reset({socket}: RawConnection) {
		socket.resetAndDestroy();
	},
};

/** Time for the client to read what the target has sent. */
const READ_DELAY_MS = 30;

const buildTargetEntry = (address: string): domain.TargetEntry => ({
	targetId: 'target',
	address,
	region: 'pwani',
	availabilityZone: 'kinondoni',
	slotCount: 1,
	connectionLimit: 1,
	isDraining: false,
});

const readBody = async (body: domain.BodyStream): Promise<number> => {
	let sizeBytes = 0;
	for await (const chunk of body) {
		sizeBytes += chunk.byteLength;
	}

	return sizeBytes;
};

const TRUNCATION_CASES = FRAMINGS.flatMap(({framing, head, part}) =>
	Object.entries(ENDING_ACTIONS).flatMap(([ending, end]) => [
		{framing, ending, end, place: 'head', bytes: head},
		{framing, ending, end, place: 'body', bytes: `${head}\r\n${part}`},
	]),
);

// Guards against a truncated answer that is passed to callers as a complete one.
TRUNCATION_CASES.forEach(({framing, ending, end, place, bytes}) => {
	test(`an answer framed by ${framing} whose connection is ${ending} within its ${place} is incomplete`, async t => {
		const target = await startRawTarget(t, async connection => {
			connection.socket.write(bytes);
			// A reset discards bytes that the receiver has not read yet.
			await timersPromises.setTimeout(READ_DELAY_MS);
			end(connection);
		});
		const client = createUndiciTargetClient();
		t.teardown(async () => client.close());
		const result = await client.send(
			buildTargetEntry(target.address),
			{attemptId: 'attempt', method: 'GET', pathAndQuery: '/', headers: [], remainingMs: 1000},
			new AbortController().signal,
		);
		t.is(result.isErr(), place === 'head');
		if (result.isOk()) {
			await t.throwsAsync(readBody(result.value.body));
		}
	});
});
