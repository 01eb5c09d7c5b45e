import test from 'ava';
import {createGrantedWork} from '../granted-work.js';
import {WaitingClass} from '../waiting-call.js';

const LATE = {priority: 1, waitingClass: WaitingClass.Late};
const IN_TIME = {priority: 1, waitingClass: WaitingClass.InTime};

// Load: 100 calls a second of 250 ms that are in time, and 20 late ones. Guards against predictions for late calls from all slots.
test('the slots before a rank are those that the ranks before it use', t => {
	const granted = createGrantedWork();
	Array.from({length: 500}, (_, index) => index * 10).forEach(nowMs => {
		granted.record(IN_TIME, 250, nowMs);
		if (nowMs % 50 === 0) {
			granted.record(LATE, 250, nowMs);
		}
	});
	const slotCount = granted.slotsBefore(LATE, 5000);
	t.true(Math.abs(slotCount - 25) < 1, `${slotCount} slots before late calls`);
	t.is(granted.slotsBefore(IN_TIME, 5000), 0);
	t.true(Math.abs(granted.slotsBefore({...IN_TIME, priority: 2}, 5000) - 30) < 1);
	t.true(granted.slotsBefore(LATE, 15_000) < 0.01, 'the average follows the load');
});
