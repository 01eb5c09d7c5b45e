import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildFleetCatalogue, buildNode, buildTarget} from '../build-fleet.js';
import {createVirtualClock} from '../virtual-clock.js';

const {Catalogue, Targets, Nodes} = core.RegistryTopic;

/** End of the topic in the former era, and of the older copy. */
const FORMER_END = 20;
const COPY_END = 10;
const RENEWAL_MS = 2500;

const target = buildTarget({targetId: 'a'});
const draining = {...target, readiness: domain.TargetReadiness.Draining};
const restarted = {...target, startedAtMs: 2};
const node = buildNode('a');

const buildWhole = <Topic extends core.RegistryTopic>(
	records: ReadonlyArray<core.RegistryRecord<Topic>>,
	nextOffset: number,
	era: number,
): core.TopicChanges<Topic> => ({records, nextOffset, era, isWhole: true});

const buildChange = <Topic extends core.RegistryTopic>(
	value: core.RegistryValues[Topic] | undefined,
	offset: number,
	era: number,
): core.TopicChanges<Topic> => ({records: [{key: 'a', offset, value}], nextOffset: offset + 1, era, isWhole: false});

/** Creates a replica that has read the given values of the key, one after the other, and then the whole topic in the next era. */
const rollBack = <Topic extends core.RegistryTopic>(
	topic: Topic,
	known: ReadonlyArray<core.RegistryValues[Topic] | undefined>,
	restored: core.RegistryValues[Topic] | undefined,
	restoredOffset = 3,
) => {
	const clock = createVirtualClock();
	const rereads: core.TopicReread[] = [];
	const replica = core.createReplica(topic, clock, reread => rereads.push(reread));
	replica.apply(buildWhole<Topic>([], 1, 0));
	known.forEach((value, index) => {
		replica.apply(buildChange<Topic>(value, 3 + index, 0));
	});
	replica.apply({records: [], nextOffset: FORMER_END, era: 0, isWhole: false});
	const records = restored === undefined ? [] : [{key: 'a', offset: restoredOffset, value: restored}];
	replica.apply(buildWhole<Topic>(records, COPY_END, 1), 0, clock.monotonicMs() + RENEWAL_MS);
	return {clock, replica, rereads};
};

type TargetCase = {
	readonly name: string;
	readonly known: ReadonlyArray<domain.RegisteredTarget | undefined>;
	readonly restored: domain.RegisteredTarget | undefined;
	readonly restoredOffset?: number;
	readonly expected: domain.RegisteredTarget | undefined;
	readonly state: core.KeyState;
};

const TARGET_CASES: readonly TargetCase[] = [
	{name: 'in use, restored', known: [target], restored: target, expected: target, state: core.KeyState.InUse},
	{name: 'in use, lost', known: [target], restored: undefined, expected: target, state: core.KeyState.Lapsing},
	{
		name: 'draining, restored as ready',
		known: [target, draining],
		restored: target,
		expected: draining,
		state: core.KeyState.InUse,
	},
	{
		name: 'draining, written anew after a restart',
		known: [target, draining],
		restored: restarted,
		expected: restarted,
		state: core.KeyState.InUse,
	},
	{
		name: 'ready, restored as draining',
		known: [target],
		restored: draining,
		expected: draining,
		state: core.KeyState.InUse,
	},
	{
		name: 'removed, restored',
		known: [target, undefined],
		restored: target,
		expected: undefined,
		state: core.KeyState.Removed,
	},
	{
		name: 'removed, written anew after a restart',
		known: [target, undefined],
		restored: restarted,
		expected: restarted,
		state: core.KeyState.InUse,
	},
	{
		name: 'removed, missing',
		known: [target, undefined],
		restored: undefined,
		expected: undefined,
		state: core.KeyState.Removed,
	},
	{name: 'removed unseen, restored', known: [], restored: target, expected: undefined, state: core.KeyState.Removed},
	{
		name: 'unknown, written after all that was read before',
		known: [],
		restored: target,
		restoredOffset: FORMER_END + 2,
		expected: target,
		state: core.KeyState.InUse,
	},
];

// Guards against a target that has left and is used again, and against one that lives and goes out of use. Load: approvals
// of deployment A, whose targets are few.
TARGET_CASES.forEach(({name, known, restored, restoredOffset, expected, state}) => {
	test(`a target after a rollback: ${name}`, t => {
		const {replica} = rollBack(Targets, known, restored, restoredOffset);
		t.deepEqual(replica.values().get('a'), expected);
		t.is(replica.stateOf('a'), state);
		t.is(replica.era(), 1);
		t.is(replica.nextOffset(), COPY_END);
	});
});

