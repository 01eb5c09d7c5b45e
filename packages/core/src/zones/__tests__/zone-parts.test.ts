import test from 'ava';
import {computeCallLossMs, findLongestStartMs, isInTime} from '../call-loss.js';
import {createLinkBudget} from '../link-budget.js';
import {createNearSaving} from '../near-saving.js';
import {createRegionOutlook, DEFAULT_ROUND_TRIP_MS, HoldReason} from '../region-outlook.js';
import {createSlotReserve, type SlotCounts, type SlotView} from '../slot-reserve.js';
import {createSpillTracker} from '../spill-tracker.js';
import {checkZoneOptions, completeZoneOptions, DEFAULT_ZONE_OPTIONS} from '../zone-options.js';

const TIMES = {objectiveLeftMs: 1000, remainingMs: 2500, workMs: 250};

const createTime = () => {
	const time = {nowMs: 0};
	return {time, clock: {monotonicMs: () => time.nowMs}};
};

const RANDOM = {fraction: () => 0.5, token: () => ''};

// Guards against a search that assumes an order which the loss does not have.
test('the loss never falls with a later start, and the longest start within a loss is found', t => {
	const losses = Array.from({length: 60}, (_, index) => computeCallLossMs(index * 50, TIMES, DEFAULT_ZONE_OPTIONS));
	t.deepEqual(
		losses,
		losses.toSorted((left, right) => left - right),
	);
	[10, 100, 400, 1500].forEach(lossMs => {
		const startMs = findLongestStartMs(lossMs, 3000, TIMES, DEFAULT_ZONE_OPTIONS);
		t.true(computeCallLossMs(startMs, TIMES, DEFAULT_ZONE_OPTIONS) <= lossMs);
		t.true(computeCallLossMs(startMs + 6, TIMES, DEFAULT_ZONE_OPTIONS) > lossMs);
	});
	t.is(findLongestStartMs(10, -5, TIMES, DEFAULT_ZONE_OPTIONS), 0);
	t.true(isInTime(2375, TIMES));
	t.false(isInTime(2376, TIMES));
});

// Guards against a part of the link that grows with each call or that never becomes free again.
test('the link budget bounds the bytes of a window, and the part for calls in need is larger', t => {
	const {time, clock} = createTime();
	const options = {linkBytesPerSecond: 1_000_000, linkRatio: 0.5, linkRatioLimit: 0.9};
	const budget = createLinkBudget({clock, options, countNodes: () => 30});
	const useWhileAllowed = (isNeeded: boolean): number => {
		let bytes = 0;
		for (; time.nowMs < 10_000; time.nowMs += 10) {
			for (let count = 0; count < 5 && budget.allows(isNeeded); count++) {
				budget.charge(5000);
				bytes += 5000;
			}
		}

		return bytes;
	};

	// A tenth of the link for 10 s and a burst of 2 s.
	const usualBytes = useWhileAllowed(false);
	t.true(usualBytes <= 100_000 * 0.5 * 12 + 5000, `${usualBytes}`);
	t.true(usualBytes >= 100_000 * 0.5 * 11, `${usualBytes}`);
	t.true(budget.allows(true));
	budget.charge(64_000_000);
	t.false(budget.allows(true));
	time.nowMs += 6000;
	t.true(budget.allows(true));
});

// Guards against all nodes and calls that ask a full region again at the same moment, and against holds that do not grow.
test('a hold grows with each refusal in a row, and one call asks at its end', t => {
	const {time, clock} = createTime();
	const outlook = createRegionOutlook({clock, random: RANDOM});
	t.is(outlook.readHold(0, false), undefined);
	const holds = Array.from({length: 6}, () => {
		outlook.recordRequest();
		outlook.recordDenial(HoldReason.Full, 40, 50);
		const sinceMs = time.nowMs;
		while (outlook.readHold(0, false)) {
			time.nowMs += 10;
		}

		return time.nowMs - sinceMs;
	});
	t.deepEqual(holds, [100, 200, 400, 800, 1500, 1500]);
	outlook.recordRequest();
	t.is(outlook.readHold(0, false), HoldReason.Full);
	outlook.recordGrant(40, 0);
	t.is(outlook.readHold(0, false), undefined);
});

// Guards against first attempts that stay because a retry was refused.
test('a region without retries left is asked for first attempts', t => {
	const outlook = createRegionOutlook({...createTime(), random: RANDOM});
	outlook.recordDenial(HoldReason.NoBudget, 40, 0);
	t.is(outlook.readHold(0, false), undefined);
	t.is(outlook.readHold(1, false), HoldReason.NoBudget);
});

