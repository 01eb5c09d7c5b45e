import * as core from '@bilberrydoor/core';
import test from 'ava';
import {createVirtualClock} from '../virtual-clock.js';

const TIMEOUT_MS = 1600;
const PROGRESS_TIMEOUT_MS = 600;

/** Runs a task that reports progress at the given times and ends at `endMs`. */
const runTransfer = async (partsAtMs: readonly number[], endMs: number) => {
	const clock = createVirtualClock();
	const {signal} = new AbortController();
	const limits = {clock, timeoutMs: TIMEOUT_MS, progressTimeoutMs: PROGRESS_TIMEOUT_MS, signal};
	const running = core.runWithTimeout(limits, async (taskSignal, noteProgress) => {
		for (const atMs of partsAtMs) {
			await clock.sleep(atMs - clock.monotonicMs(), taskSignal);
			noteProgress();
		}

		await clock.sleep(endMs - clock.monotonicMs(), taskSignal);
	});
	const {isTimedOut} = await clock.runUntilSettled(running, 60_000);
	return {isTimedOut, tookMs: clock.monotonicMs()};
};

// Guards against large transfers that time out with most of their bytes sent and have to start again.
const CASES = [
	{
		name: 'without progress times out at its initial limit',
		parts: [],
		endMs: 5000,
		expected: {isTimedOut: true, tookMs: 1600},
	},
	{
		name: 'continues while parts arrive',
		parts: [1500, 2000, 2500, 3000, 3500],
		endMs: 4000,
		expected: {isTimedOut: false, tookMs: 4000},
	},
	{
		name: 'times out after its last part',
		parts: [1500, 2000],
		endMs: 5000,
		expected: {isTimedOut: true, tookMs: 2600},
	},
	{
		name: 'keeps its initial limit after an early part',
		parts: [100],
		endMs: 1500,
		expected: {isTimedOut: false, tookMs: 1500},
	},
];

CASES.forEach(({name, parts, endMs, expected}) => {
	test(`a transfer ${name}`, async t => {
		t.deepEqual(await runTransfer(parts, endMs), expected);
	});
});
