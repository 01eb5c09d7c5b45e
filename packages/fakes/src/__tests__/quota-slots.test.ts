import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildNode} from '../build-fleet.js';
import {createVirtualClock, type VirtualClock} from '../virtual-clock.js';

const LEASE_MS = 1000;
const SLOTS: readonly core.Slot[] = Array.from({length: 512}, (_, index) => ({
	partition: Math.floor(index / 16),
	share: index % 16,
}));

const listNodes = (count: number): ReadonlyMap<string, domain.RegisteredNode> =>
	new Map(Array.from({length: count}, (_, index) => [`node-${index}`, buildNode(`node-${index}`)]));

/** A node's view of the registry, and its slots. */
const createMember = (selfId: string, clock: VirtualClock, nodes: ReadonlyMap<string, domain.RegisteredNode>) => {
	const view = {revision: 0, nodes};
	const ranking = core.createShareRanking({
		selfId,
		nodes: {revision: () => view.revision, values: () => view.nodes},
		clock,
	});
	ranking.countNodes();
	const slots = core.createSlotHolder({selfId, ranking, clock, leaseMs: LEASE_MS, onChange: () => undefined});
	return {
		ranking,
		slots,
		setNodes(changed: ReadonlyMap<string, domain.RegisteredNode>) {
			view.nodes = changed;
			view.revision++;
			ranking.countNodes();
		},
	};
};

// Guards against nodes that choose different holders from the same records, in whatever order they learned of them.
test('nodes with the same records agree on the holders, and a join moves few slots', t => {
	const clock = createVirtualClock();
	const grown = createMember('node-0', clock, listNodes(40));
	const before = SLOTS.map(slot => grown.ranking.rank(slot).first!.nodeId);
	grown.setNodes(listNodes(41));
	const fresh = createMember('node-1', clock, listNodes(41));
	const after = SLOTS.map(slot => grown.ranking.rank(slot).first!.nodeId);
	t.deepEqual(
		after,
		SLOTS.map(slot => fresh.ranking.rank(slot).first!.nodeId),
	);
	const movedIds = after.filter((nodeId, index) => nodeId !== before[index]);
	t.deepEqual([...new Set(movedIds)], ['node-40']);
	t.true(movedIds.length < SLOTS.length / 15);
	grown.setNodes(listNodes(40));
	t.deepEqual(
		SLOTS.map(slot => grown.ranking.rank(slot).first!.nodeId),
		before,
	);
});

// Guards against two nodes that hold a slot at the same time because one of them has not read the other's record yet.
test('a node that joins holds a slot only after its holder has given it up, and from a lease time later', async t => {
	const clock = createVirtualClock();
	const slot = SLOTS.find(candidate => {
		const {ranking} = createMember('node-0', clock, listNodes(3));
		return ranking.rank(candidate).first?.nodeId === 'node-2' && ranking.rank(candidate).second?.nodeId === 'node-1';
	})!;
	const [withoutLast, all] = [listNodes(2), listNodes(3)];
	const holder = createMember('node-1', clock, withoutLast);
	t.is(holder.slots.findConfirmer(slot), 'node-0');
	holder.slots.recordConfirmation(slot, 'node-0', 0);
	await clock.advance(60_000);
	t.is(holder.slots.heldSinceMs(slot), LEASE_MS);

	const joined = createMember('node-2', clock, all);
	t.is(joined.slots.heldSinceMs(slot), undefined);
	t.is(joined.slots.findConfirmer(slot), 'node-1');
	const idleMs = holder.slots.release(slot, 'node-2');
	t.is(idleMs, 0);
	t.is(holder.slots.heldSinceMs(slot), undefined);
	joined.slots.recordConfirmation(slot, 'node-1', idleMs!);
	t.is(joined.slots.heldSinceMs(slot), clock.monotonicMs() + LEASE_MS);
	// The former holder, whose records do not show the claimant, must not take the slot back.
	t.is(holder.slots.findConfirmer(slot), undefined);
	holder.slots.recordConfirmation(slot, 'node-0', 60_000);
	t.is(holder.slots.heldSinceMs(slot), undefined);
});

// Guards against a claimant that acts on old records.
test('a slot is not given up for a node that does not rank first, or that was removed', t => {
	const clock = createVirtualClock();
	const holder = createMember('node-0', clock, listNodes(3));
	const slot = SLOTS.find(candidate => holder.ranking.rank(candidate).first?.nodeId === 'node-0')!;
	t.is(holder.slots.release(slot, 'node-1'), undefined);
	holder.setNodes(listNodes(2));
	t.is(holder.slots.release(slot, 'node-2'), undefined);
});

// Guards against a successor that starts while its predecessor's records do not show the removal yet.
test('the successor of a removed node waits until the removal is known everywhere and its tokens have expired', async t => {
	const clock = createVirtualClock();
	const successor = createMember('node-1', clock, listNodes(3));
	const slot = SLOTS.find(
		candidate =>
			successor.ranking.rank(candidate).first?.nodeId === 'node-2' &&
			successor.ranking.rank(candidate).second?.nodeId === 'node-1',
	)!;
	await clock.advance(60_000);
	successor.setNodes(listNodes(2));
	successor.slots.recordConfirmation(slot, 'node-0', 60_000);
	t.is(successor.slots.heldSinceMs(slot), 60_000 + 3000 + LEASE_MS);
});

// Guards against a process that goes on where it was before a pause, in which another node may have claimed its slots.
test('after a pause, slots count from their next confirmation', async t => {
	const clock = createVirtualClock();
	const holder = createMember('node-0', clock, listNodes(2));
	const slot = SLOTS.find(candidate => holder.ranking.rank(candidate).first?.nodeId === 'node-0')!;
	holder.slots.recordConfirmation(slot, 'node-1', 0);
	await clock.advance(60_000);
	holder.slots.requireConfirmation();
	t.is(holder.slots.heldSinceMs(slot), undefined);
	holder.slots.recordConfirmation(slot, 'node-1', 60_000);
	t.is(holder.slots.heldSinceMs(slot), 60_000 + LEASE_MS);
});
