import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildGrantRequest, buildTarget} from '../build-fleet.js';
import {createFakeMetrics, createSilentLogger} from '../fake-observability.js';
import {createSeededRandom} from '../seeded-random.js';
import {createVirtualClock} from '../virtual-clock.js';

const USUAL_DURATION_MS = 250;

/**
 * Longer than the first set-aside period of a group without repeatable calls, which is half of the assumed gray phase of
 * 6 s.
 */
const AFTER_FIRST_SET_ASIDE_MS = 3100;

const createHarness = (targets: readonly domain.RegisteredTarget[], given: Partial<core.DispatcherOptions> = {}) => {
	const clock = createVirtualClock();
	const registered = {targets};
	const events: unknown[] = [];
	const logger: core.Logger = {
		...createSilentLogger(),
		info(_message, fields) {
			events.push(fields?.event);
		},
	};
	const dispatcher = core.createGroupDispatcher({
		groupId: 'malipo@pwani',
		options: {...core.DEFAULT_DISPATCHER_OPTIONS, ...given},
		clock,
		random: createSeededRandom(1),
		logger,
		metrics: createFakeMetrics(),
		notices: core.createTargetNotices({clock, logger}),
		listTargets: () => registered.targets,
		readTargetOffset: () => undefined,
	});
	const {signal} = new AbortController();
	let requestCount = 0;
	const acquire = async (request: Partial<core.AcquireGrantRequest> = {}): Promise<core.AcquireGrantReply> =>
		dispatcher.acquire(buildGrantRequest(`request-${requestCount++}`, request), signal);
	const report = (
		grant: core.Grant,
		result: core.GrantResult,
		nodeId = 'entry-1',
		durationMs = USUAL_DURATION_MS,
	): void => {
		const {grantId, target} = grant;
		dispatcher.report({
			grantId,
			nodeId,
			routeId: 'route',
			service: 'malipo',
			region: 'pwani',
			targetId: target.targetId,
			result,
			durationMs,
			targetNotices: [],
		});
	};

	const acquireGrant = async (request: Partial<core.AcquireGrantRequest> = {}): Promise<core.Grant> => {
		const reply = await acquire(request);
		if (!reply.isGranted) {
			throw new Error(`the dispatcher refused: ${reply.refusal}`);
		}

		return reply;
	};

	return {clock, registered, dispatcher, acquire, acquireGrant, report, events};
};

const buildPool = (count: number): domain.RegisteredTarget[] =>
	Array.from({length: count}, (_, index) => buildTarget({targetId: `target-${index}`}));

test('no target gets more calls than it has slots', async t => {
	const {acquire} = createHarness(buildPool(2));
	const replies = await Promise.all(Array.from({length: 9}, async () => acquire()));
	const granted = replies.filter(reply => reply.isGranted);
	t.is(granted.length, 8);
	const refused = replies.find(reply => !reply.isGranted);
	t.is(refused?.refusal, core.GrantRefusal.Busy);
	t.true(refused!.predictedWaitMs > 0);
});

test('the slot that a report frees goes to the waiting call with the highest priority', async t => {
	const {clock, acquire, acquireGrant, report} = createHarness([buildTarget({targetId: 'only', slotCount: 1})]);
	const held = await acquireGrant();
	const lessUrgent = acquire({priority: 2, waitLimitMs: 1000});
	const urgent = acquire({priority: 0, waitLimitMs: 1000});
	await clock.advance(50);
	report(held, core.GrantResult.Success);
	const reply = await clock.runUntilSettled(urgent, 200);
	t.true(reply.isGranted);
	const late = await clock.runUntilSettled(lessUrgent, 2000);
	t.false(late.isGranted);
});

test('one failure in a group that rarely fails sets the target aside, and a trial follows', async t => {
	const {clock, acquireGrant, report, dispatcher} = createHarness(buildPool(3));
	const first = await acquireGrant();
	report(first, core.GrantResult.Failure);
	t.is(dispatcher.countStandings().get(core.GrantStanding.SetAside), 1);
	const others = await Promise.all(Array.from({length: 6}, async () => acquireGrant()));
	t.true(others.every(({target}) => target.targetId !== first.target.targetId));
	await clock.advance(AFTER_FIRST_SET_ASIDE_MS);
	t.is(dispatcher.countStandings().get(core.GrantStanding.OnTrial), 1);
});

test('a target on trial gets repeatable calls, and two successes end the trial', async t => {
	const {clock, acquireGrant, report, dispatcher, events} = createHarness(buildPool(3), {retryRatio: 1});
	const failed = await acquireGrant();
	report(failed, core.GrantResult.Failure);
	await clock.advance(AFTER_FIRST_SET_ASIDE_MS);
	const single = await acquireGrant();
	t.not(single.target.targetId, failed.target.targetId);
	for (const expected of [1, undefined]) {
		const trial = await acquireGrant({repeatability: domain.Repeatability.Repeatable});
		t.is(trial.target.targetId, failed.target.targetId);
		report(trial, core.GrantResult.Success);
		t.is(dispatcher.countStandings().get(core.GrantStanding.OnTrial), expected);
	}

	t.deepEqual(events, [core.LogEvent.TargetSetAside, core.LogEvent.TargetReturned]);
});

