import * as timersPromises from 'node:timers/promises';
import type * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {createUndiciTargetClient} from '../target/undici-target-client.js';
import {startRawTarget, type RawConnection} from './raw-target.js';

const FRAMINGS = [
	{framing: 'chunks', head: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n', part: '4\r\nhalf\r\n'},
	{
		framing: 'chunks and its end',
		head: 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n',
		part: '4\r\nhalf\r\n',
	},
	{framing: 'a length', head: 'HTTP/1.1 200 OK\r\ncontent-length: 8\r\n', part: 'half'},
	{
		framing: 'a length and its end',
		head: 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 8\r\n',
		part: 'half',
	},
	{framing: 'its end only', head: 'HTTP/1.1 200 OK\r\nconnection: close\r\n', part: 'half'},
];
const ENDS = {
	ended({socket}: RawConnection) {
		socket.end();
	},
	reset({socket}: RawConnection) {
		socket.resetAndDestroy();
	},
};

const READ_DELAY_MS = 30;

const readBody = async (body: domain.BodyStream): Promise<number> => {
	let sizeBytes = 0;
	for await (const chunk of body) {
		sizeBytes += chunk.byteLength;
	}

	return sizeBytes;
};

// Guards against half an answer that callers get framed as a whole one.
FRAMINGS.forEach(({framing, head, part}) => {
	Object.entries(ENDS).forEach(([ending, end]) => {
		['head', 'body'].forEach(place => {
			test(`an answer framed by ${framing} whose connection is ${ending} within its ${place} is not whole`, async t => {
				const bytes = place === 'head' ? head : `${head}\r\n${part}`;
				const target = await startRawTarget(t, async connection => {
					connection.socket.write(bytes);
					// A reset discards what its receiver has not read yet.
					await timersPromises.setTimeout(READ_DELAY_MS);
					end(connection);
				});
				const client = createUndiciTargetClient();
				t.teardown(async () => client.close());
				const result = await client.send(
					{
						targetId: 'target',
						address: target.address,
						availabilityZone: 'kinondoni',
						region: 'pwani',
						isDraining: false,
						slotCount: 1,
						connectionLimit: 1,
					},
					{method: 'GET', pathAndQuery: '/', headers: [], remainingMs: 1000},
					new AbortController().signal,
				);
				t.is(result.isErr(), place === 'head');
				if (result.isOk()) {
					await t.throwsAsync(readBody(result.value.body));
				}
			});
		});
	});
});
