import test from 'ava';
import {createFleetRetryBudget} from '../fleet-retry-budget.js';

/** Bounds of the platform without its slack, and the options that follow from them. */
const BUDGET_RATIO = 0.2;
const WINDOW_MS = 10_000;
const OPTIONS = {retryRatio: 0.18, retrySavingMs: 1000};

const RUN_MS = 60_000;
const TURN_MS = 10;

/** Calls of the fleet in a turn: a wave between a fourth of the usual rate and twice of it. */
const countCalls = (atMs: number): number => 3 + 3 * Math.sin(atMs / 3000) + (atMs % 3000 < 300 ? 6 : 0);

/** Calls go to the dispatchers by turns, and each dispatcher retries whenever it may. The first 20 s are calm. */
const playDispatchers = (dispatcherCount: number) => {
	let nowMs = 0;
	const clock = {monotonicMs: () => nowMs};
	const budgets = Array.from({length: dispatcherCount}, () => createFleetRetryBudget(OPTIONS, clock));
	const calls: number[] = [];
	const retries: number[] = [];
	let owedCount = 0;
	let callIndex = 0;
	for (; nowMs < RUN_MS; nowMs += TURN_MS) {
		let retryCount = 0;
		let callCount = 0;
		for (owedCount += countCalls(nowMs); owedCount >= 1; owedCount--) {
			budgets[callIndex++ % dispatcherCount]!.recordCall();
			callCount++;
		}

		const isCalm = nowMs < 2 * WINDOW_MS;
		for (const budget of isCalm ? [] : budgets) {
			while (budget.hasRetry()) {
				budget.takeRetry();
				retryCount++;
			}
		}

		calls.push(callCount);
		retries.push(retryCount);
	}

	return {calls, retries};
};

const sum = (counts: readonly number[]): number => counts.reduce((total, count) => total + count, 0);

// Guards against a bound that holds for one dispatcher and not for as many as there are nodes.
[1, 2, 10, 119, 4100].forEach(dispatcherCount => {
	test(`${dispatcherCount} dispatcher(s) together retry within the ratio of the calls and one retry each`, t => {
		const {calls, retries} = playDispatchers(dispatcherCount);
		const turnCount = WINDOW_MS / TURN_MS;
		const sumFrom = (counts: readonly number[], from: number): number =>
			sum(counts.slice(Math.max(0, from), from + turnCount));
		const worst = Math.max(
			...retries.slice(turnCount, -turnCount).map((_, index) => {
				const from = index + turnCount;
				const callCount = Math.max(...[0, turnCount / 2, turnCount].map(earlier => sumFrom(calls, from - earlier)));
				return sumFrom(retries, from) - BUDGET_RATIO * callCount;
			}),
		);
		t.true(worst <= dispatcherCount, `${worst} retries more than the ratio`);
		t.true(sum(retries) > 0 || dispatcherCount > sum(calls) * OPTIONS.retryRatio);
	});
});
