import test from 'ava';
import {createRefusedCalls} from '../refused-calls.js';

const CALL = {routeId: 'lookups', workspace: 'workspace-1', deadlineAtMs: 2517};

test('a call that comes back keeps the objective of its first visit', t => {
	const refused = createRefusedCalls();
	refused.record(CALL, {objectiveAtMs: 1211, returnAtMs: 300});
	t.is(refused.findObjectiveAtMs({...CALL, deadlineAtMs: 2490}, 310), 1211);
	t.is(refused.findObjectiveAtMs({...CALL, deadlineAtMs: 2545}, 310), 1211);
});

// Guards against objectives that are passed on from one new call to the next, until all count as late.
test('a new call does not get the objective of one that was refused shortly before', t => {
	const refused = createRefusedCalls();
	const [objectiveMs, deadlineMs] = [1211, 2517];
	Array.from({length: 400}, (_, index) => index * 5).forEach(nowMs => {
		const call = {...CALL, deadlineAtMs: nowMs + deadlineMs};
		t.is(refused.findObjectiveAtMs(call, nowMs), undefined, `at ${nowMs} ms`);
		refused.record(call, {objectiveAtMs: nowMs + objectiveMs, returnAtMs: nowMs + 150});
	});
});

test('calls of other routes and workspaces are told apart', t => {
	const refused = createRefusedCalls();
	refused.record(CALL, {objectiveAtMs: 1211, returnAtMs: 300});
	t.is(refused.findObjectiveAtMs({...CALL, routeId: 'exports'}, 400), undefined);
	t.is(refused.findObjectiveAtMs({...CALL, workspace: 'workspace-2'}, 400), undefined);
});
