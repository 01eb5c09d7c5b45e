import * as core from '@bilberrydoor/core';
import test from 'ava';
import {buildEntry} from '../build-entry.js';
import {createFakeFleet, type FakeFleet, type FakeNode} from '../fake-fleet.js';
import {FakeLogFault} from '../fake-log-service.js';

const REGIONS = ['pwani', 'bara'];
const SNAPSHOT_OPTIONS = {checkPeriodMs: 500, jitterMs: 500, rankDelayMs: 2000, snapshotRecordCount: 20};

const startFleet = (nodeCount: number, catalogue: Partial<core.CatalogueReplicatorOptions> = {}): FakeFleet => {
	const fleet = createFakeFleet({settings: {catalogue: {snapshots: SNAPSHOT_OPTIONS, ...catalogue}}});
	Array.from({length: nodeCount}, (_, index) => startNode(fleet, index));
	return fleet;
};

const startNode = (fleet: FakeFleet, index: number): FakeNode =>
	fleet.startNode({address: `n${index}:1`, region: REGIONS[index % REGIONS.length]!, availabilityZone: 'zone'});

const publish = async (fleet: FakeFleet, service: string, baseRevision: number): Promise<void> =>
	fleet.publishEntry(buildEntry({service, floorSlotCount: baseRevision}), baseRevision);

const publishMany = async (fleet: FakeFleet, service: string, from: number, count: number): Promise<void> => {
	for (let revision = from; revision < from + count; revision++) {
		await publish(fleet, service, revision);
	}
};

const listRevisions = (fleet: FakeFleet, service: string): number[] =>
	fleet.nodes.map(({node}) => node.store.findItem(service)?.revision ?? 0);

const listDigests = (fleet: FakeFleet): Set<string> =>
	new Set(fleet.nodes.map(({node}) => node.store.takeSnapshot().digest));

// Guards against a relay tree that misses nodes, and against more than three log readers in a region.
test('all nodes get an edit while three nodes of each region read the log', async t => {
	const fleet = startFleet(40);
	await publish(fleet, 'ratiba', 0);
	t.deepEqual(new Set(listRevisions(fleet, 'ratiba')), new Set([1]));
	t.is(listDigests(fleet).size, 1);
	const readers = new Set<string>();
	fleet.onLogTransfer = ({address}) => readers.add(address);
	await fleet.clock.advance(30_000);
	t.is(readers.size, 6);
	t.true(fleet.nodes.every(({node}) => node.isReady()));
});

// Guards against nodes that wait for a paused or cut relay instead of falling back to another source.
test('a paused reader and a one-way cut do not prevent the other nodes from getting an edit', async t => {
	const fleet = startFleet(20);
	await publish(fleet, 'ratiba', 0);
	const tree = core.createRelayTree(fleet.nodes[0]!.node.directory);
	const [first, second] = tree.listReaders();
	const findNode = (address: string) => fleet.nodes.find(node => node.address === address)!;
	findNode(first!.address).host.pause();
	fleet.nodes.forEach(({address}) => {
		fleet.network.cut(second!.address, address);
	});
	await fleet.clock.advance(5000);
	await publish(fleet, 'ratiba', 1);
	const behind = fleet.nodes.filter(({node}) => node.store.findItem('ratiba')!.revision !== 2);
	t.deepEqual(
		behind.map(({address}) => address),
		[first!.address],
	);
	// A node that resumes with stale state must catch up and must not revert other nodes.
	findNode(first!.address).host.resume();
	await fleet.clock.advance(5000);
	t.deepEqual(new Set(listRevisions(fleet, 'ratiba')), new Set([2]));
});

// Guards against nodes that can start only while the log is available.
test('a node that starts while the log is down restores the catalogue from its peers', async t => {
	const fleet = startFleet(10);
	await publishMany(fleet, 'ratiba', 0, 3);
	fleet.log.fault = FakeLogFault.Down;
	const started = startNode(fleet, 4);
	t.false(started.node.isReady());
	await fleet.clock.advance(5000);
	t.true(started.node.isReady());
	t.is(started.node.store.findItem('ratiba')?.revision, 3);
	// The node that started during the outage gets an edit that is appended after it.
	fleet.log.fault = FakeLogFault.None;
	await publish(fleet, 'ratiba', 3);
	t.deepEqual(new Set(listRevisions(fleet, 'ratiba')), new Set([4]));
});

