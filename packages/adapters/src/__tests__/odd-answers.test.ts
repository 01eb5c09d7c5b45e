import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import test, {type ExecutionContext} from 'ava';
import {createFleetTargetClient} from '../target/fleet-target-client.js';
import {buildAttempt, DIALECT} from './build-attempt.js';
import {startRawTarget, type RawConnection} from './raw-target.js';

/** Time for the client to read what the target has sent. */
const READ_DELAY_MS = 50;

const CHUNK = new Uint8Array(65_536);

const buildHead = (requestId: string, status: string, lines: readonly string[] = []): string =>
	[`HTTP/1.1 ${status}`, `x-request-id: ${requestId}`, 'x-signature: signed', ...lines, '', ''].join('\r\n');

/** A body that arrives slowly and for a long time, so that its upload is under way when the answer comes. */
const createLongBody = (): domain.CallBody => ({
	canOpen: () => true,
	isBroken: () => false,
	async *open() {
		for (let count = 0; count < 100; count++) {
			yield CHUNK;
			await timersPromises.setTimeout(5);
		}
	},
});

const sendTo = async (t: ExecutionContext, answer: (connection: RawConnection) => Promise<void>, hasBody: boolean) => {
	const client = createFleetTargetClient({dialect: DIALECT});
	t.teardown(async () => client.close());
	const target = await startRawTarget(t, answer);
	const attempt = buildAttempt(target.address, 'call');
	const call = hasBody ? {...attempt.call, method: 'POST', body: createLongBody()} : attempt.call;
	return client.send({...attempt, call}, new AbortController().signal);
};

type Ending = {readonly name: string; end(connection: RawConnection): void};

const ENDINGS: readonly Ending[] = [
	{
		name: 'a reset',
		end({socket}) {
			socket.resetAndDestroy();
		},
	},
	{
		name: 'a close',
		end({socket}) {
			socket.destroy();
		},
	},
	{
		name: 'the end of its side',
		end({socket}) {
			socket.end();
		},
	},
];

const UNFRAMED_LINES = [
	{name: 'without connection options', lines: []},
	{name: 'with connection: close', lines: ['connection: close']},
	{name: 'with an encoding that ends with the connection', lines: ['transfer-encoding: gzip']},
];

/** Time between the start of the answer and its end, in ms. */
const PAUSES_MS = [0, READ_DELAY_MS];

/** Larger than the answers that the client buffers. */
const STREAMED_PART = 'x'.repeat(400_000);

type UnframedCase = {readonly title: string; readonly lines: readonly string[]; readonly pauseMs: number} & {
	readonly ending: Ending;
	readonly hasBody: boolean;
};

const UNFRAMED_CASES = ENDINGS.flatMap(ending =>
	UNFRAMED_LINES.flatMap(({name, lines}) =>
		PAUSES_MS.flatMap(pauseMs =>
			[true, false].map((hasBody): UnframedCase => {
				const place = hasBody ? 'during an upload' : 'to a call without a body';
				const title = `an answer without a length, ${name}, that ends with ${ending.name} after ${pauseMs} ms, ${place}`;
				return {title, lines, pauseMs, ending, hasBody};
			}),
		),
	),
);

// Guards against a part of an answer that is passed on as a whole one because its connection ended during the upload.
UNFRAMED_CASES.forEach(({title, lines, pauseMs, ending, hasBody}) => {
	test(`${title}, is not complete`, async t => {
		const result = await sendTo(
			t,
			async connection => {
				connection.socket.write(`${buildHead(connection.requestId, '200 OK', lines)}half`);
				await timersPromises.setTimeout(pauseMs);
				ending.end(connection);
			},
			hasBody,
		);
		t.true(result.isErr());
	});
});

// Guards against a stream that ends like a complete answer although its connection was reset during the upload.
ENDINGS.forEach(({name: endingName, end}) => {
	[true, false].forEach(isUploadRead => {
		const title = `a streamed answer without a length that ends with ${endingName} while the upload is ${
			isUploadRead ? 'read' : 'not read'
		} fails, also if it is read after the end`;
		test(title, async t => {
			const result = await sendTo(
				t,
				async connection => {
					if (!isUploadRead) {
						connection.socket.pause();
					}

					connection.socket.write(
						`${buildHead(connection.requestId, '200 OK', ['connection: close'])}${STREAMED_PART}`,
					);
					await timersPromises.setTimeout(READ_DELAY_MS);
					end(connection);
				},
				true,
			);
			await timersPromises.setTimeout(2 * READ_DELAY_MS);
			const readWhole = async (): Promise<void> => {
				const {body} = result._unsafeUnwrap().answer;
				const chunks: Uint8Array[] = [];
				for await (const chunk of body as domain.BodyStream) {
					chunks.push(chunk);
				}
			};

			await t.throwsAsync(readWhole());
		});
	});
});

const INVALID_STATUSES = ['000 Trouble', '001 Trouble', '099 Trouble', '600 Trouble', '999 Trouble'];

// Guards against an answer whose status no caller can understand.
INVALID_STATUSES.forEach(status => {
	[true, false].forEach(hasBody => {
		const title = `an answer with the status ${status}${hasBody ? ' during an upload' : ''} is not passed on`;
		test(title, async t => {
			const result = await sendTo(
				t,
				async ({socket, requestId}) => {
					socket.write(`${buildHead(requestId, status, ['content-length: 2'])}ok`);
				},
				hasBody,
			);
			const meaning = result.isOk() ? result.value.meaning : core.AnswerMeaning.Mismatched;
			t.is(meaning, core.AnswerMeaning.Mismatched);
		});
	});
});
