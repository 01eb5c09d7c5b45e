import test from 'ava';
import {createAdaptiveLimit} from '../adaptive-limit.js';
import {createFairQueue} from '../fair-queue.js';
import {DEFAULT_SCHEDULER_OPTIONS} from '../scheduler-options.js';
import {createTokenBuckets} from '../token-buckets.js';

const createClock = () => {
	let nowMs = 0;
	return {
		monotonicMs: () => nowMs,
		wallMs: () => nowMs,
		sleep: async () => undefined,
		advance(durationMs: number) {
			nowMs += durationMs;
		},
	};
};

// Guards against memory that grows with each workspace that ever sent a call, and against a dropped bucket that allows
// a second burst.
test('buckets of idle workspaces are dropped and refill at their rate', t => {
	const clock = createClock();
	const buckets = createTokenBuckets({clock});
	const rate = {ratePerSecond: 10, burstCount: 10};
	buckets.setRetention(1000);
	for (let second = 0; second < 20; second++) {
		Array.from({length: 100}, (_, index) => buckets.take(`${second} ${index}`, rate));
		clock.advance(1000);
	}

	t.true(buckets.size() <= 200);
	const waits = Array.from({length: 11}, () => buckets.take('one', rate));
	t.deepEqual(
		waits.slice(0, 10),
		Array.from({length: 10}, () => 0),
	);
	t.is(Math.round(waits[10]!), 100);
	clock.advance(100);
	t.is(buckets.take('one', rate), 0);
	t.true(buckets.take('one', rate) > 0);
});

// Guards against turns that are lost or counted twice when calls are removed from the middle of the queue.
test('a fair queue keeps the turns of workspaces when items are removed from any position', t => {
	const queue = createFairQueue<{workspace: string; weight: number; name: string}>(() => 0);
	const removals = ['a1', 'a2', 'a3', 'b1', 'b2'].map(name => queue.push({workspace: name[0]!, weight: 1, name}));
	t.true(removals[1]!());
	t.false(removals[1]!());
	const order: string[] = [];
	const removalsByName = new Map(['a1', 'a2', 'a3', 'b1', 'b2'].map((name, index) => [name, removals[index]!]));
	for (let item = queue.peek(); item; item = queue.peek()) {
		order.push(item.name);
		removalsByName.get(item.name)!();
	}

	t.deepEqual(order, ['a1', 'b1', 'a3', 'b2']);
	t.is(queue.size(), 0);
	t.is(queue.activeWeight(), 0);
});

// Guards against repeated shedding of calls in transit by targets without a queue, and against a lower slot limit after
// such a shed call.
test('no calls are in transit beyond the slots for a pause after a target has shed one', t => {
	const {adaptiveLimit: options} = DEFAULT_SCHEDULER_OPTIONS;
	const limit = createAdaptiveLimit({slotCount: 4, startRatio: 1, options, nowMs: 0});
	t.is(limit.transitCount(0), 1);
	limit.reportShedding(0, 5);
	t.is(limit.limitCount(), 4);
	t.is(limit.transitCount(options.transitPauseMs - 1), 0);
	t.is(limit.transitCount(options.transitPauseMs), 1);
	limit.reportShedding(0, 4);
	t.true(limit.limitCount() < 4);
	t.is(limit.transitCount(options.transitPauseMs), 0);
});
