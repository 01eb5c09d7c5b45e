import test from 'ava';
import {createReturnSchedule, type RefusedCall} from '../return-schedule.js';

const CALL: RefusedCall = {
	priority: 1,
	predictedWaitMs: 300,
	startLeftMs: 2600,
	remainingMs: 3000,
	workMs: 250,
	slotCount: 40,
};

// Load: 200 calls that are refused at once. Guards against callers that return together and are refused together again.
test('callers that were refused together get times apart, as far as each comes back', t => {
	const schedule = createReturnSchedule();
	const delaysMs = Array.from({length: 200}, () => schedule.allot(CALL, 0));
	const returningMs = delaysMs.filter(delayMs => delayMs <= CALL.remainingMs / 3);
	t.is(returningMs[0], 300);
	// 700 ms hold the work of 112 calls, of which three quarters are allotted.
	t.true(Math.abs(returningMs.length - 85) <= 1, `${returningMs.length} callers come back`);
	returningMs.slice(1).forEach((delayMs, index) => {
		t.true(delayMs - returningMs[index]! >= 8, 'each has its own part of the time');
	});
	t.true(
		delaysMs.slice(returningMs.length).every(delayMs => delayMs > 1000),
		'the others do not come back in vain',
	);
});

test('a caller that can be served after a longer wait comes back within a third of its time', t => {
	t.is(createReturnSchedule().allot({...CALL, predictedWaitMs: 1800}, 0), 1000);
});

test('a caller that cannot be served in time is not told to come back', t => {
	t.is(createReturnSchedule().allot({...CALL, predictedWaitMs: 2700}, 0), 2700);
});

// Guards against callers of a low priority that take the times of those of a high one.
test('callers of a higher priority do not return behind those of a lower one', t => {
	const schedule = createReturnSchedule();
	Array.from({length: 20}).forEach(() => {
		schedule.allot(CALL, 0);
	});
	t.is(schedule.allot({...CALL, priority: 0}, 0), 300);
	t.true(schedule.allot(CALL, 0) > 300);
});

test('time that has passed is allotted no more', t => {
	const schedule = createReturnSchedule();
	schedule.allot(CALL, 0);
	t.is(schedule.allot(CALL, 5000), 300);
});
