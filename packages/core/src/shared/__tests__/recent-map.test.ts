import test from 'ava';
import {createRecentMap} from '../recent-map.js';

// Guards against evicting a recently set value, and against evicting a value without returning it, in which case the
// caller could not close it.
test('the value that was set longest ago is evicted first and returned', t => {
	const map = createRecentMap<string, number>(2);
	t.is(map.set('a', 1), undefined);
	t.is(map.set('b', 2), undefined);
	t.is(map.set('a', 3), undefined);
	t.is(map.set('c', 4), 2);
	t.is(map.get('b'), undefined);
	t.is(map.get('a'), 3);
	t.is(map.get('c'), 4);
	map.delete('a');
	t.is(map.set('d', 5), undefined);
	t.deepEqual(map.removeAll(), [4, 5]);
	t.is(map.get('c'), undefined);
});