test('a failed trial doubles the set-aside period', async t => {
	const {clock, acquireGrant, report, dispatcher} = createHarness(buildPool(3), {retryRatio: 1});
	const failed = await acquireGrant();
	report(failed, core.GrantResult.Failure);
	await clock.advance(AFTER_FIRST_SET_ASIDE_MS);
	const trial = await acquireGrant({repeatability: domain.Repeatability.Repeatable});
	report(trial, core.GrantResult.Failure);
	await clock.advance(4000);
	t.is(dispatcher.countStandings().get(core.GrantStanding.SetAside), 1);
	await clock.advance(1000);
	t.is(dispatcher.countStandings().get(core.GrantStanding.OnTrial), 1);
});

test('a target that one node cannot reach stays in use for others, and is set aside when two cannot reach it', async t => {
	const {acquireGrant, report, dispatcher} = createHarness([buildTarget({targetId: 'only'})]);
	const first = await acquireGrant();
	report(first, core.GrantResult.Unreachable, 'entry-1');
	t.is(dispatcher.countStandings().get(core.GrantStanding.Sound), 1);
	const second = await acquireGrant({nodeId: 'entry-2'});
	t.is(second.target.targetId, 'only');
	report(second, core.GrantResult.Unreachable, 'entry-2');
	t.is(dispatcher.countStandings().get(core.GrantStanding.SetAside), 1);
});

test('a node gets no target that it cannot reach, even as a last resort', async t => {
	const {acquire, acquireGrant, report} = createHarness([buildTarget({targetId: 'only'})]);
	report(await acquireGrant(), core.GrantResult.Unreachable);
	t.false((await acquire({isLastResort: true})).isGranted);
});

test('targets that are set aside get calls only as a last resort, the one with the oldest failure first', async t => {
	const {clock, acquire, acquireGrant, report} = createHarness(buildPool(2));
	const first = await acquireGrant();
	report(first, core.GrantResult.Failure);
	await clock.advance(100);
	report(await acquireGrant(), core.GrantResult.Failure);
	t.false((await acquire()).isGranted);
	const last = await acquireGrant({isLastResort: true});
	t.is(last.target.targetId, first.target.targetId);
});

// Guards against last-resort calls that go to targets with a recent failure instead of one whose last failure is old.
test('the last resort is the target whose last failure is the oldest, regardless of its failed trials', async t => {
	const {clock, acquireGrant, report} = createHarness(buildPool(2));
	const first = await acquireGrant();
	report(first, core.GrantResult.Failure);
	const excludedTargetIds = ['target-0', 'target-1'].filter(targetId => targetId !== first.target.targetId);
	await clock.advance(AFTER_FIRST_SET_ASIDE_MS);
	report(await acquireGrant({excludedTargetIds}), core.GrantResult.Failure);
	await clock.advance(1000);
	report(await acquireGrant(), core.GrantResult.Failure);
	await clock.advance(100);
	const last = await acquireGrant({isLastResort: true});
	t.is(last.target.targetId, first.target.targetId);
});

test('draining targets, targets that the call has tried and removed targets get no calls', async t => {
	const harness = createHarness([
		buildTarget({targetId: 'draining', readiness: domain.TargetReadiness.Draining}),
		buildTarget({targetId: 'tried'}),
		buildTarget({targetId: 'removed'}),
	]);
	harness.registered.targets = harness.registered.targets.slice(0, 2);
	const reply = await harness.acquire({excludedTargetIds: ['tried'], isLastResort: true});
	t.false(reply.isGranted);
});

test('a new incarnation of a target starts without the failures of the previous one', async t => {
	const harness = createHarness([buildTarget({targetId: 'same'})]);
	harness.report(await harness.acquireGrant(), core.GrantResult.Failure);
	t.false((await harness.acquire()).isGranted);
	harness.registered.targets = [buildTarget({targetId: 'same', startedAtMs: 2})];
	t.true((await harness.acquire()).isGranted);
});

test('retries stay within their ratio to the calls from the first call on', async t => {
	const {clock, acquire, report} = createHarness(buildPool(8), {retryRatio: 0.1});
	let retryCount = 0;
	for (let index = 0; index < 100; index++) {
		const first = await acquire();
		const retry = await acquire({attemptIndex: 1});
		[first, retry].forEach(reply => {
			if (reply.isGranted) {
				report(reply, core.GrantResult.Success);
			}
		});
		retryCount += retry.isGranted ? 1 : 0;
		await clock.advance(100);
	}

	t.true(retryCount <= 10, `${retryCount} retries`);
	t.true(retryCount >= 9, `${retryCount} retries`);
});

