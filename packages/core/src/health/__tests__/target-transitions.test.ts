import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {COUNTS_AS_HEALTHY, HealthEvent, TARGET_TRANSITIONS} from '../target-transitions.js';

const STATES = Object.values(domain.TargetState);

// Guards against a way around the floor: only the event that checks it may take healthy capacity away, save leaving.
test('capacity is lost only by a decided ejection or by leaving', t => {
	const losing = STATES.filter(state => COUNTS_AS_HEALTHY[state]).flatMap(state =>
		Object.entries(TARGET_TRANSITIONS[state])
			.filter(([, next]) => !COUNTS_AS_HEALTHY[next])
			.map(([event]) => event),
	);
	t.deepEqual([...new Set(losing)].toSorted(), [HealthEvent.EjectionDecided, HealthEvent.LeavingSeen]);
});

// Guards against a leaving target that gets work again through another state.
test('every state follows a leaving sign, and draining ends only in the ramp of a cold target', t => {
	STATES.filter(state => state !== domain.TargetState.Draining).forEach(state => {
		t.is(TARGET_TRANSITIONS[state][HealthEvent.LeavingSeen], domain.TargetState.Draining);
	});
	t.deepEqual(TARGET_TRANSITIONS[domain.TargetState.Draining], {
		[HealthEvent.LeavingEnded]: domain.TargetState.Cold,
	});
});

// Guards against a state that a target can never leave for healthy.
test('every state leads back to healthy', t => {
	const reach = (state: domain.TargetState, seen: ReadonlySet<domain.TargetState>): Set<domain.TargetState> => {
		const next = Object.values(TARGET_TRANSITIONS[state]).filter(candidate => !seen.has(candidate));
		return next.reduce((all, candidate) => new Set([...all, ...reach(candidate, all)]), new Set([...seen, state]));
	};

	const stuck = STATES.filter(state => !reach(state, new Set()).has(domain.TargetState.Healthy));
	t.deepEqual(stuck, []);
});
