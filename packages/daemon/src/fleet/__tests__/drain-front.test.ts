import * as fakes from '@bilberrydoor/fakes';
import test from 'ava';
import {drainFront} from '../drain-front.js';

const DRAIN_DEADLINE_MS = 5000;

/**
 * Drains a front with an open connection until `requestEndMs`, whose request has been read by `requestStartMs`. Returns the requests
 * cut off and the time taken.
 */
const measureDrain = async (requestEndMs: number, given: {requestStartMs?: number; endsAtMs?: number} = {}) => {
	const {requestStartMs, endsAtMs} = {requestStartMs: 0, endsAtMs: DRAIN_DEADLINE_MS, ...given};
	const clock = fakes.createVirtualClock();
	const isOpen = (): boolean => clock.monotonicMs() < requestEndMs;
	const hasRequest = (): boolean => isOpen() && clock.monotonicMs() >= requestStartMs;
	const front = {
		async close() {
			while (isOpen()) {
				await clock.sleep(10);
			}
		},
		countRequests: () => (hasRequest() ? 1 : 0),
	};
	const cutCount = await clock.runUntilSettled(drainFront(front, {clock, endsAtMs}), DRAIN_DEADLINE_MS + 1000);
	return {cutCount, tookMs: clock.monotonicMs()};
};

// Guards against a drain that cuts off a request whose body is still arriving.
test('a stopping node waits for a request that has begun to arrive', async t => {
	const {cutCount, tookMs} = await measureDrain(4200);
	t.is(cutCount, 0);
	t.true(tookMs >= 4200, `${tookMs} ms`);
});

// Guards against a stop that ends while the head of a request is still arriving, and cuts the request off when it is at work.
test('a stopping node waits for a request whose head arrives late', async t => {
	const {cutCount, tookMs} = await measureDrain(4000, {requestStartMs: 2800});
	t.is(cutCount, 0);
	t.true(tookMs >= 4000, `${tookMs} ms`);
});

test('a stopping node with a short grace time leaves half of it to its last requests', async t => {
	t.deepEqual(await measureDrain(0, {endsAtMs: 2000}), {cutCount: 0, tookMs: 1000});
});

test('a stopping node ends its drain in time although a request is still in progress', async t => {
	const {cutCount, tookMs} = await measureDrain(60_000);
	t.is(cutCount, 1);
	t.true(tookMs <= DRAIN_DEADLINE_MS, `${tookMs} ms`);
});

test('a stopping node without requests ends its drain once the load balancer sends no more callers', async t => {
	t.deepEqual(await measureDrain(0), {cutCount: 0, tookMs: 2500});
});
