import test from 'ava';
import {createHeldBytes, HeldKind} from '../held-bytes.js';

const LIMIT_BYTES = 1_000_000;
const LARGE_BYTES = 100_000;
const SMALL_BYTES = 1000;

/** Reserves until there is no room, and returns the number of reservations. */
const fill = (held: ReturnType<typeof createHeldBytes>, kind: HeldKind, sizeBytes: number): number => {
	let count = 0;
	while (held.reserve(kind, sizeBytes)) {
		count++;
	}

	return count;
};

// Guards against large uploads that leave no room for small requests, and against one kind that takes all room.
test('large reservations leave room for small ones, and each kind for the others', t => {
	const held = createHeldBytes({limitBytes: LIMIT_BYTES});
	t.is(fill(held, HeldKind.Upload, LARGE_BYTES), 7);
	t.is(fill(held, HeldKind.Upload, SMALL_BYTES), 200);
	t.truthy(held.reserve(HeldKind.Request, SMALL_BYTES));
	t.is(held.reserve(HeldKind.Request, LARGE_BYTES), undefined);
});

// Guards against a release that counts twice, by which the budget would grow.
test('a reservation is released once', t => {
	const held = createHeldBytes({limitBytes: LIMIT_BYTES});
	const hold = held.reserve(HeldKind.Answer, LARGE_BYTES)!;
	t.is(held.usedRatio(), 0.1);
	hold.release();
	hold.release();
	t.is(held.usedRatio(), 0);
});

// Guards against requests that fill a heap which is small for the memory of its machine.
test('requests have a limit of their own', t => {
	const held = createHeldBytes({limitBytes: LIMIT_BYTES, requestLimitBytes: 10 * SMALL_BYTES});
	t.is(fill(held, HeldKind.Request, SMALL_BYTES), 10);
});
