import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as fastCheck from 'fast-check';
import {buildEntry, buildTargets} from '../build-entry.js';
import {createFakeHost} from '../fake-host.js';
import {createFakeNetwork} from '../fake-network.js';
import {createFakeMetrics, createSilentLogger} from '../fake-observability.js';
import {createFakeTarget} from '../fake-target.js';
import {createSeededRandom} from '../seeded-random.js';
import {createVirtualClock} from '../virtual-clock.js';

const PLACES = [
	{region: 'pwani', availabilityZone: 'kinondoni'},
	{region: 'pwani', availabilityZone: 'temeke'},
];

const buildGroup = (options: {count: number; floorSlotCount: number; drainingIds?: ReadonlySet<string>}) => {
	const targets = buildTargets({service: 'ratiba', count: options.count, slotCount: 4, places: PLACES}).map(target => ({
		...target,
		isDraining: options.drainingIds?.has(target.targetId) ?? false,
	}));
	const {floorSlotCount} = options;
	return core.buildTargetGroups(buildEntry({service: 'ratiba', targets, floorSlotCount}))[0]!;
};

const createHarness = (options: {count: number; floorSlotCount: number}) => {
	const clock = createVirtualClock();
	const metrics = createFakeMetrics();
	const network = createFakeNetwork(clock);
	const group = buildGroup(options);
	group.targets.forEach(entry => {
		network.addTarget(createFakeTarget({clock, entry}));
	});
	const host = createFakeHost();
	const health = core.createGroupHealth({
		ports: {
			clock,
			random: createSeededRandom(1),
			metrics,
			logger: createSilentLogger(),
			targetClient: network.createTargetClient('node:1', host),
			peerClient: network.createPeerClient('node:1', host),
		},
		group,
	});
	const controller = new AbortController();
	void health.run(controller.signal);
	const attempt = async (targetId: string, result: core.AttemptResult, latencyMs = 10): Promise<void> => {
		const observed = health.startAttempt(targetId, domain.WorkClass.Short);
		await clock.advance(latencyMs);
		observed.finish(result);
	};

	const warmUp = async (roundCount: number): Promise<void> => {
		for (let round = 0; round < roundCount; round++) {
			for (const {targetId} of group.targets) {
				await attempt(targetId, core.AttemptResult.Success);
			}
		}
	};

	return {clock, metrics, group, health, attempt, warmUp, stop: () => controller.abort()};
};

const stateOf = (health: core.GroupHealth, targetId: string): domain.TargetState => health.standingOf(targetId).state;

// Guards against back-pressure and cancelled calls that count as faults of the target, and failures that do not.
const RESULT_CASES = [
	{name: 'errors', fault: core.AttemptResult.Error, expected: domain.TargetState.Ejected},
	{name: 'refused connections', fault: core.AttemptResult.Unreachable, expected: domain.TargetState.Ejected},
	{name: 'lost connections', fault: core.AttemptResult.Lost, expected: domain.TargetState.Ejected},
	{name: 'time-outs', fault: core.AttemptResult.TimedOut, expected: domain.TargetState.Ejected},
	{name: 'shedding', fault: core.AttemptResult.Shed, expected: domain.TargetState.Healthy},
	{name: 'cancelled calls', fault: core.AttemptResult.Cancelled, expected: domain.TargetState.Healthy},
];

RESULT_CASES.forEach(({name, fault, expected}) => {
	test(`a target with ${name} is classified as ${expected}`, async t => {
		const {health, attempt, warmUp, metrics} = createHarness({count: 5, floorSlotCount: 8});
		await warmUp(10);
		for (let round = 0; round < 12; round++) {
			await attempt('ratiba-1', fault);
			await attempt('ratiba-2', core.AttemptResult.Success);
		}

		t.is(stateOf(health, 'ratiba-1'), expected);
		t.is(stateOf(health, 'ratiba-2'), domain.TargetState.Healthy);
		t.is(metrics.sum(core.CounterName.Ejections), expected === domain.TargetState.Ejected ? 1 : 0);
	});
});

// Guards against a target that sheds load, seems idle and therefore gets more work than the others.
test('shedding lowers the weight of a target, and the weight recovers over time', async t => {
	const {clock, health, attempt} = createHarness({count: 5, floorSlotCount: 8});
	for (let round = 0; round < 10; round++) {
		await attempt('ratiba-1', core.AttemptResult.Shed);
	}

	t.like(health.standingOf('ratiba-1'), {state: domain.TargetState.Healthy});
	t.true(health.standingOf('ratiba-1').weight < 0.1);
	await clock.advance(20_000);
	t.true(health.standingOf('ratiba-1').weight > 0.9);
});

