import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {FakeTargetFault} from '../fake-target.js';
import {
	buildBenchEntry,
	createSchedulerBench,
	summarizeEnding,
	type BenchCall,
	type SchedulerBench,
} from './scheduler-bench.js';

const SINGLE_WORK = {repeatability: domain.Repeatability.Single};

/** Starts calls that take 500 ms each; those without a free slot are queued. */
const startSlowCalls = (bench: SchedulerBench, count: number): void => {
	bench.targets.forEach(target => {
		target.serviceTimeMs = () => 500;
	});
	for (let index = 0; index < count; index++) {
		void bench.schedule({call: {workspace: `w${index}`}});
	}
};

const setFault = (bench: SchedulerBench, fault: FakeTargetFault, targetIds?: readonly string[]): void => {
	bench.targets
		.filter(({entry}) => targetIds?.includes(entry.targetId) ?? true)
		.forEach(target => {
			target.fault = fault;
		});
};

async function* createEmptyBody(): AsyncGenerator<Uint8Array> {
	yield new Uint8Array(0);
}

type RefusalRow = {
	readonly name: string;
	readonly entry?: Partial<domain.CatalogueEntry>;
	readonly load?: core.NodeLoad;
	readonly call?: BenchCall;
	readonly prepare?: (bench: SchedulerBench) => void | Promise<void>;
	readonly expected: string;
};

const ONE_CALL_LIMIT = {ratePerSecond: 1, burstCount: 1, weight: 1};

const refusalRows: readonly RefusalRow[] = [
	{
		name: 'an event loop delay above the limit',
		load: {eventLoopDelayMs: () => 500, residentBytes: () => 0},
		expected: 'not-run node-overloaded',
	},
	{
		name: 'memory use above the limit',
		load: {eventLoopDelayMs: () => 0, residentBytes: () => 2 ** 40},
		expected: 'not-run node-overloaded',
	},
	{
		name: 'all targets leaving',
		prepare(bench) {
			bench.targets.forEach(({entry}) => {
				bench.scheduler.markTargetLeaving(entry.targetId, core.LeavingSign.Entry);
			});
		},
		expected: 'not-run no-target',
	},
	{
		name: 'a workspace over its rate',
		entry: {defaultWorkspaceLimit: ONE_CALL_LIMIT},
		async prepare(bench) {
			await bench.settle(bench.schedule());
		},
		expected: 'not-run rate-limited',
	},
	{
		name: 'a route over its rate',
		call: {route: {rateLimitPerSecond: 1}, call: {workspace: 'other'}},
		async prepare(bench) {
			await bench.settle(bench.schedule({route: {rateLimitPerSecond: 1}}));
		},
		expected: 'not-run rate-limited',
	},
	{
		name: 'a queue full by count',
		entry: {queue: {limitCount: 1, limitBytes: 1000}},
		prepare(bench) {
			startSlowCalls(bench, 3);
		},
		expected: 'not-run queue-full',
	},
	{
		name: 'a queue full by bytes',
		entry: {queue: {limitCount: 10, limitBytes: 1000}},
		call: {call: {bodyLengthBytes: 1001, body: createEmptyBody()}},
		expected: 'not-run queue-full',
	},
	{
		name: 'a deadline shorter than the work',
		call: {deadlineMs: 15},
		async prepare(bench) {
			startSlowCalls(bench, 1);
			await bench.clock.advance(600);
			startSlowCalls(bench, 2);
		},
		expected: 'not-run deadline-too-short',
	},
	{
		name: 'no free slot before the deadline',
		call: {deadlineMs: 100},
		prepare(bench) {
			startSlowCalls(bench, 2);
		},
		expected: 'not-run deadline-exceeded',
	},
	{
		name: 'a caller that has cancelled',
		call: {signal: AbortSignal.abort()},
		expected: 'not-run caller-cancelled',
	},
	{
		name: 'a dispatch that is refused',
		call: {beforeDispatch: () => domain.notRun(domain.RefusalReason.OperationExpired, 'expired')},
		expected: 'not-run operation-expired',
	},
	...(
		[
			[FakeTargetFault.Shed, 'not-run target-refused'],
			[FakeTargetFault.Down, 'not-run target-unreachable'],
			[FakeTargetFault.LoseAnswers, 'unknown target-lost'],
			[FakeTargetFault.Stall, 'unknown target-timed-out'],
			[FakeTargetFault.Errors, 'completed 500'],
		] as const
	).map(([fault, expected]) => ({
		name: `single work at targets with the fault ${fault}`,
		call: {route: SINGLE_WORK, deadlineMs: 300},
		prepare(bench: SchedulerBench) {
			setFault(bench, fault);
		},
		expected,
	})),
	...(
		[
			[FakeTargetFault.None, 'completed 200'],
			[FakeTargetFault.Shed, 'unknown target-refused'],
			[FakeTargetFault.Errors, 'completed 500'],
		] as const
	).map(([fault, expected]) => ({
		name: `single work at targets with the fault ${fault} that do not name attempts`,
		call: {route: SINGLE_WORK},
		prepare(bench: SchedulerBench) {
			setFault(bench, fault);
			bench.targets.forEach(target => {
				target.namesAttempts = false;
			});
		},
		expected,
	})),
];