// Guards against a target that stays withheld although it lives.
[
	{name: 'draining', known: [target, draining]},
	{name: 'removed', known: [target, undefined]},
].forEach(({name, known}) => {
	test(`a ${name} target is in use again once it has written its record anew`, t => {
		const {replica} = rollBack(Targets, known, target);
		t.true(replica.apply(buildChange<core.RegistryTopic.Targets>(target, COPY_END + 1, 1)));
		t.is(replica.values().get('a')?.readiness, domain.TargetReadiness.Ready);
	});
});

test('a target that was lost is out of use after the time for renewals, and in use again when it is renewed', async t => {
	const {clock, replica} = rollBack(Targets, [target], undefined);
	await clock.advance(RENEWAL_MS - 1);
	t.true(replica.values().has('a'));
	await clock.advance(1);
	t.false(replica.values().has('a'));
	t.true(replica.apply(buildChange<core.RegistryTopic.Targets>(target, COPY_END, 1)));
	t.true(replica.values().has('a'));
});

// Guards against a follower that withholds a target for good, since its source does not pass on heartbeats.
test('the first heartbeat after a rollback is sent to peers although it changes nothing, and later ones are not', t => {
	const {replica} = rollBack(Targets, [target], target);
	t.true(replica.apply(buildChange<core.RegistryTopic.Targets>(target, COPY_END, 1)));
	t.is(replica.changesSince(COPY_END, 1).records.length, 1);
	t.false(replica.apply(buildChange<core.RegistryTopic.Targets>(target, COPY_END + 1, 1)));
});

// Guards against a restored registration that expires before its target renews it.
test('a removal is a lapse before the first heartbeat of the era and final after it', t => {
	const expired = rollBack(Targets, [target], target);
	expired.replica.apply(buildChange<core.RegistryTopic.Targets>(undefined, COPY_END, 1), 0, RENEWAL_MS);
	t.is(expired.replica.stateOf('a'), core.KeyState.Lapsing);
	const left = rollBack(Targets, [target], target);
	left.replica.apply(buildChange<core.RegistryTopic.Targets>(target, COPY_END, 1), 0, RENEWAL_MS);
	left.replica.apply(buildChange<core.RegistryTopic.Targets>(undefined, COPY_END + 1, 1), 0, RENEWAL_MS);
	t.is(left.replica.stateOf('a'), core.KeyState.Removed);
});

// Guards against a second rollback that takes a target out of use which the first one had lost.
test('a target that is lost by two rollbacks gets the time for renewals anew', async t => {
	const {clock, replica} = rollBack(Targets, [target], undefined);
	await clock.advance(2000);
	replica.apply(buildWhole<core.RegistryTopic.Targets>([], 5, 2), 0, clock.monotonicMs() + RENEWAL_MS);
	await clock.advance(2000);
	t.true(replica.values().has('a'));
	replica.apply(
		buildWhole<core.RegistryTopic.Targets>([{key: 'a', offset: 3, value: target}], 5, 3),
		0,
		clock.monotonicMs() + RENEWAL_MS,
	);
	t.is(replica.stateOf('a'), core.KeyState.InUse);
});

test('a catalogue keeps the higher version, also if the copy lacks it', t => {
	[buildFleetCatalogue(6, []), undefined].forEach(restored => {
		const {replica} = rollBack(Catalogue, [buildFleetCatalogue(7, [])], restored);
		t.is(replica.values().get('a')?.version, 7);
		t.true(replica.apply(buildChange<core.RegistryTopic.Catalogue>(buildFleetCatalogue(8, []), COPY_END, 1)));
		t.is(replica.values().get('a')?.version, 8);
	});
});

test('a withdrawn node is withheld, and one of another incarnation is not', t => {
	t.is(rollBack(Nodes, [node, undefined], node).replica.values().get('a'), undefined);
	const restartedNode = {...node, incarnationId: 'a#2'};
	t.deepEqual(rollBack(Nodes, [node, undefined], restartedNode).replica.values().get('a'), restartedNode);
	t.deepEqual(rollBack(Nodes, [], node).replica.values().get('a'), node);
	t.is(rollBack(Nodes, [node], undefined).replica.stateOf('a'), core.KeyState.Lapsing);
});

