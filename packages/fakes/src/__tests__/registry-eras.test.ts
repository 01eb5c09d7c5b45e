import * as core from '@bilberrydoor/core';
import test from 'ava';
import {buildFleetCatalogue, buildHostRoute, buildNode, buildTarget} from '../build-fleet.js';
import {createFakeMetrics, createSilentLogger} from '../fake-observability.js';
import {createRegistryFleet} from '../registry-fleet.js';
import {createVirtualClock} from '../virtual-clock.js';

const {Catalogue, Targets, Nodes} = core.RegistryTopic;
const target = buildTarget({targetId: 'a'});

const createRegistry = () => {
	const clock = createVirtualClock();
	const logger = createSilentLogger();
	const events: unknown[] = [];
	const metrics = createFakeMetrics();
	const registry = core.createRegistry({
		self: buildNode('self'),
		clock,
		logger: {
			...logger,
			info(_message, fields) {
				events.push(fields?.event);
			},
		},
		metrics,
		peerReachability: core.createPeerReachability({clock, logger}),
	});
	return {clock, registry, metrics, events};
};

const NO_CHANGES = {records: [], nextOffset: 5, isWhole: true};

/** A whole reply of a peer, whose topics are of the given era. */
const buildTopics = (era: number | undefined, targets: readonly string[] = ['a']) => ({
	[Catalogue]: {
		records: [{key: 'config', offset: 0, value: buildFleetCatalogue(1, [buildHostRoute()])}],
		nextOffset: 5,
		isWhole: true,
		era,
	},
	[Targets]: {
		records: targets.map((targetId, offset) => ({key: targetId, offset, value: buildTarget({targetId})})),
		nextOffset: 5,
		isWhole: true,
		era,
	},
	[Nodes]: {...NO_CHANGES, era},
});

const AGES = {[Catalogue]: 10, [Targets]: 10, [Nodes]: 10};

test('a peer that is still in an older era changes nothing, and its answer does not make the records fresh', async t => {
	const {clock, registry} = createRegistry();
	registry.apply(buildTopics(0, ['a', 'b']), {topicAgesMs: AGES, storeEra: {era: 0, ageMs: 0}});
	registry.apply(buildTopics(1, ['a', 'b']), {topicAgesMs: AGES, storeEra: {era: 1, ageMs: 0}});
	await clock.advance(5000);
	registry.apply(buildTopics(0, ['a', 'c']), {topicAgesMs: AGES, storeEra: {era: 0, ageMs: 0}});
	t.deepEqual([...registry.replicas.targets.values().keys()], ['a', 'b']);
	t.true(registry.isStale());
});

test('a new era is logged and shown once, and the first one that a node knows of is none', t => {
	const {registry, events, metrics} = createRegistry();
	registry.eras.record(7);
	t.deepEqual(events, []);
	registry.eras.record(8);
	registry.eras.recordPeer({era: 8, ageMs: 10});
	registry.eras.recordPeer({era: 7, ageMs: 10});
	t.deepEqual(events, [core.LogEvent.StoreEraChanged]);
	t.is(metrics.gauges.get(`${core.GaugeName.StoreEra} `), 8);
	t.is(registry.eras.rollbackCount(), 1);
});

// Guards against a rolling update in which newer nodes cannot follow older ones, and against records of an older one after a
// rollback.
test('an era that a peer omits counts as the lowest known one', t => {
	const {registry} = createRegistry();
	registry.eras.record(7);
	registry.apply(buildTopics(undefined), {topicAgesMs: AGES});
	t.deepEqual([...registry.replicas.targets.values().keys()], ['a']);
	t.is(registry.replicas.targets.era(), 7);
	registry.eras.record(8);
	registry.apply(buildTopics(undefined, ['a', 'b']), {topicAgesMs: AGES});
	t.deepEqual([...registry.replicas.targets.values().keys()], ['a']);
	t.is(registry.eras.resolve(undefined), 7);
});

// Guards against a node that was cut off and uses targets that left long ago, as if they had just been lost.
test('a node that learns late of a rollback takes the removals since then as final', async t => {
	const {clock, registry} = createRegistry();
	registry.apply(buildTopics(0, ['a', 'b']), {topicAgesMs: AGES, storeEra: {era: 0, ageMs: 60_000}});
	await clock.advance(30_000);
	registry.apply(buildTopics(1, ['b']), {topicAgesMs: AGES, storeEra: {era: 1, ageMs: 20_000}});
	t.is(registry.target('a'), undefined);
});

