import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildEntry} from '../build-entry.js';
import {createFakeAuthenticator} from '../fake-authenticator.js';
import {createSeededRandom} from '../seeded-random.js';

const codec: core.CatalogueCodec = {serializeItem: item => JSON.stringify(item)};
const OPTIONS = {recentEditLimitCount: 8, historyLimitCount: 3, contentLimitCount: 4};

const createStore = (): core.CatalogueStore =>
	core.createCatalogueStore({authenticator: createFakeAuthenticator(), codec, options: OPTIONS});

const buildEdit = (editId: string, baseRevision: number, service = 'ratiba', isRemoval = false): domain.EditRecord => ({
	kind: domain.CatalogueRecordKind.Edit,
	editId,
	service,
	author: 'operator',
	baseRevision,
	...(!isRemoval && {entry: buildEntry({service, owner: editId})}),
});

const applyAll = (store: core.CatalogueStore, edits: readonly domain.EditRecord[], from = 0) =>
	edits.map((record, index) => store.applyRecord({offset: from + index, record}));

const {Accepted, RejectedStaleRevision} = domain.EditVerdict;

/** Edits in log order with the expected verdict on each; `repeated` means that the verdict on an earlier record is returned. */
const VERDICT_CASES: ReadonlyArray<{
	name: string;
	edits: readonly domain.EditRecord[];
	verdicts: ReadonlyArray<domain.EditVerdict | 'repeated'>;
	revision: number;
}> = [
	{
		name: 'two operators edit the same revision',
		edits: [buildEdit('a', 0), buildEdit('b', 0)],
		verdicts: [Accepted, RejectedStaleRevision],
		revision: 1,
	},
	{
		name: 'an edit is appended twice',
		edits: [buildEdit('a', 0), buildEdit('a', 0), buildEdit('b', 1), buildEdit('a', 0)],
		verdicts: [Accepted, 'repeated', Accepted, 'repeated'],
		revision: 2,
	},
	{
		name: 'a rejected edit on a future revision is appended again when that revision is current',
		edits: [buildEdit('a', 1), buildEdit('b', 0), buildEdit('a', 1)],
		verdicts: [RejectedStaleRevision, Accepted, 'repeated'],
		revision: 1,
	},
	{
		name: 'a removed entry is added again',
		edits: [buildEdit('a', 0), buildEdit('b', 1, 'ratiba', true), buildEdit('c', 0), buildEdit('d', 2)],
		verdicts: [Accepted, Accepted, RejectedStaleRevision, Accepted],
		revision: 3,
	},
];

// Guards against nodes whose verdicts on the log differ from those reported to operators.
VERDICT_CASES.forEach(({name, edits, verdicts, revision}) => {
	test(`verdicts: ${name}`, t => {
		const store = createStore();
		const results = applyAll(store, edits);
		t.deepEqual(
			results.map(result => (result?.isRepeated ? 'repeated' : result?.decision.verdict)),
			[...verdicts],
		);
		t.is(store.findItem('ratiba')?.revision, revision);
		t.is(store.findItem('ratiba')?.history.at(-1)?.revision, revision);
	});
});

// Guards against a node that reverts to an older state.
test('offset and revisions only increase: old records and old or damaged snapshots are ignored', t => {
	const store = createStore();
	applyAll(store, [buildEdit('a', 0)]);
	const stale = store.takeSnapshot();
	applyAll(store, [buildEdit('b', 1)], 1);
	const newest = store.takeSnapshot();
	t.false(store.applySnapshot(stale));
	t.is(store.applyRecord({offset: 0, record: buildEdit('c', 2)}), undefined);
	t.is(store.findItem('ratiba')?.editId, 'b');
	const other = createStore();
	t.false(other.applySnapshot({...newest, offset: newest.offset + 5}));
	t.false(other.applySnapshot({...newest, items: []}));
	t.false(other.applySnapshot({...newest, recentEdits: []}));
	t.true(other.applySnapshot(newest));
	t.is(other.takeSnapshot().digest, newest.digest);
	t.is(other.findDecision('a')?.revision, 1);
});

// Guards against a node that starts from a snapshot and reaches other verdicts than one that has read the whole log.
test('a node that starts from a snapshot in parts reaches the same state as one that has read every record', t => {
	for (let seed = 1; seed <= 50; seed++) {
		const random = createSeededRandom(seed);
		const pick = (count: number): number => Math.floor(random.fraction() * count);
		const edits = Array.from({length: 60}, () =>
			buildEdit(`e${pick(40)}`, pick(6), `s${pick(4)}`, random.fraction() < 0.2),
		);
		const fullStore = createStore();
		applyAll(fullStore, edits.slice(0, 30));
		const parts = core.splitSnapshot(fullStore.takeSnapshot(), fullStore.measureItem, 1);
		applyAll(fullStore, edits.slice(30), 30);
		// Two writers may append the same parts in any order.
		const collector = core.createSnapshotCollector();
		const shuffled = [...parts, ...parts].toSorted(() => random.fraction() - 0.5);
		const assembled = shuffled.map((part, offset) => collector.add({offset, part})).find(Boolean);
		const restoredStore = createStore();
		t.true(restoredStore.applySnapshot(assembled!.snapshot));
		applyAll(restoredStore, edits.slice(30), 30);
		t.is(restoredStore.takeSnapshot().digest, fullStore.takeSnapshot().digest, `seed ${seed}`);
	}
});

// Guards against memory that grows with the number of edits.
test('verdicts, history and replaced contents are bounded', t => {
	const store = createStore();
	applyAll(
		store,
		Array.from({length: 30}, (_, index) => buildEdit(`e${index}`, index)),
	);
	t.is(store.takeSnapshot().recentEdits.length, OPTIONS.recentEditLimitCount);
	t.is(store.findItem('ratiba')?.history.length, OPTIONS.historyLimitCount);
	t.is(store.findContent('ratiba', 29)?.editId, 'e28');
	t.is(store.findContent('ratiba', 20), undefined);
	t.is(store.findDecision('e0'), undefined);
});

// Guards against snapshots that serialize the whole catalogue at once, which blocked a node for seconds.
test('each item is serialized once, when it is applied', t => {
	let count = 0;
	const countingCodec: core.CatalogueCodec = {
		serializeItem(item) {
			count++;
			return JSON.stringify(item);
		},
	};
	const store = core.createCatalogueStore({authenticator: createFakeAuthenticator(), codec: countingCodec});
	applyAll(store, [buildEdit('a', 0, 's1'), buildEdit('b', 0, 's2')]);
	const snapshot = store.takeSnapshot();
	t.is(core.splitSnapshot(snapshot, store.measureItem, 1).length, 3);
	t.true(store.verifySnapshot(snapshot));
	t.is(count, 2);
});
