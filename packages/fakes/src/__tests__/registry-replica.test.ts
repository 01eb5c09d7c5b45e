import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildFleetCatalogue, buildNode, buildHostRoute, buildTarget, buildCompleteChanges} from '../build-fleet.js';
import {createFakeMetrics, createSilentLogger} from '../fake-observability.js';
import {createVirtualClock} from '../virtual-clock.js';

const {Targets, Catalogue, Nodes} = core.RegistryTopic;

const buildChanges = <Topic extends core.RegistryTopic>(
	records: ReadonlyArray<core.RegistryRecord<Topic>>,
	nextOffset: number,
): core.TopicChanges<Topic> => ({records, nextOffset, isWhole: false});

const target = buildTarget({targetId: 'a'});
const draining = {...target, readiness: domain.TargetReadiness.Draining};

test('an older record never replaces a newer one', t => {
	const replica = core.createReplica(Targets, createVirtualClock());
	replica.apply(buildChanges([{key: 'a', offset: 7, value: draining}], 8));
	t.false(replica.apply(buildChanges([{key: 'a', offset: 3, value: target}], 4)));
	t.is(replica.values().get('a')?.readiness, domain.TargetReadiness.Draining);
	t.is(replica.nextOffset(), 8);
});

test('a heartbeat without a change is not sent to peers', t => {
	const replica = core.createReplica(Targets, createVirtualClock());
	replica.apply(buildChanges([{key: 'a', offset: 0, value: target}], 1));
	t.false(replica.apply(buildChanges([{key: 'a', offset: 1, value: {...target, warmUpLeftMs: 5}}], 2)));
	t.deepEqual(replica.changesSince(1).records, []);
});

test('a peer that may have missed removals gets all records', t => {
	const replica = core.createReplica(Targets, createVirtualClock());
	replica.apply(buildCompleteChanges([{key: 'a', offset: 4, value: target}], 9));
	t.true(replica.changesSince(5).isWhole);
	t.false(replica.changesSince(9).isWhole);
});

// Guards against a removed target or node that comes back, because a peer with older records answers after one with newer ones.
const testOlderRecords = <Topic extends core.RegistryTopic>(topic: Topic, value: core.RegistryValues[Topic]): void => {
	test(`a key of the ${topic} that is missing from a complete read is not added by older records`, t => {
		const replica = core.createReplica(topic, createVirtualClock());
		replica.apply(buildCompleteChanges<Topic>([], 10));
		t.false(replica.apply(buildCompleteChanges<Topic>([{key: 'a', offset: 4, value}], 7)));
		t.true(replica.apply(buildChanges<Topic>([{key: 'b', offset: 12, value}], 13)));
		t.deepEqual([...replica.values().keys()], ['b']);
	});
};

testOlderRecords(Targets, target);
testOlderRecords(Nodes, buildNode('a'));

test('a catalogue that is missing from a complete read is added by older records, since it stays in force', t => {
	const replica = core.createReplica(Catalogue, createVirtualClock());
	replica.apply(buildCompleteChanges([], 10));
	t.true(replica.apply(buildCompleteChanges([{key: 'config', offset: 4, value: buildFleetCatalogue(1, [])}], 7)));
});

test('keys that are missing from a complete read are removed, except for those written later', t => {
	const replica = core.createReplica(Targets, createVirtualClock());
	replica.apply(buildChanges([{key: 'a', offset: 1, value: target}], 2));
	replica.apply(buildChanges([{key: 'b', offset: 12, value: target}], 13));
	replica.apply(buildCompleteChanges([], 10));
	t.deepEqual([...replica.values().keys()], ['b']);
});

test('a removed value stays in use until the time given with the removal, and again after its renewal', async t => {
	const clock = createVirtualClock();
	const replica = core.createReplica(Targets, clock);
	replica.apply(buildChanges([{key: 'a', offset: 0, value: target}], 1));
	replica.apply(buildChanges([{key: 'a', offset: 1, value: undefined}], 2), 2000);
	await clock.advance(1900);
	t.true(replica.values().has('a'));
	await clock.advance(200);
	t.false(replica.values().has('a'));
	replica.apply(buildChanges([{key: 'a', offset: 2, value: target}], 3));
	t.true(replica.values().has('a'));
});

// Guards against grants without an offset, which cannot be compared with removals, just after the end of a lapse.
test('the offset of a value is known beyond the time for which it stays in use', async t => {
	const clock = createVirtualClock();
	const replica = core.createReplica(Targets, clock);
	replica.apply(buildChanges([{key: 'a', offset: 4, value: target}], 5));
	replica.apply(buildChanges([{key: 'a', offset: 7, value: undefined}], 8), 2000);
	t.is(replica.stateOf('a'), core.KeyState.Lapsing);
	await clock.advance(2100);
	t.is(replica.stateOf('a'), core.KeyState.Removed);
	t.is(replica.valueOffset('a'), 4);
	t.is(replica.valueOffset('b'), undefined);
});

