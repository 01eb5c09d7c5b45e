import * as fakes from '@bilberrydoor/fakes';
import test from 'ava';
import {drainFront} from '../drain-front.js';

const DRAIN_DEADLINE_MS = 5000;

/** Drains a front with a request in progress until `requestEndMs`. Returns the requests cut off and the time taken. */
const measureDrain = async (requestEndMs: number) => {
	const clock = fakes.createVirtualClock();
	const hasRequest = (): boolean => clock.monotonicMs() < requestEndMs;
	const front = {
		async close() {
			while (hasRequest()) {
				await clock.sleep(10);
			}
		},
		countRequests: () => (hasRequest() ? 1 : 0),
	};
	const cutCount = await clock.runUntilSettled(
		drainFront(front, {clock, endsAtMs: DRAIN_DEADLINE_MS}),
		DRAIN_DEADLINE_MS + 1000,
	);
	return {cutCount, tookMs: clock.monotonicMs()};
};

// Guards against a drain that cuts off a request whose body is still arriving.
test('a stopping node waits for a request that has begun to arrive', async t => {
	const {cutCount, tookMs} = await measureDrain(4200);
	t.is(cutCount, 0);
	t.true(tookMs >= 4200, `${tookMs} ms`);
});

test('a stopping node ends its drain in time although a request is still in progress', async t => {
	const {cutCount, tookMs} = await measureDrain(60_000);
	t.is(cutCount, 1);
	t.true(tookMs <= DRAIN_DEADLINE_MS, `${tookMs} ms`);
});

test('a stopping node without requests ends its drain once the load balancer sends no more callers', async t => {
	t.deepEqual(await measureDrain(0), {cutCount: 0, tookMs: 2500});
});
