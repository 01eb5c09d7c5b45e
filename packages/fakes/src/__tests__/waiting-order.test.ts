import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildTargetPool, createDispatcherHarness} from './dispatcher-harness.js';

const MS_PER_SECOND = 1000;
const RUN_MS = 10_000;
const DRAIN_MS = 5000;

type Stream = {
	readonly name: string;
	readonly callsPerSecond: number;
	readonly workMs: number;
	readonly request: Partial<core.AcquireGrantRequest>;
};

type StreamResult = {
	callCount: number;
	servedCount: number;
	/** Calls that ended within their objective. */
	inTimeCount: number;
	/** Time that refused calls were held, in ms. */
	heldMs: number;
};

/** Runs streams of calls, each of which arrives at random times, against one group. */
const simulateStreams = async (
	targets: readonly domain.RegisteredTarget[],
	streams: readonly Stream[],
	seed: number,
): Promise<ReadonlyMap<string, StreamResult>> => {
	const {clock, random, acquire, report} = createDispatcherHarness(targets, {seed});
	const results = new Map<string, StreamResult>(
		streams.map(({name}) => [name, {callCount: 0, servedCount: 0, inTimeCount: 0, heldMs: 0}]),
	);
	const runCall = async ({name, workMs, request}: Stream): Promise<void> => {
		const result = results.get(name)!;
		const arrivedAtMs = clock.monotonicMs();
		const reply = await acquire({routeId: name, ...request});
		result.callCount++;
		if (!reply.isGranted) {
			result.heldMs += clock.monotonicMs() - arrivedAtMs;
			return;
		}

		const durationMs = workMs * (0.7 + 0.6 * random.fraction());
		await clock.sleep(durationMs);
		report(reply, core.GrantResult.Success, {routeId: name, durationMs});
		const elapsedMs = clock.monotonicMs() - arrivedAtMs;
		result.servedCount += elapsedMs <= (request.remainingMs ?? 2000) ? 1 : 0;
		result.inTimeCount += elapsedMs <= (request.objectiveLeftMs ?? 1200) ? 1 : 0;
	};

	streams.forEach(stream => {
		const generateCalls = async (): Promise<void> => {
			while (clock.monotonicMs() < RUN_MS) {
				await clock.sleep((-Math.log(1 - random.fraction()) * MS_PER_SECOND) / stream.callsPerSecond);
				void runCall(stream);
			}
		};

		void generateCalls();
	});
	await clock.advance(RUN_MS + DRAIN_MS);
	return results;
};

const SEEDS = [1, 2, 3];

// Load: 10 workspaces that need 100 of 160 calls a second, one of them at 20 times its rate. Guards against an order of arrival,
// in which the others lose as many calls as the one that sends too many.
SEEDS.forEach(seed => {
	test(`a workspace at 20 times its rate takes nothing from the others (seed ${seed})`, async t => {
		const usual: readonly Stream[] = Array.from({length: 9}, (_, index) => ({
			name: `workspace-${index}`,
			callsPerSecond: 10,
			workMs: 250,
			request: {workspace: `workspace-${index}`, waitLimitMs: 240},
		}));
		const loud = {name: 'loud', callsPerSecond: 200, workMs: 250, request: {workspace: 'loud', waitLimitMs: 240}};
		const results = await simulateStreams(buildTargetPool(10, 4), [...usual, loud], seed);
		const others = usual.map(({name}) => results.get(name)!);
		const callCount = others.reduce((sum, result) => sum + result.callCount, 0);
		const servedCount = others.reduce((sum, result) => sum + result.servedCount, 0);
		const loudResult = results.get('loud')!;
		t.log(`others ${servedCount} of ${callCount}, loud ${loudResult.servedCount} of ${loudResult.callCount}`);
		t.true(servedCount >= 0.99 * callCount, `${servedCount} of ${callCount} calls of the others served`);
		t.true(servedCount + loudResult.servedCount >= 0.9 * 160 * (RUN_MS / MS_PER_SECOND), 'the slots stay in use');
	});
});

// Load: calls of deployment A that have missed their objective (they come back after a refusal) beside exports that have not, at
// 1.2 times the capacity. Guards against late calls that keep their place until all others are late as well.
SEEDS.forEach(seed => {
	test(`calls with expired objectives do not make others miss theirs (seed ${seed})`, async t => {
		const exports = {
			name: 'exports',
			callsPerSecond: 100,
			workMs: 218,
			request: {remainingMs: 2024, objectiveLeftMs: 810, waitLimitMs: 800},
		};
		const late = {
			name: 'late',
			callsPerSecond: 110,
			workMs: 218,
			request: {remainingMs: 1200, objectiveLeftMs: -14, waitLimitMs: 800},
		};
		const results = await simulateStreams(buildTargetPool(10, 4), [exports, late], seed);
		const result = results.get('exports')!;
		t.log(JSON.stringify([...results]));
		t.true(result.inTimeCount >= 0.99 * result.callCount, `${result.inTimeCount} of ${result.callCount} in time`);
		const lateResult = results.get('late')!;
		const refusedCount = lateResult.callCount - lateResult.servedCount;
		t.true(lateResult.servedCount >= 0.5 * lateResult.callCount, 'late calls get the slots that are left');
		t.true(
			lateResult.heldMs <= 250 * refusedCount,
			`refused late calls were held for ${lateResult.heldMs / refusedCount} ms`,
		);
	});
});