// Guards against attempts that count only when they end: a target that stalls holds all slots and yields no result.
test('overdue attempts eject their target before they end', async t => {
	const {health, attempt, warmUp} = createHarness({count: 5, floorSlotCount: 8});
	await warmUp(10);
	Array.from({length: 4}).forEach(() => health.startAttempt('ratiba-1', domain.WorkClass.Short));
	for (let round = 0; round < 60; round++) {
		await attempt('ratiba-2', core.AttemptResult.Success);
	}

	t.is(stateOf(health, 'ratiba-1'), domain.TargetState.Ejected);
	t.is(health.standingOf('ratiba-1').reason, 'overdue');
});

// Guards against ejections of targets when the cause lies outside them.
test('no target is ejected when all fail together', async t => {
	const {health, attempt, group, metrics} = createHarness({count: 5, floorSlotCount: 0});
	for (let round = 0; round < 50; round++) {
		for (const {targetId} of group.targets) {
			await attempt(targetId, core.AttemptResult.Error);
		}
	}

	t.is(metrics.sum(core.CounterName.Ejections), 0);
	t.is(health.healthySlotCount(), 20);
});

// Guards against a return without probation, and against an ejection time that does not grow for a flapping target.
test('an ejected target returns through probation with repeatable work, and its second ejection is longer', async t => {
	const {clock, health, attempt, warmUp} = createHarness({count: 5, floorSlotCount: 8});
	const ejectTarget = async (): Promise<void> => {
		await warmUp(10);
		for (let round = 0; round < 12; round++) {
			await attempt('ratiba-1', core.AttemptResult.Error);
			await attempt('ratiba-2', core.AttemptResult.Success);
		}
	};

	const measureEjectionMs = async (): Promise<number> => {
		const sinceMs = clock.monotonicMs();
		while (stateOf(health, 'ratiba-1') === domain.TargetState.Ejected) {
			await clock.advance(100);
		}

		return clock.monotonicMs() - sinceMs;
	};

	await ejectTarget();
	const firstMs = await measureEjectionMs();
	t.like(health.standingOf('ratiba-1'), {state: domain.TargetState.Probation, isRepeatableOnly: true});
	t.is(Math.floor(health.standingOf('ratiba-1').openRatio * 4), 1);
	for (let round = 0; round < 8; round++) {
		await attempt('ratiba-1', core.AttemptResult.Success);
	}

	t.is(stateOf(health, 'ratiba-1'), domain.TargetState.Healthy);
	t.true(health.standingOf('ratiba-1').openRatio < 1);
	await ejectTarget();
	t.true((await measureEjectionMs()) > 1.5 * firstMs);
});

// Guards against drains and edits that leave healthy capacity below the floor although ejected targets could return.
const FLOOR_CASES = [
	{
		name: 'a leaving target',
		applyChange(health: core.GroupHealth) {
			health.markLeaving('ratiba-2', 'test');
		},
		expected: 8,
	},
	{
		name: 'an edit that raises the floor',
		applyChange(health: core.GroupHealth) {
			health.replaceGroup(buildGroup({count: 3, floorSlotCount: 12}));
		},
		expected: 12,
	},
	{
		name: 'an edit that drains a target',
		applyChange(health: core.GroupHealth) {
			health.replaceGroup(buildGroup({count: 3, floorSlotCount: 8, drainingIds: new Set(['ratiba-2'])}));
		},
		expected: 8,
	},
	{
		name: 'an edit that removes a target',
		applyChange(health: core.GroupHealth) {
			health.replaceGroup(buildGroup({count: 2, floorSlotCount: 8}));
		},
		expected: 8,
	},
];

FLOOR_CASES.forEach(({name, applyChange, expected}) => {
	test(`${name} returns an ejected target to meet the floor`, async t => {
		const {health, attempt, warmUp} = createHarness({count: 3, floorSlotCount: 8});
		await warmUp(10);
		for (let round = 0; round < 12; round++) {
			await attempt('ratiba-1', core.AttemptResult.Error);
			await attempt('ratiba-2', core.AttemptResult.Success);
		}

		t.is(stateOf(health, 'ratiba-1'), domain.TargetState.Ejected);
		applyChange(health);
		t.is(health.healthySlotCount(), expected);
		t.is(stateOf(health, 'ratiba-1'), domain.TargetState.Suspect);
	});
});

