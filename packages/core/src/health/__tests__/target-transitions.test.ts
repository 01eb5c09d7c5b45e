import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {COUNTS_AS_HEALTHY, HealthEvent, TARGET_TRANSITIONS} from '../target-transitions.js';

const STATES = Object.values(domain.TargetState);

// Guards against transitions that bypass the floor: apart from leaving, only the event that checks the floor may reduce
// healthy capacity.
test('healthy capacity is reduced only by a decided ejection or by a leaving target', t => {
	const reducingEvents = STATES.filter(state => COUNTS_AS_HEALTHY[state]).flatMap(state =>
		Object.entries(TARGET_TRANSITIONS[state])
			.filter(([, next]) => !COUNTS_AS_HEALTHY[next])
			.map(([event]) => event),
	);
	t.deepEqual([...new Set(reducingEvents)].toSorted(), [HealthEvent.EjectionDecided, HealthEvent.LeavingSeen]);
});

// Guards against a leaving target that receives work again by way of another state.
test('a leaving sign moves every state to draining, and draining ends only in the cold state', t => {
	STATES.filter(state => state !== domain.TargetState.Draining).forEach(state => {
		t.is(TARGET_TRANSITIONS[state][HealthEvent.LeavingSeen], domain.TargetState.Draining);
	});
	t.deepEqual(TARGET_TRANSITIONS[domain.TargetState.Draining], {
		[HealthEvent.LeavingEnded]: domain.TargetState.Cold,
	});
});

// Guards against a state from which a target can never become healthy again.
test('every state leads back to healthy', t => {
	const collectReachable = (
		state: domain.TargetState,
		visited: ReadonlySet<domain.TargetState>,
	): Set<domain.TargetState> => {
		const next = Object.values(TARGET_TRANSITIONS[state]).filter(candidate => !visited.has(candidate));
		return next.reduce(
			(all, candidate) => new Set([...all, ...collectReachable(candidate, all)]),
			new Set([...visited, state]),
		);
	};

	const stuck = STATES.filter(state => !collectReachable(state, new Set()).has(domain.TargetState.Healthy));
	t.deepEqual(stuck, []);
});