// Load: 300 calls at once to 40 slots. Guards against calls that are held until they cannot be served and are refused then.
test('of a burst, the calls that cannot be served in time are refused at once, and the others are served', async t => {
	const {clock, acquire, report} = createDispatcherHarness(buildTargetPool(10, 4));
	const endings: Array<{isGranted: boolean; waitMs: number}> = [];
	const runCall = async (): Promise<void> => {
		const reply = await acquire({waitLimitMs: 1000, remainingMs: 2000, objectiveLeftMs: 1200});
		endings.push({isGranted: reply.isGranted, waitMs: clock.monotonicMs()});
		if (reply.isGranted) {
			await clock.sleep(240);
			report(reply, core.GrantResult.Success, {durationMs: 240});
		}
	};

	Array.from({length: 300}).forEach(() => {
		void runCall();
	});
	await clock.advance(3000);
	const refused = endings.filter(({isGranted}) => !isGranted);
	t.is(endings.length, 300);
	t.true(refused.length >= 100 && refused.length <= 150, `${refused.length} refused`);
	t.true(
		refused.every(({waitMs}) => waitMs === 0),
		'refused at once',
	);
	t.true(endings.every(({waitMs}) => waitMs <= 1000));
});

// Guards against a call that holds its place until the wait limit although its work no longer fits before its deadline.
test('a waiting call is refused as soon as its usual work no longer fits', async t => {
	const {clock, acquire, acquireGrant, report} = createDispatcherHarness(buildTargetPool(1, 1));
	report(await acquireGrant(), core.GrantResult.Success, {durationMs: 250});
	await acquireGrant();
	const reply = await clock.runUntilSettled(acquire({remainingMs: 700, waitLimitMs: 650}), 1000);
	t.like(reply, {isGranted: false, refusal: core.GrantRefusal.TooLate});
	t.is(clock.monotonicMs(), 450);
});

test('a call whose usual work does not fit is refused at once if it would have to wait', async t => {
	const {clock, acquire, acquireGrant, report} = createDispatcherHarness(buildTargetPool(1, 1));
	report(await acquireGrant(), core.GrantResult.Success, {durationMs: 250});
	await acquireGrant();
	const reply = await clock.runUntilSettled(acquire({remainingMs: 200, waitLimitMs: 150}), 1);
	t.like(reply, {isGranted: false, refusal: core.GrantRefusal.TooLate});
});

// Guards against a predicted wait from the mean of all routes: exports would be refused behind a few short calls, and accepted
// behind as many long ones.
test('the predicted wait follows from the routes that wait', async t => {
	const predictBehind = async (routeId: string): Promise<number> => {
		const {clock, acquire, acquireGrant, report} = createDispatcherHarness(buildTargetPool(1, 4));
		for (const [name, durationMs] of [
			['short', 77],
			['long', 512],
		] as const) {
			report(await acquireGrant({routeId: name}), core.GrantResult.Success, {routeId: name, durationMs});
		}

		await Promise.all(Array.from({length: 4}, async () => acquireGrant()));
		Array.from({length: 8}).forEach(() => {
			void acquire({routeId, waitLimitMs: 1900});
		});
		const reply = await clock.runUntilSettled(acquire({routeId: 'short'}), 1);
		return reply.isGranted ? 0 : reply.predictedWaitMs;
	};

	const [behindShort, behindLong] = [await predictBehind('short'), await predictBehind('long')];
	t.true(behindShort < 350, `${behindShort} ms behind 8 short calls`);
	t.true(behindLong > 1000, `${behindLong} ms behind 8 long calls`);
});

// Guards against a freed slot that stays free because the call that is next has tried its target or cannot reach it.
test('a freed slot goes to the next call that can use its target', async t => {
	const {clock, acquire, acquireGrant, report} = createDispatcherHarness(buildTargetPool(1, 1), {
		dispatcher: {retryRatio: 1},
	});
	const held = await acquireGrant();
	const blocked = Array.from({length: 6}, async () =>
		acquire({excludedTargetIds: ['target-0'], waitLimitMs: 1900, objectiveLeftMs: 1100}),
	);
	const next = acquire({waitLimitMs: 1900, objectiveLeftMs: 1900});
	await clock.advance(10);
	report(held, core.GrantResult.Success, {durationMs: 10});
	t.true((await clock.runUntilSettled(next, 150)).isGranted);
	await clock.runUntilSettled(Promise.all(blocked), 2000);
});

// Load: 30 calls of the own region, then 8 waiting calls of another region, which may not have the last free slot, before one of the
// own region. Guards against a slot that is kept for the own region and stands idle until the next check of all waiting calls.
test('a freed slot that is kept for the own region goes to its call behind calls of another region', async t => {
	const {clock, acquire, acquireGrant, report} = createDispatcherHarness(buildTargetPool(1, 1));
	const held = await acquireGrant();
	await Promise.all(Array.from({length: 30}, async () => acquire({waitLimitMs: 0})));
	const limits = {waitLimitMs: 9000, remainingMs: 30_000};
	const others = Array.from({length: 8}, async () =>
		acquire({...limits, isFromOtherRegion: true, objectiveLeftMs: 9000}),
	);
	const own = acquire({...limits, objectiveLeftMs: 12_000});
	await clock.advance(10);
	report(held, core.GrantResult.Success, {durationMs: 10});
	t.true((await clock.runUntilSettled(own, 20)).isGranted);
	await clock.runUntilSettled(Promise.all(others), 10_000);
});