test('a peer that shows that the era began earlier ends the time for renewals', async t => {
	const {clock, registry} = createRegistry();
	registry.apply(buildTopics(0, ['a', 'b']), {topicAgesMs: AGES, storeEra: {era: 0, ageMs: 0}});
	registry.eras.record(1);
	registry.apply(buildTopics(1, ['b']), {topicAgesMs: AGES});
	t.not(registry.target('a'), undefined);
	registry.eras.recordPeer({era: 1, ageMs: 20_000});
	await clock.advance(1);
	t.is(registry.target('a'), undefined);
});

// Guards against replies at once to requests that get nothing from them, which would follow each other without a pause.
test('a pull of a node in a newer era waits until the topics are read in it', async t => {
	const {clock, registry} = createRegistry();
	registry.eras.record(0);
	registry.apply(buildTopics(0));
	const request = {
		fromOffsets: {[Catalogue]: 5, [Targets]: 5, [Nodes]: 5},
		fromEras: {[Catalogue]: 1, [Targets]: 1, [Nodes]: 1},
		storeEra: 1,
		waitMs: 500,
	};
	const pulled = registry.pull(request, new AbortController().signal);
	await clock.advance(100);
	t.is(registry.eras.newest(), 1);
	registry.apply({[Targets]: buildTopics(1)[Targets]});
	await clock.advance(100);
	registry.apply({[Catalogue]: buildTopics(1)[Catalogue]});
	const reply = await clock.runUntilSettled(pulled, 1);
	t.deepEqual([reply.topics.catalogue.era, reply.topics.targets.era], [1, 1]);
	const early = registry.pull({...request, fromEras: {...request.fromEras, [Nodes]: 0}}, new AbortController().signal);
	await clock.runUntilSettled(early, 500);
	t.pass();
});

test('a pull that is open across a rollback is answered with the whole topics of the new era', async t => {
	const {clock, registry} = createRegistry();
	registry.eras.record(0);
	registry.apply(buildTopics(0));
	const request = {
		fromOffsets: {[Catalogue]: 5, [Targets]: 5, [Nodes]: 5},
		fromEras: {[Catalogue]: 0, [Targets]: 0, [Nodes]: 0},
		storeEra: 0,
		waitMs: 500,
	};
	const pulled = registry.pull(request, new AbortController().signal);
	await clock.advance(100);
	registry.eras.record(1);
	registry.apply(buildTopics(1, ['a']));
	const reply = await clock.runUntilSettled(pulled, 1);
	t.like(reply.topics.targets, {isWhole: true, era: 1});
	t.deepEqual(
		reply.topics.targets.records.map(({key}) => key),
		['a'],
	);
	t.like(reply.storeEra, {era: 1});
});

// Guards against calls to the store that come from the era alone. Load: the start and the calm of a region of deployment A.
test('a store in a higher era gets no more calls than one in the first era, and nodes start as fast', async t => {
	const run = async (rollbackCount: number) => {
		const fleet = createRegistryFleet({
			nodeCount: 20,
			fillStore(store) {
				store.write(Catalogue, 'config', buildFleetCatalogue(1, [buildHostRoute()]));
				store.write(Targets, 'a', target);
				Array.from({length: rollbackCount}, () => 0).forEach(ageMs => {
					store.rollBack(ageMs);
				});
			},
		});
		await fleet.clock.advance(500);
		const isReady = [...fleet.nodes.values()].every(node => node.isReady());
		await fleet.clock.advance(5000);
		const startCallCount = fleet.store.callCount;
		await fleet.clock.advance(20_000);
		fleet.stop();
		return {isReady, startCallCount, calmCallCount: fleet.store.callCount - startCallCount};
	};

	const first = await run(0);
	const later = await run(7);
	t.true(first.isReady && later.isReady);
	t.true(later.startCallCount <= first.startCallCount, `${later.startCallCount} and ${first.startCallCount} calls`);
	t.is(later.calmCallCount, first.calmCallCount);
});
