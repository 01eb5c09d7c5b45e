import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildTargets} from '../build-entry.js';
import {createFakeTarget, FakeTargetFault} from '../fake-target.js';
import {
	buildBenchEntry,
	createSchedulerBench,
	summarizeEnding,
	type BenchCall,
	type SchedulerBench,
} from './scheduler-bench.js';

const PLACE = {region: 'pwani', availabilityZone: 'kinondoni'};
const LONG = {workClass: domain.WorkClass.Long, deadlineMs: 60_000};
const BULK = {workClass: domain.WorkClass.Bulk, deadlineMs: 60_000};

const countBusySlots = (bench: SchedulerBench): number =>
	bench.scheduler.describeTargets().reduce((sum, target) => sum + target.busySlotCount, 0);

const scheduleCalls = async (bench: SchedulerBench, count: number, call: BenchCall = {}): Promise<string[]> => {
	const endings = await Promise.all(Array.from({length: count}, async () => bench.schedule(call)));
	return endings.map(summarizeEnding);
};

/** Summarizes a call's ending; `rejected` when the call or the reading of its answer throws. */
const summarizeOutcome = async (call: Promise<domain.CallEnding>): Promise<string> => {
	try {
		return summarizeEnding(await call);
	} catch {
		return 'rejected';
	}
};

const setServiceTime = (bench: SchedulerBench, serviceTimeMs: number): void => {
	bench.targets.forEach(target => {
		target.serviceTimeMs = () => serviceTimeMs;
	});
};

type LeakRow = {
	readonly name: string;
	readonly expected: string;
	readonly call?: BenchCall;
	readonly fault?: FakeTargetFault;
	readonly cancelAfterMs?: number;
	readonly serviceTimeMs?: number;
	readonly waitingCount?: number;
};

const leakRows: readonly LeakRow[] = [
	{name: 'is read to its end', expected: 'completed 200'},
	{
		name: 'is cancelled while it waits',
		expected: 'not-run caller-cancelled',
		waitingCount: 2,
		cancelAfterMs: 20,
		serviceTimeMs: 100,
	},
	{name: 'is cancelled before the answer', expected: 'unknown caller-cancelled', cancelAfterMs: 20, serviceTimeMs: 100},
	{name: 'is cancelled with the body unread', expected: 'completed 200', call: {isBodyUnread: true}, cancelAfterMs: 50},
	{name: 'gets a truncated answer', expected: 'rejected', fault: FakeTargetFault.Truncate},
	{name: 'gets an answer over its limit', expected: 'rejected', call: {route: {answerBodyLimitBytes: 3}}},
	{
		name: 'is sent to a target that stalls',
		expected: 'unknown target-timed-out',
		fault: FakeTargetFault.Stall,
		call: {deadlineMs: 100},
	},
	{
		name: 'has a check before dispatch that throws',
		expected: 'rejected',
		call: {
			beforeDispatch() {
				throw new Error('broken invariant');
			},
		},
	},
];

// Guards against slots and queue places that are never released, or released twice, for any ending of a call.
leakRows.forEach(row => {
	test(`no slot or queue place stays occupied after a call that ${row.name}`, async t => {
		const bench = createSchedulerBench(buildBenchEntry());
		setServiceTime(bench, row.serviceTimeMs ?? 10);
		bench.targets.forEach(target => {
			target.fault = row.fault ?? FakeTargetFault.None;
		});
		void scheduleCalls(bench, row.waitingCount ?? 0);
		const caller = new AbortController();
		const call = summarizeOutcome(bench.schedule({...row.call, signal: caller.signal}));
		await bench.clock.advance(row.cancelAfterMs ?? 1000);
		caller.abort();
		t.is(await bench.settle(call), row.expected);
		await bench.clock.advance(1000);
		t.is(bench.countHeldResources(), 0);
		t.true(bench.targets.every(target => target.busyCount() === 0));
		await bench.close();
	});
});