test('a removal outside an outage takes effect at once', t => {
	const replica = core.createReplica(Targets, createVirtualClock());
	replica.apply(buildChanges([{key: 'a', offset: 0, value: target}], 1));
	replica.apply(buildChanges([{key: 'a', offset: 1, value: undefined}], 2));
	t.false(replica.values().has('a'));
});

const createRegistry = () => {
	const clock = createVirtualClock();
	const logger = createSilentLogger();
	const peerReachability = core.createPeerReachability({clock, logger});
	const self = buildNode('self');
	return {
		clock,
		peerReachability,
		registry: core.createRegistry({self, clock, logger, metrics: createFakeMetrics(), peerReachability}),
	};
};

test('a catalogue is never replaced by an older version or a malformed record', t => {
	const {registry} = createRegistry();
	const newer = buildFleetCatalogue(7, [buildHostRoute()]);
	registry.apply({[Catalogue]: buildChanges([{key: 'config', offset: 3, value: newer}], 4)});
	registry.apply({[Catalogue]: buildChanges([{key: 'config', offset: 5, value: buildFleetCatalogue(6, [])}], 6)});
	t.is(registry.catalogue()?.version, 7);
	registry.apply({[Catalogue]: buildChanges([{key: 'config', offset: 6, value: undefined}], 7)});
	t.is(registry.catalogue()?.version, 7);
});

test('a pull that waits for a change is answered when there is one', async t => {
	const {clock, registry} = createRegistry();
	const fromOffsets = {[Catalogue]: 0, [Targets]: 0, [Nodes]: 0};
	const pulled = registry.pull({fromOffsets, waitMs: 1000}, new AbortController().signal);
	await clock.advance(100);
	registry.apply({[Targets]: buildChanges([{key: 'a', offset: 0, value: target}], 1)});
	const reply = await clock.runUntilSettled(pulled, 10);
	t.is(reply.topics.targets.records.length, 1);
	t.is(reply.topicAgesMs[Targets], 0);
});

// Guards against a node that counts as fresh although only one of its topics is read.
[Catalogue, Targets].forEach(staleTopic => {
	test(`a node without recent reads of the topic ${staleTopic} is stale even if it reads other topics`, async t => {
		const {clock, registry} = createRegistry();
		registry.apply({[Catalogue]: buildChanges([], 1), [Targets]: buildChanges([], 1)});
		t.false(registry.isStale());
		const freshTopic = staleTopic === Catalogue ? Targets : Catalogue;
		await clock.advance(3000);
		registry.apply({[freshTopic]: buildChanges([], 1)});
		t.true(registry.isStale());
		t.is(registry.ageMs(), 3000);
		registry.apply({[staleTopic]: buildChanges([], 1)});
		t.false(registry.isStale());
	});
});

test('an unreachable peer is left out of the rankings until its back-off ends', async t => {
	const {clock, peerReachability, registry} = createRegistry();
	const peer = buildNode('peer');
	registry.apply({[Nodes]: buildChanges([{key: 'peer', offset: 0, value: peer}], 1)});
	const rank = () => registry.rankNodes('key', 'pwani', 2).map(({nodeId}) => nodeId);
	t.is(rank().length, 2);
	peerReachability.recordFailure(peer.address, 'cut');
	t.deepEqual(rank(), ['self']);
	await clock.advance(600);
	t.is(rank().length, 2);
});

test('a ranking includes new nodes at once, and nodes beyond the cached ones when many are unreachable', t => {
	const {peerReachability, registry} = createRegistry();
	const peers = Array.from({length: 40}, (_, index) => buildNode(`peer-${index}`));
	const publish = (count: number): void => {
		const records = peers.slice(0, count).map((value, offset) => ({key: value.nodeId, offset, value}));
		registry.apply({[Nodes]: buildChanges(records, count)});
	};

	const rank = (limitCount: number) => registry.rankNodes('key', 'pwani', limitCount);
	publish(20);
	t.is(rank(41).length, 21);
	publish(40);
	const fullRanking = rank(41);
	t.is(fullRanking.length, 41);
	fullRanking
		.slice(0, 30)
		.filter(({nodeId}) => nodeId !== 'self')
		.forEach(({address}) => {
			peerReachability.recordFailure(address, 'cut');
		});
	const reachableNodes = fullRanking.filter(({nodeId}, index) => index >= 30 || nodeId === 'self');
	t.deepEqual(rank(2), reachableNodes.slice(0, 2));
});
