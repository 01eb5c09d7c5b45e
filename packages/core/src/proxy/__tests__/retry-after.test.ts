import test from 'ava';
import {computeReturnMs, type RefusedCallTimes} from '../retry-after.js';

const OPTIONS = {retryAfterMinimumMs: 100, retryAfterMaximumMs: 2000};

type Case = {
	readonly name: string;
	readonly times: RefusedCallTimes;
	readonly fromMs: number;
	readonly toMs: number;
};

const CASES: readonly Case[] = [
	{
		name: 'is the time of the schedule with a small jitter',
		times: {predictedWaitMs: 300, roomAfterMs: 500, remainingMs: 2500, isTooLate: false},
		fromMs: 500,
		toMs: 550,
	},
	{
		name: 'is at least the minimum',
		times: {predictedWaitMs: 0, roomAfterMs: 0, remainingMs: 2500, isTooLate: false},
		fromMs: 100,
		toMs: 110,
	},
	{
		name: 'does not exceed a third of the remaining time by its jitter',
		times: {predictedWaitMs: 300, roomAfterMs: 990, remainingMs: 3000, isTooLate: false},
		fromMs: 990,
		toMs: 1000,
	},
	{
		name: 'is longer than a third of the remaining time if there is no room before',
		times: {predictedWaitMs: 2900, roomAfterMs: 2900, remainingMs: 3000, isTooLate: false},
		fromMs: 2900,
		toMs: 3190,
	},
	{
		name: 'of a call that cannot be served in time is not before its deadline',
		times: {predictedWaitMs: 10, remainingMs: 900, isTooLate: true},
		fromMs: 900,
		toMs: 900,
	},
	{
		name: 'without a schedule follows from the predicted wait, within a third of the remaining time',
		times: {predictedWaitMs: 300, remainingMs: 1200, isTooLate: false},
		fromMs: 300,
		toMs: 400,
	},
	{
		name: 'without a schedule and without a useful time keeps to its bounds',
		times: {predictedWaitMs: 3000, remainingMs: 1200, isTooLate: false},
		fromMs: 2000,
		toMs: 2000,
	},
];

// Guards against callers that are told to come back in vain, or do not come back although there is room in their time.
CASES.forEach(({name, times, fromMs, toMs}) => {
	test(`the time to retry ${name}`, t => {
		[0, 0.25, 0.5, 0.999].forEach(fraction => {
			const returnMs = computeReturnMs(times, fraction, OPTIONS);
			t.true(returnMs >= fromMs && returnMs <= toMs, `${returnMs} ms`);
		});
	});
});
