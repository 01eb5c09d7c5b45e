import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test, {type ExecutionContext} from 'ava';
import {buildFleetCatalogue, buildHostRoute, buildNode, buildTarget} from '../build-fleet.js';
import {createRegistryFleet} from '../registry-fleet.js';
import {createSeededRandom} from '../seeded-random.js';

/** Bound for configuration and for targets that leave, from the store's acknowledgement. */
const IN_FORCE_MS = 2500;

/** Time in which all nodes are ready after the last of them has started. */
const SOON_MS = 500;

/** Longer than the fake store takes to notice that its open reads are to be lost. */
const POLL_TURN_MS = 20;

const createFleet = (t: ExecutionContext, nodeCount: number) => {
	const fleet = createRegistryFleet({nodeCount});
	t.teardown(fleet.stop);
	return fleet;
};

/** Id of the node that reads the store for the others. */
const findReaderId = (nodes: ReadonlyMap<string, core.FleetNode>): string =>
	[...nodes.values()][0]!.registry.rankReaders(1)[0]!.nodeId;

test('all nodes learn the catalogue, the targets and each other', async t => {
	const {clock, nodes, listVersions} = createFleet(t, 6);
	await clock.advance(3000);
	t.deepEqual(
		listVersions(),
		Array.from({length: 6}, () => 1),
	);
	t.true([...nodes.values()].every(({registry}) => registry.nodesOf('pwani').length === 6));
	t.true([...nodes.values()].every(({registry}) => registry.target('a') !== undefined));
});

test('a node is not ready before it knows the targets', async t => {
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
	const before = store.callCount;
	await clock.advance(20_000);
	// One reader: a read of the targets each 0.8 s, and a long poll now and then.
	t.true(store.callCount - before < 40, `${store.callCount - before} calls`);
});

test('a change is in force on all nodes in time while the store refuses the reader', async t => {
	const {clock, store, nodes, listVersions} = createFleet(t, 8);
	await clock.advance(5000);
	store.refusedNodeIds.add(findReaderId(nodes));
	await clock.advance(100);
	store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(2, [buildHostRoute()]));
	const draining = buildTarget({targetId: 'a', readiness: domain.TargetReadiness.Draining});
	store.write(core.RegistryTopic.Targets, 'a', draining);
	await clock.advance(IN_FORCE_MS);
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
		await clock.advance(IN_FORCE_MS);
		t.deepEqual(
			listVersions(),
			Array.from({length: 10}, () => 2),
		);
		await clock.advance(3000);
		store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(3, [buildHostRoute()]));
		await clock.advance(IN_FORCE_MS);
		t.deepEqual(
			listVersions(),
			Array.from({length: 10}, () => 3),
		);
	});
});

// Guards against a reader that looks fresh by its reads of the targets while its read of the catalogue hangs.
test('a change is in force in time although the open reads of the catalogue get no answer', async t => {
	const {clock, store, listVersions} = createFleet(t, 8);
	await clock.advance(5000);
	store.loseOpenReads(core.RegistryTopic.Catalogue);
	await clock.advance(POLL_TURN_MS);
	store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(2, [buildHostRoute()]));
	await clock.advance(IN_FORCE_MS);
	t.deepEqual(
		listVersions(),
		Array.from({length: 8}, () => 2),
	);
});

// Guards against reads that were sent into the silence of the store and stay open after its return.
Array.from({length: 10}, (_, index) => 4000 + index * 250).forEach(silenceMs => {
	test(`a change is in force in time after ${silenceMs} ms without an answer from the store`, async t => {
		const {clock, store, listVersions} = createFleet(t, 8);
		await clock.advance(5000);
		store.isSilent = true;
		await clock.advance(silenceMs);
		store.isSilent = false;
		store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(2, [buildHostRoute()]));
		await clock.advance(IN_FORCE_MS);
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
	await clock.advance(IN_FORCE_MS);
	t.deepEqual(
		listVersions(),
		Array.from({length: 8}, () => 2),
	);
});

test('a node that the store refuses from its start learns from its peers', async t => {
	const {clock, store, nodes, startNode} = createFleet(t, 3);
	await clock.advance(5000);
	store.refusedNodeIds.add('node-9');
	startNode('node-9', 9);
	await clock.advance(IN_FORCE_MS);
	t.is(nodes.get('node-9')?.registry.catalogue()?.version, 1);
});

test('nodes do not crowd a store that is down, and catch up when it is back', async t => {
	const {clock, store, listVersions} = createFleet(t, 20);
	await clock.advance(5000);
	store.isDown = true;
	const before = store.callCount;
	await clock.advance(10_000);
	// Readers try again about once a second and topic, the other nodes each few seconds.
	t.true(store.callCount - before < 400, `${store.callCount - before} calls`);
	store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(2, [buildHostRoute()]));
	store.isDown = false;
	await clock.advance(IN_FORCE_MS);
	t.deepEqual(
		listVersions(),
		Array.from({length: 20}, () => 2),
	);
});

// Guards against nodes that wait for one another after the loss of all, while the one that reads the store is not up yet.
[200, 450, 800].forEach(spreadMs => {
	test(`nodes that come up over ${spreadMs} ms after the loss of all are ready soon`, async t => {
		const ids = Array.from({length: 16}, (_, index) => `node-${index}`);
		const start = async (seed: number): Promise<boolean> => {
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
			await clock.advance(spreadMs + SOON_MS);
			stop();
			return ids.every(nodeId => nodes.get(nodeId)?.isReady());
		};

		const seeds = Array.from({length: 60}, (_, seed) => seed);
		const results = await Promise.all(seeds.map(async seed => start(seed)));
		t.deepEqual(
			seeds.filter(seed => !results[seed]),
			[],
		);
	});
});
