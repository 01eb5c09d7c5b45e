import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {simulateGrayLoad, type GrayLoad, type GrayLoadResult} from './gray-load-bench.js';

/** Fraction of a service's targets that must get calls at any time, as the platform requires. */
const FLOOR_RATIO = 0.7;

/** The platform checks the floor while the ratio of unserved calls lies between these bounds. */
const UNSERVED_RANGE = {minimum: 0.1, maximum: 0.5};

const WINDOW_MS = 2000;
const STEP_MS = 100;
const RUN_MS = 60_000;

/** About a third of the targets is gray and fails nearly all calls; the others fail some. */
const PARTLY_GRAY_LOAD: GrayLoad = {
	targetCount: 12,
	slotCount: 3,
	callsPerSecond: 42,
	workMs: 200,
	repeatability: domain.Repeatability.Single,
	grayTargetRatio: 0.35,
	grayFailureRatio: 0.9,
	grayPeriodMs: 12_000,
	usualFailureRatio: 0.08,
};

/** Returns the end times of the windows in which too few targets got calls while the floor was enforced. */
const findFloorBreaches = ({attempts, calls}: GrayLoadResult, targetCount: number): number[] => {
	const steps = Array.from({length: (RUN_MS - WINDOW_MS) / STEP_MS}, (_, index) => WINDOW_MS + index * STEP_MS);
	return steps.filter(endMs => {
		const isInside = ({atMs}: {atMs: number}, sinceMs: number): boolean => atMs > sinceMs && atMs <= endMs;
		const callsInWindow = calls.filter(call => isInside(call, endMs - WINDOW_MS));
		const unservedRatio = callsInWindow.filter(({isServed}) => !isServed).length / callsInWindow.length;
		const usedIds = new Set(
			attempts.filter(attempt => isInside(attempt, endMs - WINDOW_MS)).map(({targetId}) => targetId),
		);
		const isFloorEnforced = unservedRatio > UNSERVED_RANGE.minimum && unservedRatio < UNSERVED_RANGE.maximum;
		return isFloorEnforced && usedIds.size < targetCount * FLOOR_RATIO;
	});
};

// Guards against setting aside so many targets that the others cannot carry the load.
[1, 2, 3, 4, 5].forEach(seed => {
	[12, 8, 6].forEach(targetCount => {
		test(`enough of ${targetCount} targets get calls while some calls fail (seed ${seed})`, async t => {
			const callsPerSecond = PARTLY_GRAY_LOAD.callsPerSecond * (targetCount / PARTLY_GRAY_LOAD.targetCount);
			const result = await simulateGrayLoad({...PARTLY_GRAY_LOAD, targetCount, callsPerSecond}, seed);
			t.deepEqual(findFloorBreaches(result, targetCount), []);
		});
	});
});
