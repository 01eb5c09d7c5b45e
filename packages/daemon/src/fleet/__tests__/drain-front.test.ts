import * as fakes from '@bilberrydoor/fakes';
import test from 'ava';
import {drainFront} from '../drain-front.js';

const ENDS_AT_MS = 5000;

/** Time from the stop to the end of the drain while the front has a request until `endMs`. */
const drain = async (endMs: number) => {
	const clock = fakes.createVirtualClock();
	const hasRequest = (): boolean => clock.monotonicMs() < endMs;
	const front = {
		async close() {
			while (hasRequest()) {
				await clock.sleep(10);
			}
		},
		countRequests: () => (hasRequest() ? 1 : 0),
	};
	const cutCount = await clock.runUntilSettled(drainFront(front, {clock, endsAtMs: ENDS_AT_MS}), ENDS_AT_MS + 1000);
	return {cutCount, tookMs: clock.monotonicMs()};
};

// Guards against a stop that cuts off a request whose body is still on its way.
test('a stopping node waits for a request that has begun to arrive', async t => {
	const {cutCount, tookMs} = await drain(4200);
	t.is(cutCount, 0);
	t.true(tookMs >= 4200, `${tookMs} ms`);
});

test('a stopping node leaves in time although a request goes on', async t => {
	const {cutCount, tookMs} = await drain(60_000);
	t.is(cutCount, 1);
	t.true(tookMs <= ENDS_AT_MS, `${tookMs} ms`);
});

test('a stopping node without requests leaves once no new callers come', async t => {
	t.deepEqual(await drain(0), {cutCount: 0, tookMs: 2500});
});