// Guards against ejections that are kept when the scheduling node changes. Shows that two nodes do not share one floor.
test('a new scheduling node starts without ejections, and two nodes each enforce the floor in their own view', async t => {
	const createHarnessWithFailingTarget = async (targetId: string) => {
		const harness = createHarness({count: 5, floorSlotCount: 16});
		harness.group.targets.forEach(({targetId}) => {
			t.like(harness.health.standingOf(targetId), {state: domain.TargetState.Healthy, openRatio: 1, weight: 1});
		});
		t.is(harness.health.healthySlotCount(), 20);
		await harness.warmUp(10);
		for (let round = 0; round < 12; round++) {
			await harness.attempt(targetId, core.AttemptResult.Error);
			await harness.attempt('ratiba-3', core.AttemptResult.Success);
		}

		return harness;
	};

	const first = await createHarnessWithFailingTarget('ratiba-1');
	const second = await createHarnessWithFailingTarget('ratiba-2');
	t.is(first.health.healthySlotCount(), 16);
	t.is(second.health.healthySlotCount(), 16);
	const isHealthyInBoth = ({targetId}: domain.TargetEntry): boolean =>
		[first, second].every(({health}) => stateOf(health, targetId) === domain.TargetState.Healthy);
	const sharedSlotCount = first.group.targets
		.filter(isHealthyInBoth)
		.reduce((sum, target) => sum + target.slotCount, 0);
	t.is(sharedSlotCount, 12, 'the slots of targets that are healthy for both nodes may be below the floor');
});

enum Step {
	Attempt = 'attempt',
	/** Attempts at a healthy target start to fail, or those at a failing target succeed again. */
	ToggleFault = 'change',
	Drain = 'drain',
	Edit = 'edit',
	Wait = 'wait',
}

type StepInput = {
	step: Step;
	target: number;
	failure: core.AttemptResult;
	floorSlotCount: number;
	waitMs: number;
	/** Targets whose attempts fail at this point of the sequence. */
	failingTargets: Set<number>;
};

const STEP_HANDLERS: Record<
	Step,
	(harness: ReturnType<typeof createHarness>, input: StepInput) => Promise<void> | void
> = {
	[Step.Attempt]: async ({attempt}, {target, failure, failingTargets}) =>
		attempt(`ratiba-${target}`, failingTargets.has(target) ? failure : core.AttemptResult.Success, 20),
	[Step.ToggleFault](_harness, {target, failingTargets}) {
		if (!failingTargets.delete(target)) {
			failingTargets.add(target);
		}
	},
	[Step.Drain]({health}, {target}) {
		health.markLeaving(`ratiba-${target}`, 'test');
	},
	[Step.Edit]({health}, {floorSlotCount, target}) {
		health.replaceGroup(buildGroup({count: 2 + target, floorSlotCount}));
	},
	[Step.Wait]: async ({clock}, {waitMs}) => clock.advance(waitMs),
};

const stepArbitrary = fastCheck.record({
	step: fastCheck.constantFrom(
		...Array.from({length: 60}, () => Step.Attempt),
		Step.ToggleFault,
		Step.Drain,
		Step.Edit,
		Step.Wait,
	),
	target: fastCheck.integer({min: 1, max: 6}),
	failure: fastCheck.constantFrom(core.AttemptResult.Error, core.AttemptResult.TimedOut),
	floorSlotCount: fastCheck.integer({min: 0, max: 24}),
	waitMs: fastCheck.integer({min: 1, max: 12_000}),
});

// Guards against an ejection below the floor in any order of results, drains, edits and waits.
test('no sequence of results, drains and edits takes healthy slots below the floor by an ejection', async t => {
	let ejectionCount = 0;
	await fastCheck.assert(
		fastCheck.asyncProperty(fastCheck.array(stepArbitrary, {minLength: 60, maxLength: 150}), async steps => {
			const harness = createHarness({count: 6, floorSlotCount: 12});
			const {health, metrics, clock, group} = harness;
			const failingTargets = new Set([1, 2]);
			let floorSlotCount = 12;
			let isFloorViolated = false;
			let before = {ejectionCount: 0, healthySlotCount: health.healthySlotCount()};
			const isReturnedNow = ({targetId}: domain.TargetEntry): boolean => {
				const {reason, sinceMs} = health.standingOf(targetId);
				return reason === 'returned for the floor' && sinceMs === clock.monotonicMs();
			};

			health.subscribe(() => {
				const after = {
					ejectionCount: metrics.sum(core.CounterName.Ejections),
					healthySlotCount: health.healthySlotCount(),
				};
				const isEjection = after.ejectionCount > before.ejectionCount;
				const isLoss = after.healthySlotCount < Math.min(floorSlotCount, before.healthySlotCount);
				// An ejection below the floor could be masked by the return of another target at the same time.
				const isMasked = before.healthySlotCount >= floorSlotCount && group.targets.some(isReturnedNow);
				isFloorViolated ||= isEjection && (isLoss || isMasked);
				before = after;
			});
			for (const input of steps) {
				floorSlotCount = input.step === Step.Edit ? input.floorSlotCount : floorSlotCount;
				await STEP_HANDLERS[input.step](harness, {...input, failingTargets});
			}

			harness.stop();
			ejectionCount += before.ejectionCount;
			return !isFloorViolated;
		}),
		{numRuns: 100, seed: 5},
	);
	t.true(ejectionCount > 100, `the sequences must contain ejections, got ${ejectionCount}`);
});
