import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test, {type ExecutionContext} from 'ava';
import {buildFleetCatalogue, buildHostRoute, buildNode, buildTarget} from '../build-fleet.js';
import {createRegistryFleet} from '../registry-fleet.js';
import {createSeededRandom} from '../seeded-random.js';

/** Time limit for a catalogue change or a leaving target to be in force on all nodes after the store's acknowledgement. */
const IN_FORCE_LIMIT_MS = 2500;

/** Time within which all nodes are ready after the last of them has started. */
const READY_LIMIT_MS = 500;

/** Longer than the interval at which the fake store checks whether open reads are to be left without an answer. */
const OPEN_READ_LOSS_MS = 20;

const createFleet = (t: ExecutionContext, nodeCount: number) => {
	const fleet = createRegistryFleet({nodeCount});
	t.teardown(fleet.stop);
	return fleet;
};

/** Id of the node that reads the store for the others. */
const findReaderId = (nodes: ReadonlyMap<string, core.FleetNode>): string =>
	[...nodes.values()][0]!.registry.rankReaders(1)[0]!.nodeId;

test('all nodes receive the catalogue, the targets and the list of nodes', async t => {
	const {clock, nodes, listVersions} = createFleet(t, 6);
	await clock.advance(3000);
	t.deepEqual(
		listVersions(),
		Array.from({length: 6}, () => 1),
	);
	t.true([...nodes.values()].every(({registry}) => registry.nodesOf('pwani').length === 6));
	t.true([...nodes.values()].every(({registry}) => registry.target('a') !== undefined));
});

test('a node is not ready before it has read the targets', async t => {
	const {nodes} = createFleet(t, 1);
	const node = nodes.get('node-0')!;
	const records = [{key: 'config', offset: 0, value: buildFleetCatalogue(1, [buildHostRoute()])}];
	node.registry.apply({[core.RegistryTopic.Catalogue]: {records, nextOffset: 1, isWhole: true}});
	t.false(node.isReady());
	node.registry.apply({[core.RegistryTopic.Targets]: {records: [], nextOffset: 1, isWhole: true}});
	t.true(node.isReady());
});

test('few nodes read the store', async t => {
	const {clock, store} = createFleet(t, 20);
	await clock.advance(5000);
	const callCountBefore = store.callCount;
	await clock.advance(20_000);
	// One reader: a read of the targets every 0.8 s, and occasional long polls.
	t.true(store.callCount - callCountBefore < 40, `${store.callCount - callCountBefore} calls`);
});

test('a change is in force on all nodes in time while the store refuses the reader', async t => {
	const {clock, store, nodes, listVersions} = createFleet(t, 8);
	await clock.advance(5000);
	store.refusedNodeIds.add(findReaderId(nodes));
	await clock.advance(100);
	store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(2, [buildHostRoute()]));
	const draining = buildTarget({targetId: 'a', readiness: domain.TargetReadiness.Draining});
	store.write(core.RegistryTopic.Targets, 'a', draining);
	await clock.advance(IN_FORCE_LIMIT_MS);
	t.deepEqual(
		listVersions(),
		Array.from({length: 8}, () => 2),
	);
	t.true(
		[...nodes.values()].every(({registry}) => registry.target('a')?.readiness === domain.TargetReadiness.Draining),
	);
});

[2, 3, 4].forEach(refusedCount => {
	test(`a change is in force in time while the store refuses the ${refusedCount} nodes that rank first`, async t => {
		const {clock, store, nodes, listVersions} = createFleet(t, 10);
		await clock.advance(5000);
		const readers = [...nodes.values()][0]!.registry.rankReaders(refusedCount);
		readers.forEach(({nodeId}) => {
			store.refusedNodeIds.add(nodeId);
		});
		await clock.advance(100);
		store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(2, [buildHostRoute()]));
		await clock.advance(IN_FORCE_LIMIT_MS);
		t.deepEqual(
			listVersions(),
			Array.from({length: 10}, () => 2),
		);
		await clock.advance(3000);
		store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(3, [buildHostRoute()]));
		await clock.advance(IN_FORCE_LIMIT_MS);
		t.deepEqual(
			listVersions(),
			Array.from({length: 10}, () => 3),
		);
	});
});

