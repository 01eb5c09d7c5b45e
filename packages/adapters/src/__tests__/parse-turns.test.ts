import * as timersPromises from 'node:timers/promises';
import test from 'ava';
import {createParseTurns, TurnKind} from '../http/parse-turns.js';

const REQUEST_COUNT = 32;

// Guards against a new connection that is read only after all that others have sent ahead.
test('a head that has begun proceeds first, then connections without a request at work, then the others', async t => {
	const turns = createParseTurns();
	const proceeded: string[] = [];
	const wait = (kind: TurnKind, name: string): void => {
		turns.wait(kind, () => {
			proceeded.push(name);
		});
	};

	Array.from({length: 40}, (_, index) => `ahead-${index}`).forEach(name => {
		wait(TurnKind.Ahead, name);
	});
	wait(TurnKind.First, 'first-0');
	wait(TurnKind.First, 'first-1');
	wait(TurnKind.Begun, 'begun');
	await timersPromises.setImmediate();
	t.deepEqual(proceeded.slice(0, 4), ['begun', 'first-0', 'first-1', 'ahead-0']);
	while (proceeded.length < 43) {
		await timersPromises.setImmediate();
	}

	t.deepEqual(proceeded.slice(-1), ['ahead-39']);
});

// Guards against one turn of the event loop that handles all requests which have arrived.
test('a turn has room for a number of requests, and the next one has room again', async t => {
	const turns = createParseTurns();
	for (let count = 0; count < REQUEST_COUNT; count++) {
		t.true(turns.hasRoom());
		turns.countRequest();
	}

	t.false(turns.hasRoom());
	await timersPromises.setImmediate();
	t.true(turns.hasRoom());
});
