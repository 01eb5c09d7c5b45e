import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {playGrayLoad, type GrayLoad} from './gray-load-bench.js';

/** Sizes of a service whose work may not be repeated, with the usual share of gray targets, at 1.4 times its usual load. */
const SINGLE_WORK: GrayLoad = {
	targetCount: 9,
	slotCount: 4,
	callsPerSecond: 45,
	workMs: 260,
	repeatability: domain.Repeatability.Single,
	grayShare: 0.3,
	grayFailureRatio: 0.75,
	grayPeriodMs: 9000,
	usualFailureRatio: 0.012,
};

const SEEDS = [1, 2, 3, 4, 5];

// Without any knowledge of gray targets 0.3 x 0.75 of the calls fail. Telling each failure to all nodes brought a
// throw-away proxy to 7 in 100, which is the bound here.
SEEDS.forEach(seed => {
	test(`a steady third of gray targets fails few calls that may not be repeated (seed ${seed})`, async t => {
		const {total, failedRatio, servedRatio} = await playGrayLoad(SINGLE_WORK, seed);
		t.true(total > 2000, `${total} calls`);
		t.true(failedRatio <= 0.07, `failed ${failedRatio.toFixed(4)}`);
		t.true(servedRatio >= 0.9, `served ${servedRatio.toFixed(4)}`);
	});

	test(`work that may be repeated hides a third of gray targets (seed ${seed})`, async t => {
		const load = {...SINGLE_WORK, repeatability: domain.Repeatability.Repeatable};
		const {failedRatio, servedRatio} = await playGrayLoad(load, seed);
		t.true(failedRatio <= 0.07, `failed ${failedRatio.toFixed(4)}`);
		t.true(servedRatio >= 0.9, `served ${servedRatio.toFixed(4)}`);
	});
});