// Guards against a wrong ending, and against slots or queue places that are not released.
refusalRows.forEach(({name, entry, load, call, prepare, expected}) => {
	test(`ending of a call with ${name}`, async t => {
		const bench = createSchedulerBench(buildBenchEntry(entry), {load});
		await prepare?.(bench);
		const ending = await bench.settle(bench.schedule(call));
		t.is(summarizeEnding(ending), expected);
		await bench.clock.advance(5000);
		t.is(bench.countHeldResources(), 0);
		await bench.close();
	});
});

type RetryRow = {
	readonly fault: FakeTargetFault;
	readonly reason: domain.RetryReason;
	readonly namesAttempts?: boolean;
};

const retryRows: readonly RetryRow[] = [
	{fault: FakeTargetFault.Down, reason: domain.RetryReason.TargetUnreachable},
	{fault: FakeTargetFault.Shed, reason: domain.RetryReason.TargetRefused},
	{fault: FakeTargetFault.Shed, reason: domain.RetryReason.TargetRefused, namesAttempts: false},
	{fault: FakeTargetFault.LoseAnswers, reason: domain.RetryReason.TargetLost},
	{fault: FakeTargetFault.Stall, reason: domain.RetryReason.TargetTimedOut},
	{fault: FakeTargetFault.Errors, reason: domain.RetryReason.TargetError},
];

// Guards against repeatable work that fails although another target would have served it, and against a retry on the
// target that has just failed.
retryRows.forEach(({fault, reason, namesAttempts = true}) => {
	const suffix = namesAttempts ? '' : ' without the attempt id';
	test(`retry of repeatable work after ${reason}${suffix}`, async t => {
		const bench = createSchedulerBench(buildBenchEntry());
		bench.targets.forEach(target => {
			target.namesAttempts = namesAttempts;
		});
		await bench.settle(Promise.all([bench.schedule(), bench.schedule()]));
		setFault(bench, fault, ['s-1']);
		const endings = await bench.settle(Promise.all([bench.schedule(), bench.schedule()]));
		t.deepEqual(endings.map(summarizeEnding), ['completed 200', 'completed 200']);
		t.is(bench.metrics.sum(core.CounterName.Retries, {reason}), 1);
		await bench.clock.advance(5000);
		t.is(bench.countHeldResources(), 0);
		await bench.close();
	});

	test(`no retry of single work after ${reason}${suffix}`, async t => {
		const bench = createSchedulerBench(buildBenchEntry());
		await bench.settle(Promise.all([bench.schedule(), bench.schedule()]));
		setFault(bench, fault);
		let dispatchCount = 0;
		const attemptsBefore = bench.metrics.sum(core.CounterName.Attempts);
		await bench.settle(
			bench.schedule({
				route: SINGLE_WORK,
				beforeDispatch() {
					dispatchCount++;
					return undefined;
				},
			}),
		);
		t.is(bench.metrics.sum(core.CounterName.Attempts) - attemptsBefore, 1);
		t.is(dispatchCount, 1);
		t.is(bench.countHeldResources(), 0);
		await bench.close();
	});
});

// Guards against retries that multiply the load of failing targets.
test('attempts stay within the retry budget when all targets refuse', async t => {
	const bench = createSchedulerBench(buildBenchEntry({retryBudgetRatio: 0.2}, {targetCount: 4, slotCount: 4}));
	setFault(bench, FakeTargetFault.Shed);
	for (let index = 0; index < 200; index++) {
		await bench.settle(bench.schedule());
	}

	const attemptCount = bench.metrics.sum(core.CounterName.Attempts);
	t.true(attemptCount > 200);
	t.true(attemptCount <= 240);
	await bench.close();
});

// Guards against a retry at the target that has just failed, and against endless attempts.
test('a group with one target does not retry', async t => {
	const bench = createSchedulerBench(buildBenchEntry({}, {targetCount: 1}));
	await bench.settle(bench.schedule());
	setFault(bench, FakeTargetFault.LoseAnswers);
	t.is(summarizeEnding(await bench.settle(bench.schedule())), 'unknown target-lost');
	t.is(bench.metrics.sum(core.CounterName.Retries), 0);
	await bench.close();
});