// Guards against a crossing time that stays at an old value after the link has become slower or faster.
test('the crossing time follows the smallest recent round trip and is forgotten without one', t => {
	const {time, clock} = createTime();
	const outlook = createRegionOutlook({clock, random: RANDOM});
	t.is(outlook.crossingMs(), 2 * DEFAULT_ROUND_TRIP_MS);
	[30, 90, 25].forEach(roundTripMs => {
		outlook.recordGrant(roundTripMs, 0);
	});
	t.is(outlook.crossingMs(), 50);
	time.nowMs += 25_000;
	outlook.recordGrant(120, 0);
	t.is(outlook.crossingMs(), 240);
	time.nowMs += 40_000;
	t.is(outlook.crossingMs(), 2 * DEFAULT_ROUND_TRIP_MS);
});

// Guards against one slow call that counts as a slower region, and against slower targets that do not.
test('attempts that take longer than usual raise the crossing time', t => {
	const outlook = createRegionOutlook({...createTime(), random: RANDOM});
	outlook.recordGrant(40, 0);
	outlook.recordExcess(500);
	t.true(outlook.crossingMs() < 90, `${outlook.crossingMs()}`);
	for (let count = 0; count < 300; count++) {
		outlook.recordExcess(200);
	}

	t.true(outlook.crossingMs() > 220, `${outlook.crossingMs()}`);
});

const countSlots = (views: readonly SlotView[]): SlotCounts => {
	const inZone = (zone?: string) => views.filter(view => zone === undefined || view.target().availabilityZone === zone);
	return {
		free: zone => inZone(zone).reduce((sum, view) => sum + view.slotCount() - view.openCount(), 0),
		total: zone => inZone(zone).reduce((sum, view) => sum + view.slotCount(), 0),
	};
};

const createReserve = () => {
	const {time, clock} = createTime();
	const reserve = createSlotReserve({clock, options: DEFAULT_ZONE_OPTIONS});
	const buildViews = (availabilityZone: string, count: number, openCount: number) =>
		Array.from({length: count}, () => ({
			target: () => ({availabilityZone}),
			openCount: () => openCount,
			slotCount: () => 4,
		}));
	const buildRequest = (availabilityZone: string, given = {}) => ({
		availabilityZone,
		priority: 1,
		waitLimitMs: 200,
		isLastResort: false,
		...given,
	});
	return {time, reserve, buildViews, buildRequest};
};

// Guards against calls of another region that take the last slots of a region's own callers, and against slots kept for nobody.
test('the last slots of a region are kept for its own callers while it has any', t => {
	const {time, reserve, buildViews, buildRequest} = createReserve();
	const full = buildViews('kinondoni', 9, 4);
	const [last] = buildViews('kinondoni', 1, 1);
	const usable = [...full, last!];
	const away = buildRequest('morogoro', {isFromOtherRegion: true});
	t.is(reserve.listPermitted(away, [last!], countSlots(usable)).length, 1);
	for (let count = 0; count < 200; count++) {
		time.nowMs += 10;
		reserve.recordDemand(buildRequest('kinondoni'));
	}

	t.is(reserve.listPermitted(away, [last!], countSlots(usable)).length, 0);
	// Calls of a higher priority than those of the own callers are not held back.
	t.is(reserve.listPermitted({...away, priority: 0}, [last!], countSlots(usable)).length, 1);
	t.is(reserve.listPermitted(buildRequest('kinondoni'), [last!], countSlots(usable)).length, 1);
	time.nowMs += 60_000;
	t.is(reserve.listPermitted(away, [last!], countSlots(usable)).length, 1);
});

// Guards against a reserved slot of another zone that stays free while a call waits.
test('a slot that is kept for another zone is granted after a short wait, and at once to a call that cannot wait', t => {
	const {time, reserve, buildViews, buildRequest} = createReserve();
	const usable = [...buildViews('kinondoni', 4, 4), ...buildViews('temeke', 4, 4)];
	const [last] = buildViews('temeke', 1, 3);
	const views = [...usable, last!];
	for (let count = 0; count < 200; count++) {
		time.nowMs += 10;
		reserve.recordDemand(buildRequest('temeke'));
	}

	const waiting = buildRequest('kinondoni');
	t.is(reserve.listPermitted(waiting, [last!], countSlots(views)).length, 0);
	t.is(reserve.listPermitted(buildRequest('kinondoni', {waitLimitMs: 0}), [last!], countSlots(views)).length, 1);
	time.nowMs += DEFAULT_ZONE_OPTIONS.zoneReserveHoldMs;
	t.is(reserve.listPermitted(waiting, [last!], countSlots(views)).length, 1);
});