// Guards against attempts that continue at a target after the caller's deadline.
test('an attempt is cancelled when its deadline has passed', async t => {
	const bench = createSchedulerBench(buildBenchEntry());
	setServiceTime(bench, 10_000);
	const call = bench.schedule({deadlineMs: 250});
	await bench.clock.advance(249);
	t.is(bench.countHeldResources(), 2);
	await bench.clock.advance(2);
	t.is(summarizeEnding(await call), 'unknown target-timed-out');
	t.is(bench.countHeldResources(), 0);
	t.true(bench.targets.every(target => target.busyCount() === 0));
	await bench.close();
});

// Guards against a workspace that takes the slots of the others by sending more calls.
test('workspaces share the slots by weight regardless of their load', async t => {
	const heavy = {ratePerSecond: 10_000, burstCount: 10_000, weight: 2};
	const bench = createSchedulerBench(buildBenchEntry({workspaceLimits: {heavy}}));
	const served = new Map<string, number>();
	const serve = async (workspace: string): Promise<void> => {
		const ending = await bench.schedule({call: {workspace}, deadlineMs: 60_000});
		const value = ending.outcome === domain.Outcome.Completed ? 1 : 0;
		served.set(workspace, (served.get(workspace) ?? 0) + value);
	};

	const senders: Array<[string, number]> = [
		['heavy', 200],
		['a', 400],
		['b', 60],
	];
	senders.forEach(([workspace, count]) => {
		for (let index = 0; index < count; index++) {
			void serve(workspace);
		}
	});
	await bench.clock.advance(1000);
	const counts = senders.map(([workspace]) => served.get(workspace)!);
	t.true(Math.abs(counts[0]! / counts[1]! - 2) < 0.2, `served ${counts.join(' ')}`);
	t.true(Math.abs(counts[1]! / counts[2]! - 1) < 0.2, `served ${counts.join(' ')}`);
	await bench.close();
});

// Guards against one workspace that fills the queue and excludes the others.
test('a workspace that floods the queue leaves places for others', async t => {
	const bench = createSchedulerBench(buildBenchEntry({queue: {limitCount: 30, limitBytes: 1000}}));
	setServiceTime(bench, 100);
	void scheduleCalls(bench, 100, {call: {workspace: 'flood'}, deadlineMs: 60_000});
	await bench.clock.advance(0);
	t.true(bench.scheduler.queuedCallCount() < 30);
	t.is(summarizeEnding(await bench.settle(bench.schedule({call: {workspace: 'other'}}))), 'completed 200');
	await bench.close();
});

// Guards against long work in the slots that are reserved for short work.
test('short work finds a reserved slot while long work saturates the group', async t => {
	const bench = createSchedulerBench(buildBenchEntry({}, {targetCount: 2, slotCount: 4}));
	setServiceTime(bench, 900);
	void scheduleCalls(bench, 20, {route: LONG});
	await bench.clock.advance(50);
	t.is(countBusySlots(bench), 6);
	void scheduleCalls(bench, 2);
	await bench.clock.advance(1);
	t.is(countBusySlots(bench), 8);
	await bench.close();
});

// Guards against short work that starves long work.
test('long work gets its guaranteed share while short work saturates the group', async t => {
	const bench = createSchedulerBench(buildBenchEntry({}, {targetCount: 2, slotCount: 4}));
	setServiceTime(bench, 50);
	void scheduleCalls(bench, 400, {deadlineMs: 60_000});
	void scheduleCalls(bench, 100, {route: LONG});
	void scheduleCalls(bench, 100, {route: BULK});
	await bench.clock.advance(400);
	t.is(countBusySlots(bench), 8);
	const countStartedCalls = (workClass: domain.WorkClass): number =>
		100 - bench.metrics.gauges.get(`${core.GaugeName.QueuedCalls} s/pwani/0 ${workClass}`)!;
	// Two of eight slots for 400 ms at 50 ms for each call, divided between long and bulk work.
	t.true(countStartedCalls(domain.WorkClass.Long) >= 6);
	t.true(countStartedCalls(domain.WorkClass.Bulk) >= 6);
	await bench.close();
});

