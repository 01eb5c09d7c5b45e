import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {createVirtualClock} from '../virtual-clock.js';

const TIMEOUT_MS = 500;

const pendingReads: unknown[] = [];

const createHarness = (body: domain.TargetAnswer['body']) => {
	const clock = createVirtualClock();
	const caller = new AbortController();
	const counts = {stops: 0};
	const answer = core.limitAnswerTime(
		{status: 200, headers: [], body},
		{
			clock,
			timeoutMs: TIMEOUT_MS,
			callerSignal: caller.signal,
			stop() {
				counts.stops++;
			},
		},
	);
	return {clock, caller, counts, answer};
};

/** Body that never yields a chunk and never ends. */
const UNENDING_BODY: domain.BodyStream = {
	[Symbol.asyncIterator]: () => ({
		next: async () =>
			new Promise(resolve => {
				pendingReads.push(resolve);
			}),
	}),
};

async function* shortBody(): AsyncGenerator<Uint8Array> {
	yield new Uint8Array(1);
}

// Guards against answers that never end and hold their connection and their caller forever.
test('the exchange of a streamed answer is stopped at its time limit', async t => {
	const {clock, counts} = createHarness(UNENDING_BODY);
	await clock.advance(TIMEOUT_MS - 1);
	t.is(counts.stops, 0);
	await clock.advance(1);
	t.is(counts.stops, 1);
});

test('the exchange of a streamed answer is stopped when the caller disconnects', async t => {
	const {clock, caller, counts} = createHarness(UNENDING_BODY);
	await clock.advance(1);
	caller.abort();
	t.is(counts.stops, 1);
});

test('the exchange of an answer that was read to its end is not stopped later', async t => {
	const {clock, caller, counts, answer} = createHarness(shortBody());
	for await (const chunk of answer.body as domain.BodyStream) {
		t.is(chunk.byteLength, 1);
	}

	const stopsAtEnd = counts.stops;
	caller.abort();
	await clock.advance(TIMEOUT_MS * 2);
	t.is(counts.stops, stopsAtEnd);
});

test('the exchange of a buffered answer is never stopped', async t => {
	const {clock, caller, counts} = createHarness(new Uint8Array(3));
	caller.abort();
	await clock.advance(TIMEOUT_MS * 2);
	t.is(counts.stops, 0);
});
