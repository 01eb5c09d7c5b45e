import test from 'ava';
import {createOvertakingWork} from '../overtaking-work.js';
import {WaitingClass} from '../waiting-call.js';

const FLOW = {priority: 1, waitingClass: WaitingClass.InTime, workspace: 'north'};
const AHEAD = {workMs: 2000, slotCount: 10};

/** Averages after calls of this slack have used five slots for 10 s. */
const createLoaded = (slackMs: number) => {
	const overtaking = createOvertakingWork();
	Array.from({length: 200}, (_, index) => index * 50).forEach(nowMs => {
		overtaking.record(FLOW, slackMs, 250, nowMs);
	});
	return overtaking;
};

// Load: 20 calls a second of 250 ms with a slack of 600 ms. Guards against calls with more slack that are held although they will
// be overtaken until their wait limit.
test('calls that arrive later with less slack lengthen the predicted wait', t => {
	const overtaking = createLoaded(600);
	const waitMs = overtaking.predictWaitMs(FLOW, 1700, AHEAD, 10_000);
	t.true(Math.abs(waitMs - 400) < 25, `${waitMs} ms with half of the slots`);
});

// Guards against refusals of calls that are overtaken for part of their wait only.
test('calls overtake only while their latest start is earlier', t => {
	const overtaking = createLoaded(600);
	// Half of the slots for about 100 ms, and all of them afterwards.
	const waitMs = overtaking.predictWaitMs(FLOW, 700, AHEAD, 10_000);
	t.true(waitMs > 220 && waitMs < 300, `${waitMs} ms`);
});

// Guards against refusals because of calls that do not go before the waiting one.
test('calls of equal or more slack, of other workspaces and of past loads do not count', t => {
	const overtaking = createLoaded(600);
	t.is(overtaking.predictWaitMs(FLOW, 600, AHEAD, 10_000), 200);
	t.is(overtaking.predictWaitMs(FLOW, 500, AHEAD, 10_000), 200);
	t.is(overtaking.predictWaitMs({...FLOW, workspace: 'south'}, 1700, AHEAD, 10_000), 200);
	t.true(Math.abs(overtaking.predictWaitMs(FLOW, 1700, AHEAD, 30_000) - 200) < 1);
});
