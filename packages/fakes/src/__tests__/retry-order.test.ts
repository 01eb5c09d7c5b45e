import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildTargetPool, createDispatcherHarness} from './dispatcher-harness.js';

const MS_PER_SECOND = 1000;
const RUN_MS = 30_000;
const DRAIN_MS = 5000;
const FAILED_ATTEMPT_MS = 15;
const RETRY_RATIO = 0.18;

/** History reads of a group whose slots are all in use: repeatable, 512 ms, with 6 s to their deadline. */
const HISTORY_READS = {targetCount: 24, slotCount: 3, callsPerSecond: 180, workMs: 512, waitLimitMs: 300};

/** Runs reads that fail for 15 ms at a random tenth of the attempts, and counts the failures that got a second target. */
const simulateFailingReads = async (seed: number) => {
	const {targetCount, slotCount, callsPerSecond, workMs, waitLimitMs} = HISTORY_READS;
	const {clock, random, acquire, report} = createDispatcherHarness(buildTargetPool(targetCount, slotCount), {
		seed,
		// Failures are spread over all targets here, so that none is set aside and the slots stay the same.
		dispatcher: {grayFailureRatio: 0.15, grayPrior: 1e-9},
	});
	const counts = {calls: 0, refused: 0, failures: 0, retries: 0};
	const attempt = async (attemptIndex: number, excludedTargetIds: readonly string[]): Promise<void> => {
		const reply = await acquire({
			attemptIndex,
			excludedTargetIds,
			waitLimitMs,
			repeatability: domain.Repeatability.Repeatable,
			remainingMs: 6000,
			objectiveLeftMs: 1500,
		});
		if (!reply.isGranted) {
			counts.refused += attemptIndex === 0 ? 1 : 0;
			return;
		}

		counts.retries += attemptIndex === 0 ? 0 : 1;
		const isFailed = attemptIndex === 0 && random.fraction() < 0.1;
		const durationMs = isFailed ? FAILED_ATTEMPT_MS : workMs * (0.5 + random.fraction());
		await clock.sleep(durationMs);
		report(reply, isFailed ? core.GrantResult.Failure : core.GrantResult.Success, {durationMs});
		if (isFailed) {
			counts.failures++;
			await attempt(1, [reply.target.targetId]);
		}
	};

	const generateCalls = async (): Promise<void> => {
		while (clock.monotonicMs() < RUN_MS) {
			counts.calls++;
			void attempt(0, []);
			await clock.sleep((-Math.log(1 - random.fraction()) * MS_PER_SECOND) / callsPerSecond);
		}
	};

	void generateCalls();
	await clock.advance(RUN_MS + DRAIN_MS);
	return counts;
};

// Guards against repeatable calls that end with their target's failure because each freed slot goes to a first attempt: of
// 91 failed reads hardly any was sent to a second target, though the budget allowed a retry for a fifth of the calls.
[1, 2, 3].forEach(seed => {
	test(`failed reads get a second target while all slots are in use and calls wait (seed ${seed})`, async t => {
		const counts = await simulateFailingReads(seed);
		t.log(JSON.stringify(counts));
		t.true(counts.refused > 0.02 * counts.calls, 'the slots are in use all the time');
		t.true(counts.failures > 50);
		t.true(counts.retries >= 0.9 * counts.failures, `${counts.retries} retries of ${counts.failures} failures`);
		t.true(counts.retries <= RETRY_RATIO * counts.calls);
	});
});

// Guards against a retry that holds its caller while other retries that wait use up the budget.
test('a retry that finds the budget promised to waiting retries is refused at once', async t => {
	const {clock, acquire, acquireGrant, report} = createDispatcherHarness(buildTargetPool(1, 4), {
		dispatcher: {retryRatio: 0.25},
	});
	const held = await Promise.all(Array.from({length: 4}, async () => acquireGrant()));
	const first = acquire({attemptIndex: 1, waitLimitMs: 900});
	const second = await clock.runUntilSettled(acquire({attemptIndex: 1, waitLimitMs: 900}), 1);
	t.like(second, {isGranted: false, refusal: core.GrantRefusal.NoBudget});
	report(held[0]!, core.GrantResult.Success);
	t.true((await clock.runUntilSettled(first, 200)).isGranted);
});

// Guards against budget that a retry has reserved and that nobody can use after the retry has left.
test('a retry that leaves without a slot gives its part of the budget back', async t => {
	const {clock, acquire, acquireGrant} = createDispatcherHarness(buildTargetPool(1, 4), {
		dispatcher: {retryRatio: 0.25, retrySavingMs: 100_000},
	});
	await Promise.all(Array.from({length: 4}, async () => acquireGrant()));
	const reply = await clock.runUntilSettled(acquire({attemptIndex: 1, waitLimitMs: 900}), 1000);
	t.like(reply, {isGranted: false, refusal: core.GrantRefusal.Busy});
	const second = await clock.runUntilSettled(acquire({attemptIndex: 1, waitLimitMs: 900}), 1000);
	t.like(second, {isGranted: false, refusal: core.GrantRefusal.Busy});
});

// Guards against replacements of slow attempts that take the slots of calls that have not been sent at all.
test('a replacement of an attempt that still runs gets a slot after first attempts', async t => {
	const {clock, acquire, acquireGrant, report} = createDispatcherHarness(buildTargetPool(2, 1), {
		dispatcher: {retryRatio: 1},
	});
	const held = await Promise.all([acquireGrant(), acquireGrant()]);
	const replacement = acquire({attemptIndex: 1, isReplacement: true, waitLimitMs: 900});
	const first = acquire({waitLimitMs: 900});
	await clock.advance(10);
	report(held[0], core.GrantResult.Success);
	t.true((await clock.runUntilSettled(first, 1)).isGranted);
	report(held[1], core.GrantResult.Success);
	t.true((await clock.runUntilSettled(replacement, 1)).isGranted);
});