// Guards against long work that keeps borrowed slots without a time limit.
test('a borrowed slot is reclaimed within its limit when short work waits', async t => {
	const bench = createSchedulerBench(buildBenchEntry({}, {targetCount: 2, slotCount: 4}), {
		options: {borrowedSlotLimitMs: 200},
	});
	await bench.settle(scheduleCalls(bench, 8));
	await bench.clock.advance(2000);
	bench.targets.forEach(target => {
		target.serviceTimeMs = request => (request.pathAndQuery.includes('long') ? 5000 : 50);
	});
	void scheduleCalls(bench, 8, {route: LONG, call: {path: '/work/long'}});
	await bench.clock.advance(10);
	t.is(countBusySlots(bench), 6);
	void scheduleCalls(bench, 50, {call: {path: '/work/short'}});
	await bench.clock.advance(300);
	t.true(bench.metrics.sum(core.CounterName.Retries, {reason: domain.RetryReason.SlotReclaimed}) > 0);
	await bench.close();
});

type ChangeRow = {
	readonly name: string;
	readonly targetCount: number;
	readonly given?: Partial<domain.CatalogueEntry>;
	readonly expected: readonly string[];
};

const changeRows: readonly ChangeRow[] = [
	{
		name: 'gains targets',
		targetCount: 4,
		expected: ['completed 200', 'completed 200', 'completed 200', 'completed 200'],
	},
	{
		name: 'loses a target',
		targetCount: 1,
		expected: ['completed 200', 'completed 200', 'completed 200', 'completed 200'],
	},
	{
		name: 'loses all targets',
		targetCount: 0,
		expected: ['completed 200', 'completed 200', 'not-run no-target', 'not-run no-target'],
	},
];

// Guards against waiting calls that ignore a changed entry, and against slots that a removed target does not release.
changeRows.forEach(({name, targetCount, expected}) => {
	test(`calls that wait while the entry ${name}`, async t => {
		const bench = createSchedulerBench(buildBenchEntry());
		setServiceTime(bench, 100);
		const calls = scheduleCalls(bench, 4);
		await bench.clock.advance(10);
		const targets = buildTargets({service: 's', count: targetCount, slotCount: 1, places: [PLACE]});
		targets.slice(2).forEach(entry => {
			bench.network.addTarget(createFakeTarget({clock: bench.clock, entry}));
		});
		const changed = buildBenchEntry({targets});
		const template = core.buildTargetGroups(buildBenchEntry())[0]!;
		bench.scheduler.replaceGroup(
			core.buildTargetGroups(changed)[0] ?? {...template, targets: [], slotCount: 0},
			changed,
		);
		t.deepEqual(await bench.settle(calls), expected);
		await bench.clock.advance(1000);
		t.is(bench.countHeldResources(), 0);
		await bench.close();
	});
});

// Guards against callers that wait for a group that this node no longer schedules.
test('a closed scheduler ends the calls that wait', async t => {
	const bench = createSchedulerBench(buildBenchEntry({}, {targetCount: 1}));
	setServiceTime(bench, 100);
	const calls = scheduleCalls(bench, 2);
	await bench.clock.advance(10);
	await bench.close();
	t.deepEqual(await bench.settle(calls), ['completed 200', 'not-run no-target']);
	t.is(summarizeEnding(await bench.schedule()), 'not-run no-target');
});

// Guards against a cold scheduler that loads targets fully at once, and against limits that never rise again.
test('half of the slots are open at first, all after the ramp, and fewer after shedding', async t => {
	const options = {adaptiveLimit: {...core.DEFAULT_SCHEDULER_OPTIONS.adaptiveLimit, startRatio: 0.5}};
	const bench = createSchedulerBench(buildBenchEntry({}, {targetCount: 2, slotCount: 4}), {options});
	const countOpenSlots = (): number =>
		bench.scheduler.describeTargets().reduce((sum, target) => sum + target.openSlotCount, 0);
	t.is(countOpenSlots(), 4);
	await bench.clock.advance(1000);
	t.is(countOpenSlots(), 8);
	bench.targets[0]!.fault = FakeTargetFault.Shed;
	await bench.settle(scheduleCalls(bench, 8));
	t.true(countOpenSlots() < 8);
	bench.targets[0]!.fault = FakeTargetFault.None;
	await bench.clock.advance(2000);
	t.is(countOpenSlots(), 8);
	await bench.close();
});
