import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildGrantRequest, buildTarget} from '../build-fleet.js';
import {createFakeMetrics, createSilentLogger} from '../fake-observability.js';
import {createSeededRandom} from '../seeded-random.js';
import {createVirtualClock} from '../virtual-clock.js';

const WORK_MS = 250;
const DURATION_MS = 10_000;
const SETTLE_MS = 3000;
const WAIT_LIMIT_MS = 400;
const ZONES = ['kinondoni', 'temeke', 'ilala'] as const;
type Zone = (typeof ZONES)[number];

type ZoneTally = {callCount: number; grantedCount: number; nearCount: number; waitMs: number};

type ZoneLoad = {
	readonly targetCount: number;
	/** Calls a second at a time of the run, in ms. */
	readonly readRate: (timeMs: number) => number;
};

type PlayOptions = {
	readonly loads: Readonly<Partial<Record<Zone, ZoneLoad>>>;
	readonly bodyBytes?: number;
	/** Time that a call between zones takes longer, in ms. */
	readonly crossingMs?: number;
	readonly zones?: Partial<core.ZoneOptions>;
	readonly seed?: number;
};

/** Plays calls of the zones of one region against the region's dispatcher, on a virtual clock. */
const playZones = async ({loads, bodyBytes, crossingMs = 1, zones, seed = 3}: PlayOptions) => {
	const clock = createVirtualClock();
	const random = createSeededRandom(seed);
	const events: unknown[] = [];
	const logger: core.Logger = {
		...createSilentLogger(),
		info(_message, fields) {
			events.push(fields?.event);
		},
	};
	const entries = Object.entries(loads) as Array<[Zone, ZoneLoad]>;
	const targets: readonly domain.RegisteredTarget[] = entries.flatMap(([availabilityZone, {targetCount}]) =>
		Array.from({length: targetCount}, (_, index) =>
			buildTarget({targetId: `${availabilityZone}-${index}`, availabilityZone}),
		),
	);
	const dispatcher = core.createGroupDispatcher({
		groupId: 'malipo@pwani',
		options: core.DEFAULT_DISPATCHER_OPTIONS,
		zoneOptions: {...core.DEFAULT_ZONE_OPTIONS, ...zones},
		clock,
		random,
		logger,
		metrics: createFakeMetrics(),
		notices: core.createTargetNotices({clock, logger}),
		listTargets: () => targets,
		readTargetOffset: () => undefined,
	});
	const tallies = new Map<Zone, ZoneTally>(
		entries.map(([zone]) => [zone, {callCount: 0, grantedCount: 0, nearCount: 0, waitMs: 0}]),
	);
	const play = async (availabilityZone: Zone, requestId: string): Promise<void> => {
		const tally = tallies.get(availabilityZone)!;
		const startedAtMs = clock.monotonicMs();
		const nodeId = `entry-${availabilityZone}`;
		tally.callCount++;
		const request = buildGrantRequest(requestId, {availabilityZone, nodeId, waitLimitMs: WAIT_LIMIT_MS, bodyBytes});
		const reply = await dispatcher.acquire(request, new AbortController().signal);
		if (!reply.isGranted) {
			return;
		}

		const {grantId, target} = reply;
		const isNear = target.availabilityZone === availabilityZone;
		tally.grantedCount++;
		tally.nearCount += isNear ? 1 : 0;
		tally.waitMs += clock.monotonicMs() - startedAtMs;
		const durationMs = WORK_MS * (0.5 + random.fraction()) + (isNear ? 0 : crossingMs);
		await clock.sleep(durationMs);
		dispatcher.report({
			grantId,
			nodeId,
			routeId: 'route',
			service: 'malipo',
			region: 'pwani',
			targetId: target.targetId,
			result: core.GrantResult.Success,
			durationMs,
			targetNotices: [],
		});
	};

	let requestCount = 0;
	const runArrivals = async (zone: Zone, readRate: (timeMs: number) => number): Promise<void> => {
		while (clock.monotonicMs() < DURATION_MS) {
			const rate = readRate(clock.monotonicMs());
			await clock.sleep((-Math.log(1 - random.fraction()) * 1000) / rate);
			void play(zone, `call-${requestCount++}`);
		}
	};

	entries.forEach(([zone, {readRate}]) => {
		void runArrivals(zone, readRate);
	});
	await clock.advance(DURATION_MS + SETTLE_MS);
	const count = (event: core.LogEvent): number => events.filter(other => other === event).length;
	return {tallyOf: (zone: Zone) => tallies.get(zone)!, count};
};

const grantedShare = ({grantedCount, callCount}: ZoneTally): number => grantedCount / callCount;
const meanWaitMs = ({waitMs, grantedCount}: ZoneTally): number => waitMs / grantedCount;
const nearShare = ({nearCount, grantedCount}: ZoneTally): number => nearCount / grantedCount;

// Guards against callers of a short zone that are refused beside free slots, or that wait for near ones.
test('a short zone with idle neighbours: its calls go to the neighbours at once, and the log says so', async t => {
	const {tallyOf, count} = await playZones({
		loads: {
			kinondoni: {targetCount: 1, readRate: () => 60},
			temeke: {targetCount: 5, readRate: () => 20},
			ilala: {targetCount: 5, readRate: () => 20},
		},
	});
	ZONES.forEach(zone => {
		t.is(grantedShare(tallyOf(zone)), 1);
	});
	const {waitMs, grantedCount} = tallyOf('kinondoni');
	t.true(waitMs / grantedCount <= 5, `${waitMs / grantedCount} ms`);
	t.true(count(core.LogEvent.SpillStarted) >= 1);
});