// Guards against a reader that seems fresh because of its reads of the targets while its read of the catalogue hangs.
test('a change is in force in time although the open reads of the catalogue get no answer', async t => {
	const {clock, store, listVersions} = createFleet(t, 8);
	await clock.advance(5000);
	store.loseOpenReads(core.RegistryTopic.Catalogue);
	await clock.advance(OPEN_READ_LOSS_MS);
	store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(2, [buildHostRoute()]));
	await clock.advance(IN_FORCE_LIMIT_MS);
	t.deepEqual(
		listVersions(),
		Array.from({length: 8}, () => 2),
	);
});

// Guards against reads that were sent while the store did not answer and stay open after it answers again.
Array.from({length: 10}, (_, index) => 4000 + index * 250).forEach(silenceMs => {
	test(`a change is in force in time after ${silenceMs} ms without an answer from the store`, async t => {
		const {clock, store, listVersions} = createFleet(t, 8);
		await clock.advance(5000);
		store.isUnresponsive = true;
		await clock.advance(silenceMs);
		store.isUnresponsive = false;
		store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(2, [buildHostRoute()]));
		await clock.advance(IN_FORCE_LIMIT_MS);
		t.deepEqual(
			listVersions(),
			Array.from({length: 8}, () => 2),
		);
	});
});

test('a change is in force in time although the reader was cut off', async t => {
	const {clock, store, nodes, cutNodeIds, listVersions} = createFleet(t, 8);
	await clock.advance(5000);
	const readerId = findReaderId(nodes);
	cutNodeIds.add(readerId);
	store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(2, [buildHostRoute()]));
	await clock.advance(IN_FORCE_LIMIT_MS);
	t.deepEqual(
		listVersions(),
		Array.from({length: 8}, () => 2),
	);
});

test('a node that the store refuses from its start gets the catalogue from its peers', async t => {
	const {clock, store, nodes, startNode} = createFleet(t, 3);
	await clock.advance(5000);
	store.refusedNodeIds.add('node-9');
	startNode('node-9', 9);
	await clock.advance(IN_FORCE_LIMIT_MS);
	t.is(nodes.get('node-9')?.registry.catalogue()?.version, 1);
});

test('nodes do not overload a store that is down, and catch up when it is available again', async t => {
	const {clock, store, listVersions} = createFleet(t, 20);
	await clock.advance(5000);
	store.isDown = true;
	const callCountBefore = store.callCount;
	await clock.advance(10_000);
	// Readers retry about once a second for each topic, the other nodes every few seconds.
	t.true(store.callCount - callCountBefore < 400, `${store.callCount - callCountBefore} calls`);
	store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(2, [buildHostRoute()]));
	store.isDown = false;
	await clock.advance(IN_FORCE_LIMIT_MS);
	t.deepEqual(
		listVersions(),
		Array.from({length: 20}, () => 2),
	);
});

// Guards against nodes that wait for each other after a restart of all, while the store's reader has not started yet.
[200, 450, 800].forEach(spreadMs => {
	test(`nodes that all restart within ${spreadMs} ms are ready soon after the last start`, async t => {
		const ids = Array.from({length: 16}, (_, index) => `node-${index}`);
		const isFleetReadyInTime = async (seed: number): Promise<boolean> => {
			const random = createSeededRandom(seed);
			const {clock, nodes, stop} = createRegistryFleet({
				nodeCount: ids.length,
				startDelayMs: () => random.fraction() * spreadMs,
				storeDelayMs: 40,
				fillStore(store) {
					store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(1, [buildHostRoute()]));
					store.write(core.RegistryTopic.Targets, 'a', buildTarget({targetId: 'a'}));
					ids.forEach(nodeId => {
						store.write(core.RegistryTopic.Nodes, nodeId, buildNode(nodeId, {incarnationId: `${nodeId}#0`}));
					});
				},
			});
			await clock.advance(spreadMs + READY_LIMIT_MS);
			stop();
			return ids.every(nodeId => nodes.get(nodeId)?.isReady());
		};

		const seeds = Array.from({length: 60}, (_, seed) => seed);
		const results = await Promise.all(seeds.map(async seed => isFleetReadyInTime(seed)));
		t.deepEqual(
			seeds.filter(seed => !results[seed]),
			[],
		);
	});
});