// Guards against late answers, and against changes that continue from an offset of another era.
test('records of an older era and changes of a newer one that are not the whole topic are ignored', t => {
	const {replica} = rollBack(Targets, [target], target);
	t.false(replica.apply(buildChange<core.RegistryTopic.Targets>(draining, 90, 0)));
	t.false(replica.apply(buildWhole<core.RegistryTopic.Targets>([], 90, 0)));
	t.false(replica.apply(buildChange<core.RegistryTopic.Targets>(draining, 90, 2)));
	t.deepEqual(replica.values().get('a'), target);
	t.is(replica.nextOffset(), COPY_END);
});

test('a peer of an older era gets the whole topic, and one of a newer era nothing', t => {
	const {replica} = rollBack(Targets, [target], target);
	t.true(replica.hasChangesSince(90, 0));
	t.like(replica.changesSince(90, 0), {isWhole: true, era: 1, restoredBeforeOffset: COPY_END});
	t.false(replica.hasChangesSince(0, 2));
	t.deepEqual(replica.changesSince(0, 2).records, []);
	t.false(replica.changesSince(COPY_END, 1).isWhole);
	t.false(replica.changesSince(COPY_END).isWhole);
});

// Guards against a follower that takes all records of its source for restored ones.
test('a record that its source knows to be written anew is not withheld', t => {
	const clock = createVirtualClock();
	const replica = core.createReplica(Targets, clock);
	replica.apply(buildWhole<core.RegistryTopic.Targets>([{key: 'a', offset: 3, value: draining}], FORMER_END, 0));
	replica.apply({
		...buildWhole<core.RegistryTopic.Targets>([{key: 'a', offset: 12, value: target}], 14, 1),
		restoredBeforeOffset: COPY_END,
	});
	t.is(replica.values().get('a')?.readiness, domain.TargetReadiness.Ready);
});

type RemovalCase = {
	readonly name: string;
	readonly known: ReadonlyArray<domain.RegisteredTarget | undefined>;
	readonly restored?: domain.RegisteredTarget;
	readonly position: core.Position;
	readonly granted?: domain.RegisteredTarget;
	readonly expected: boolean;
};

const REMOVAL_CASES: readonly RemovalCase[] = [
	{
		name: 'a removed target of the former era',
		known: [target, undefined],
		position: {era: 0, offset: 3},
		expected: true,
	},
	{
		name: 'a removed target of the former era, at a higher offset than the copy has',
		known: [target, undefined],
		position: {era: 0, offset: 15},
		expected: true,
	},
	{
		name: 'a withheld target, by the record that is withheld',
		known: [target, undefined],
		restored: target,
		position: {era: 1, offset: 3},
		expected: true,
	},
	{
		name: 'a withheld target, by a newer record',
		known: [target, undefined],
		restored: target,
		position: {era: 1, offset: 12},
		expected: false,
	},
	{
		name: 'a removed target, by an era that is not known here',
		known: [target, undefined],
		position: {era: 2, offset: 3},
		expected: true,
	},
	{
		name: 'a removed target that was restarted, by an era that is not known here',
		known: [target, undefined],
		position: {era: 2, offset: 3},
		granted: restarted,
		expected: false,
	},
	{name: 'a target in use', known: [target], restored: target, position: {era: 0, offset: 3}, expected: false},
	{name: 'a lost target', known: [target], position: {era: 0, offset: 3}, expected: false},
	{name: 'an unknown target of the former era', known: [], position: {era: 0, offset: 90}, expected: true},
	{name: 'an unknown target of a later record', known: [], position: {era: 1, offset: 12}, expected: false},
];

// Guards against grants of removed targets that are used because their offset is higher than any of the new era.
REMOVAL_CASES.forEach(({name, known, restored, position, granted = target, expected}) => {
	test(`whether the target of a grant was removed: ${name}`, t => {
		t.is(rollBack(Targets, known, restored).replica.isRemovedAfter('a', position, granted), expected);
	});
});

test('what became of a topic is reported once for each rollback', t => {
	const {rereads} = rollBack(Targets, [target, undefined], target);
	t.deepEqual(rereads, [
		{
			topic: Targets,
			previousEra: 0,
			era: 1,
			previousNextOffset: FORMER_END,
			nextOffset: COPY_END,
			recordCount: 1,
			lostCount: 0,
			withheldCount: 1,
		},
	]);
});