// Guards against bytes between zones while each zone has slots enough for its own callers.
test('all zones have slots: most calls stay in their zone, more of them the larger their bodies', async t => {
	const loads = {
		kinondoni: {targetCount: 5, readRate: () => 30},
		temeke: {targetCount: 5, readRate: () => 30},
		ilala: {targetCount: 5, readRate: () => 30},
	};
	const small = await playZones({loads, bodyBytes: 1000});
	const large = await playZones({loads, bodyBytes: 20_000});
	ZONES.forEach(zone => {
		t.true(nearShare(small.tallyOf(zone)) > 0.5, `${nearShare(small.tallyOf(zone))}`);
		t.true(nearShare(large.tallyOf(zone)) > 0.9, `${nearShare(large.tallyOf(zone))}`);
		t.is(grantedShare(large.tallyOf(zone)), 1);
	});
});

type OverloadSums = {readonly short: ZoneTally; readonly neighbours: ZoneTally};

const addTallies = (tallies: readonly ZoneTally[]): ZoneTally =>
	tallies.reduce((sum, tally) => ({
		callCount: sum.callCount + tally.callCount,
		grantedCount: sum.grantedCount + tally.grantedCount,
		nearCount: sum.nearCount + tally.nearCount,
		waitMs: sum.waitMs + tally.waitMs,
	}));

/** Plays one zone far beyond its slots next to two calm ones, with several seeds, since a run has only some hundred calls a zone. */
const playOverload = async (zones?: Partial<core.ZoneOptions>): Promise<OverloadSums> => {
	const plays = await Promise.all(
		[3, 4, 5, 6].map(async seed =>
			playZones({
				loads: {
					kinondoni: {targetCount: 5, readRate: () => 300},
					temeke: {targetCount: 5, readRate: () => 40},
					ilala: {targetCount: 5, readRate: () => 40},
				},
				zones,
				seed,
			}),
		),
	);
	return {
		short: addTallies(plays.map(({tallyOf}) => tallyOf('kinondoni'))),
		neighbours: addTallies(plays.flatMap(({tallyOf}) => [tallyOf('temeke'), tallyOf('ilala')])),
	};
};

// Guards against a zone whose overload takes the slots of its neighbours' own callers, and against a reserve that costs service.
test('one zone far beyond its slots: its neighbours keep most of their slots, and the region serves as many calls', async t => {
	const kept = await playOverload();
	const shared = await playOverload({zoneReserveRatio: 0});
	const describe = `${JSON.stringify(kept)} without reserve ${JSON.stringify(shared)}`;
	t.true(grantedShare(kept.neighbours) >= grantedShare(kept.short), describe);
	t.true(grantedShare(kept.neighbours) >= grantedShare(shared.neighbours), describe);
	t.true(nearShare(kept.neighbours) >= 0.7, describe);
	t.true(meanWaitMs(kept.neighbours) < meanWaitMs(kept.short), describe);
	const countAll = ({short, neighbours}: OverloadSums): number => short.grantedCount + neighbours.grantedCount;
	t.true(countAll(kept) >= countAll(shared) * 0.99, describe);
});

// Guards against reserved slots that stay free while calls are refused.
test('all zones busy: the region serves what its slots allow', async t => {
	const rate = 120;
	const {tallyOf} = await playZones({
		loads: {
			kinondoni: {targetCount: 5, readRate: () => rate},
			temeke: {targetCount: 5, readRate: () => rate},
			ilala: {targetCount: 5, readRate: () => rate},
		},
	});
	const grantedCount = ZONES.reduce((sum, zone) => sum + tallyOf(zone).grantedCount, 0);
	const capacityCount = (15 * 4 * DURATION_MS) / WORK_MS;
	t.true(grantedCount >= capacityCount * 0.95, `${grantedCount} of ${capacityCount}`);
});

// Guards against a log line for each wave.
test('flapping load: waves of half a second change what the log says at most twice', async t => {
	const {tallyOf, count} = await playZones({
		loads: {
			kinondoni: {targetCount: 3, readRate: timeMs => (Math.floor(timeMs / 500) % 2 === 1 ? 120 : 20)},
			temeke: {targetCount: 6, readRate: () => 20},
			ilala: {targetCount: 6, readRate: () => 20},
		},
	});
	t.true(grantedShare(tallyOf('kinondoni')) >= 0.99);
	t.true(count(core.LogEvent.SpillStarted) + count(core.LogEvent.SpillEnded) <= 2);
});

// Guards against a deployment without other zones that is served in another way than before.
test('a single zone: no target is reserved, and nothing is logged', async t => {
	const {tallyOf, count} = await playZones({loads: {kinondoni: {targetCount: 5, readRate: () => 70}}});
	const tally = tallyOf('kinondoni');
	t.is(nearShare(tally), 1);
	t.is(count(core.LogEvent.SpillStarted), 0);
	t.true(grantedShare(tally) >= 0.98, `${grantedShare(tally)}`);
});
