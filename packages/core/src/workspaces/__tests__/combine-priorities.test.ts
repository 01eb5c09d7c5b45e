import test from 'ava';
import {combinePriorities, yieldPriority} from '../combine-priorities.js';

// Guards against a few connections whose requests, sent ahead on the most urgent route, keep all other callers from slots.
test('calls that were sent ahead go behind the calls of every workspace and route, and keep their order', t => {
	const others = [0, 99].flatMap(route => [undefined, 0, 999].map(workspace => combinePriorities(workspace, route)));
	const lowest = Math.max(...others);
	t.true([0, ...others].every(priority => yieldPriority(priority) > lowest));
	t.deepEqual(
		others.toSorted((left, right) => yieldPriority(left) - yieldPriority(right)),
		others.toSorted((left, right) => left - right),
	);
});