// Guards against a node that starts with an old catalogue because the first peer that it queries is behind.
test('a starting node restores the newest catalogue of several peers', async t => {
	const fleet = startFleet(6);
	await publish(fleet, 'ratiba', 0);
	const [stale] = fleet.nodes;
	stale!.host.pause();
	await publish(fleet, 'ratiba', 1);
	fleet.log.fault = FakeLogFault.Down;
	const started = startNode(fleet, 6);
	stale!.host.resume();
	await fleet.clock.advance(8000);
	t.true(started.node.isReady());
	t.is(started.node.store.findItem('ratiba')?.revision, 2);
});

// Guards against the loss of the catalogue when every VM is replaced.
test('a fleet whose nodes all restart restores the catalogue from a truncated log alone', async t => {
	const fleet = startFleet(8);
	fleet.log.retentionCount = 30;
	await publishMany(fleet, 'ratiba', 0, 50);
	const [digest] = listDigests(fleet);
	t.true(fleet.log.records[0]!.offset > 0);
	const indexes = fleet.nodes.map((_, index) => index);
	fleet.nodes.forEach(({host}) => {
		host.kill();
	});
	indexes.forEach(index => startNode(fleet, index));
	await fleet.clock.advance(20_000);
	t.true(fleet.nodes.every(({node}) => node.isReady()));
	t.deepEqual(new Set(listRevisions(fleet, 'ratiba')), new Set([50]));
	t.deepEqual(listDigests(fleet), new Set([digest]));
});

// Guards against a log that stays empty after an outage longer than its retention.
test('after an outage longer than the retention the nodes append a snapshot from memory', async t => {
	const fleet = startFleet(6);
	await publishMany(fleet, 'ratiba', 0, 3);
	fleet.log.fault = FakeLogFault.Down;
	await fleet.clock.advance(60_000);
	fleet.log.expireAll();
	fleet.log.fault = FakeLogFault.None;
	await fleet.clock.advance(20_000);
	const kinds = new Set(fleet.log.records.map(({record}) => record.kind));
	t.deepEqual([...kinds], ['snapshot']);
	[0, 1, 2, 3, 4, 5].forEach(index => startNode(fleet, index));
	await fleet.clock.advance(20_000);
	t.deepEqual(new Set(listRevisions(fleet, 'ratiba')), new Set([3]));
});

// Guards against nodes that treat a lost catalogue as an empty one.
test('a fleet whose catalogue is lost does not become ready and reports the catalogue as at risk', async t => {
	const fleet = startFleet(4);
	await publishMany(fleet, 'ratiba', 0, 3);
	fleet.log.expireAll();
	fleet.nodes.forEach(({host}) => {
		host.kill();
	});
	[0, 1, 2, 3].forEach(index => startNode(fleet, index));
	await fleet.clock.advance(60_000);
	t.true(fleet.nodes.every(({node}) => !node.isReady()));
	t.true(fleet.nodes.some(({metrics}) => metrics.gauges.get(`${core.GaugeName.CatalogueAtRisk} `) === 1));
});

// Guards against a retry delay between log reads that grows during an outage and still applies after it. Seen in the
// catalogue measurement with seed 3.
test('nodes whose requests reach no relay read the log at once, also after a long log outage', async t => {
	const fleet = startFleet(20);
	await publishMany(fleet, 'ratiba', 0, 3);
	fleet.log.fault = FakeLogFault.Down;
	await fleet.clock.advance(120_000);
	fleet.log.fault = FakeLogFault.None;
	await fleet.clock.advance(5000);
	const {directory} = fleet.nodes[0]!.node;
	const readers = new Set(
		core
			.createRelayTree(directory)
			.listReaders()
			.map(node => node.address),
	);
	const cutNodes = fleet.nodes.filter(({address}) => !readers.has(address));
	cutNodes.forEach(({address: from}) => {
		fleet.nodes.forEach(({address: to}) => {
			fleet.network.cut(from, to);
		});
	});
	await publish(fleet, 'ratiba', 3);
	t.deepEqual(new Set(listRevisions(fleet, 'ratiba')), new Set([4]));
});