// Guards against a call that is counted once by each dispatcher to which its request is sent.
test('only calls that no other dispatcher has counted add to the retry budget', async t => {
	const {acquire, acquireGrant, report} = createHarness(buildPool(8), {retryRatio: 0.5});
	for (let index = 0; index < 20; index++) {
		report(await acquireGrant({isNewCall: false}), core.GrantResult.Success);
	}

	t.like(await acquire({attemptIndex: 1}), {isGranted: false, refusal: core.GrantRefusal.NoBudget});
});

// Guards against retries that are saved up under low load and then all made in one window, in addition to its own.
test('unused retries expire except for one', async t => {
	const {clock, acquire, acquireGrant, report} = createHarness(buildPool(8), {retryRatio: 0.5});
	for (let index = 0; index < 20; index++) {
		report(await acquireGrant(), core.GrantResult.Success);
	}

	await clock.advance(10_000);
	t.true((await acquire({attemptIndex: 1})).isGranted);
	t.false((await acquire({attemptIndex: 1})).isGranted);
});

// Guards against retries that all pass the same check of the budget and then wait for a slot.
test('retries that wait for a slot stay within the budget', async t => {
	const {clock, acquire, acquireGrant, report} = createHarness(buildPool(8), {retryRatio: 0.1});
	const held = await Promise.all(Array.from({length: 32}, async () => acquireGrant()));
	const retries = Promise.all(Array.from({length: 30}, async () => acquire({attemptIndex: 1, waitLimitMs: 800})));
	held.forEach(grant => {
		report(grant, core.GrantResult.Success);
	});
	const replies = await clock.runUntilSettled(retries, 2000);
	const retryCount = replies.filter(({isGranted}) => isGranted).length;
	t.true(retryCount <= 4, `${retryCount} retries`);
});

test('a call that cannot end in time is refused at once', async t => {
	const {acquire, acquireGrant, report} = createHarness(buildPool(1));
	report(await acquireGrant(), core.GrantResult.Success);
	const reply = await acquire({remainingMs: USUAL_DURATION_MS / 4, waitLimitMs: 100});
	t.like(reply, {isGranted: false, refusal: core.GrantRefusal.TooLate});
});

test('a grant without a report expires after the deadline of its call', async t => {
	const {clock, acquire} = createHarness([buildTarget({targetId: 'only', slotCount: 1})]);
	await acquire({remainingMs: 1000});
	t.false((await acquire()).isGranted);
	await clock.advance(1600);
	t.true((await acquire()).isGranted);
});

test('a target that sheds a call is skipped while others have free slots, and is not set aside', async t => {
	const {clock, acquireGrant, report, dispatcher} = createHarness(buildPool(2));
	const shed = await acquireGrant();
	report(shed, core.GrantResult.Shed);
	const others = await Promise.all(Array.from({length: 4}, async () => acquireGrant()));
	t.true(others.every(({target}) => target.targetId !== shed.target.targetId));
	t.is((await acquireGrant()).target.targetId, shed.target.targetId);
	await clock.advance(400);
	t.is(dispatcher.countStandings().get(core.GrantStanding.Sound), 2);
});

test('a group whose targets all shed keeps all its slots', async t => {
	const {acquire, acquireGrant, report} = createHarness(buildPool(2));
	const held = await Promise.all(Array.from({length: 8}, async () => acquireGrant()));
	held.forEach(grant => {
		report(grant, core.GrantResult.Shed);
	});
	const replies = await Promise.all(Array.from({length: 8}, async () => acquire()));
	t.true(replies.every(({isGranted}) => isGranted));
});

test('the cost of checking the waiting calls is linear in their number', async t => {
	const waitMs = 1000;
	const countListings = async (callCount: number): Promise<number> => {
		const {clock, acquireGrant, acquire, registered} = createHarness([buildTarget({targetId: 'only', slotCount: 1})]);
		const grant = await acquireGrant();
		t.truthy(grant);
		const {targets} = registered;
		let listingCount = 0;
		Object.defineProperty(registered, 'targets', {
			get() {
				listingCount++;
				return targets;
			},
		});
		// A call whose predicted wait exceeds its limit would be refused at once.
		const calls = Array.from({length: callCount}, async () => acquire({waitLimitMs: waitMs * callCount}));
		await clock.advance(waitMs);
		const counted = listingCount;
		await clock.runUntilSettled(Promise.all(calls), waitMs * callCount);
		return counted;
	};

	const few = await countListings(5);
	const many = await countListings(50);
	t.true(many <= few * 12, `${few} listings for 5 calls, ${many} for 50`);
});
