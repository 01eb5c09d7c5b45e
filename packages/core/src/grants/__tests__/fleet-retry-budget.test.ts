import test from 'ava';
import {createFleetRetryBudget} from '../fleet-retry-budget.js';

/** Retry limit of the platform without its tolerance, and the default options, which keep within it. */
const BUDGET_RATIO = 0.2;
const WINDOW_MS = 10_000;
const OPTIONS = {retryRatio: 0.18, retrySavingMs: 1000};

const RUN_MS = 60_000;
const STEP_MS = 10;

/** Calls of the fleet in a step: a sine wave from 0 to 6 with a burst of 6 more for 300 ms of every 3 s. */
const countCalls = (atMs: number): number => 3 + 3 * Math.sin(atMs / 3000) + (atMs % 3000 < 300 ? 6 : 0);

/** Distributes calls over the dispatchers by round robin. After 20 s without retries, each dispatcher retries whenever it may. */
const simulateDispatchers = (dispatcherCount: number) => {
	let nowMs = 0;
	const clock = {monotonicMs: () => nowMs};
	const budgets = Array.from({length: dispatcherCount}, () => createFleetRetryBudget(OPTIONS, clock));
	const calls: number[] = [];
	const retries: number[] = [];
	let pendingCallCount = 0;
	let callIndex = 0;
	for (; nowMs < RUN_MS; nowMs += STEP_MS) {
		let retryCount = 0;
		let callCount = 0;
		for (pendingCallCount += countCalls(nowMs); pendingCallCount >= 1; pendingCallCount--) {
			budgets[callIndex++ % dispatcherCount]!.recordCall();
			callCount++;
		}

		const isBeforeRetries = nowMs < 2 * WINDOW_MS;
		for (const budget of isBeforeRetries ? [] : budgets) {
			while (budget.hasRetry()) {
				budget.consumeRetry();
				retryCount++;
			}
		}

		calls.push(callCount);
		retries.push(retryCount);
	}

	return {calls, retries};
};

const sum = (counts: readonly number[]): number => counts.reduce((total, count) => total + count, 0);

// Guards against a budget that keeps within the limit with one dispatcher but not with one for every node.
[1, 2, 10, 119, 4100].forEach(dispatcherCount => {
	test(`${dispatcherCount} dispatcher(s) together stay within the ratio of retries to calls plus one retry each`, t => {
		const {calls, retries} = simulateDispatchers(dispatcherCount);
		const stepCount = WINDOW_MS / STEP_MS;
		const sumFrom = (counts: readonly number[], from: number): number =>
			sum(counts.slice(Math.max(0, from), from + stepCount));
		const maxExcess = Math.max(
			...retries.slice(stepCount, -stepCount).map((_, index) => {
				const from = index + stepCount;
				const callCount = Math.max(...[0, stepCount / 2, stepCount].map(offset => sumFrom(calls, from - offset)));
				return sumFrom(retries, from) - BUDGET_RATIO * callCount;
			}),
		);
		t.true(maxExcess <= dispatcherCount, `${maxExcess} retries more than the ratio`);
		t.true(sum(retries) > 0 || dispatcherCount > sum(calls) * OPTIONS.retryRatio);
	});
});