// Guards against priorities from peers that fill the table of demands, so that later demand is not measured.
test('demand is measured after calls of very many priorities', t => {
	const {time, reserve, buildViews, buildRequest} = createReserve();
	for (let priority = 100; priority < 10_000; priority++) {
		time.nowMs += 1;
		reserve.recordDemand(buildRequest('kinondoni', {priority}));
	}

	time.nowMs += 20_000;
	for (let count = 0; count < 200; count++) {
		time.nowMs += 10;
		reserve.recordDemand(buildRequest('kinondoni'));
	}

	const [last] = buildViews('kinondoni', 1, 3);
	t.is(
		reserve.listPermitted(buildRequest('morogoro', {isFromOtherRegion: true}), [last!], countSlots([last!])).length,
		0,
	);
});

// Guards against a preference for near targets that stays the same whatever crossing and fuller targets cost.
test('what a near target saves follows the learned crossing time, the bytes and the cost of fuller targets', t => {
	const learn = (crossingMs: number, slowdown: number) => {
		const saving = createNearSaving(DEFAULT_ZONE_OPTIONS);
		for (let index = 0; index < 4000; index++) {
			const isSameZone = index % 2 === 0;
			const occupancy = (Math.floor(index / 2) % 4) / 4 + 0.25;
			const relativeDuration = 0.7 + slowdown * occupancy + (isSameZone ? 0 : crossingMs / 300);
			saving.record({isSameZone, occupancy, relativeDuration, usualDurationMs: 300});
		}

		return saving;
	};

	const close = learn(1, 0.4);
	t.true(Math.abs(close.crossingMs() - 1) < 0.5, `${close.crossingMs()}`);
	t.true(Math.abs(close.fullness() - 0.4) < 0.05, `${close.fullness()}`);
	t.true(learn(20, 0.4).read(300, 1000) > close.read(300, 1000));
	t.true(close.read(300, 20_000) > close.read(300, 1000));
	t.true(learn(1, 0.9).read(300, 1000) < close.read(300, 1000));
	t.true(close.read(3000, 1000) < close.read(300, 1000));
	t.true(close.read(1, 1e9) <= 0.6);
});

// Guards against a state that changes with each call near a single threshold.
test('sending away begins and ends at different shares', t => {
	const tracker = createSpillTracker({beginShare: 0.2, endShare: 0.05});
	const changes = Array.from({length: 2000}, (_, index) =>
		tracker.record('malipo', index % 8 === 0, index * 10),
	).filter(change => change !== undefined);
	t.true(changes.length <= 1, `${changes.length}`);
	const before = tracker.isSending('malipo');
	const later = Array.from({length: 2000}, (_, index) =>
		tracker.record('malipo', index % 2 === 0, 20_000 + index * 10),
	);
	t.is(later.filter(change => change?.isSending).length, before ? 0 : 1);
});

const OPTION_PROBLEMS = [
	{name: 'a share above 1', given: {shareLimit: 1.5}, expected: /shareLimit: expected a number from 0 to 1, got 1.5/},
	{
		name: 'a link without capacity',
		given: {linkBytesPerSecond: 0},
		expected: /linkBytesPerSecond: expected a number above 0, got 0/,
	},
	{name: 'a factor that is no number', given: {beginFactor: Number.NaN}, expected: /beginFactor: .*got NaN/},
	{
		name: 'a usual part of the link above its limit',
		given: {linkRatio: 0.95},
		expected: /linkRatio: expected at most linkRatioLimit/,
	},
];

OPTION_PROBLEMS.forEach(({name, given, expected}) => {
	test(`${name} in the options between zones is refused with the field`, t => {
		t.regex(checkZoneOptions(given)._unsafeUnwrapErr().join('\n'), expected);
		t.throws(() => completeZoneOptions(given), {message: expected});
	});
});

test('options between zones are completed with the defaults', t => {
	t.deepEqual(completeZoneOptions({shareLimit: 0.2}), {...DEFAULT_ZONE_OPTIONS, shareLimit: 0.2});
});
