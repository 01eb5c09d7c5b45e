import test from 'ava';
import {createRecentMap} from '../recent-map.js';

// Guards against a bounded map that drops what is in use, or whose caller cannot close what was dropped.
test('the value that was set longest ago goes first, and is handed back', t => {
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
	t.deepEqual(map.takeAll(), [4, 5]);
	t.is(map.get('c'), undefined);
});
