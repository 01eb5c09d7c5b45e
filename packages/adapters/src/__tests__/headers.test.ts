import test from 'ava';
import * as headers from '../http/headers.js';

// Guards against header names that are properties of every object, and break the call or the process.
test('headers are grouped by name, also those named like properties of objects', t => {
	const list = [
		['constructor', 'a'],
		['b', '1'],
		['__proto__', 'c'],
		['b', '2'],
		['b', '3'],
	] as const;
	t.deepEqual(Object.entries(headers.groupHeaders(list)), [
		['constructor', 'a'],
		['b', ['1', '2', '3']],
		['__proto__', 'c'],
	]);
});

// Guards against grouping whose cost grows with the square of the lines, which stops the event loop for seconds.
test('very many lines of one name are grouped', t => {
	const count = 200_000;
	const grouped = headers.groupHeaders(Array.from({length: count}, () => ['a', 'b'] as const));
	t.is(grouped.a!.length, count);
});
