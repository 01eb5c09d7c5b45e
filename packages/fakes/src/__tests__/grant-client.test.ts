import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as neverthrow from 'neverthrow';
import {buildFleetCatalogue, buildGrantRequest, buildNode, buildTarget} from '../build-fleet.js';
import {buildGrantParts} from '../build-grants.js';

const OWN_REGION = 'pwani';
const OTHER_REGION = 'bara';
const otherRegionTarget = buildTarget({targetId: 'away', region: OTHER_REGION});

type Message = {readonly address: string; readonly kind: core.FleetMessageKind};

type HarnessOptions = {
	/** Targets of the other region that the node knows. */
	readonly otherRegionTargets?: readonly domain.RegisteredTarget[];
	/** Offset of the granted target's record at the dispatcher. */
	readonly targetOffset?: number;
};

/** Creates a grant client whose region has the given targets, and peers in another region that grant every call. */
const createHarness = (
	ownRegionTargets: readonly domain.RegisteredTarget[],
	{otherRegionTargets = [otherRegionTarget], targetOffset}: HarnessOptions = {},
) => {
	const messages: Message[] = [];
	const grant: core.Grant = {
		isGranted: true,
		grantId: 'grant',
		target: otherRegionTarget,
		standing: core.GrantStanding.Sound,
		usualDurationMs: undefined,
		targetOffset,
	};
	const replies = {[core.FleetMessageKind.AcquireGrant]: grant, [core.FleetMessageKind.ReportResult]: {}};
	const peerClient: core.FleetPeerClient = {
		async request(address, kind) {
			messages.push({address, kind});
			return neverthrow.ok(replies[kind as keyof typeof replies] as never);
		},
	};
	const nodes = ['peer-1', 'peer-2', 'peer-3'].map(nodeId => buildNode(nodeId, {region: OTHER_REGION}));
	const {clock, grants, registry} = buildGrantParts({
		targets: [...ownRegionTargets, ...otherRegionTargets],
		nodes,
		peerClient,
	});
	const callRequest = {...buildGrantRequest('request'), isBulk: false};
	const acquire = async (given: Partial<core.CallGrantRequest> = {}): Promise<core.GrantAnswer> =>
		clock.runUntilSettled(grants.acquire({...callRequest, ...given}, new AbortController().signal), 10_000);
	return {clock, grants, registry, messages, acquire};
};

const SINGLE_SLOT_TARGET = buildTarget({targetId: 'home', region: OWN_REGION, slotCount: 1});

const CASES = [
	{
		name: 'a small call goes to the other region when its own is busy',
		targets: [SINGLE_SLOT_TARGET],
		isBulk: false,
		isOtherRegionUsed: true,
	},
	{
		name: 'a bulk call is not sent to the other region while its own has only busy targets',
		targets: [SINGLE_SLOT_TARGET],
		isBulk: true,
		isOtherRegionUsed: false,
	},
	{
		name: 'a bulk call goes to the other region when its own has no targets',
		targets: [],
		isBulk: true,
		isOtherRegionUsed: true,
	},
	{
		name: 'a bulk call goes to the other region when all targets of its own are draining',
		targets: [{...SINGLE_SLOT_TARGET, readiness: domain.TargetReadiness.Draining}],
		isBulk: true,
		isOtherRegionUsed: true,
	},
];

CASES.forEach(({name, targets, isBulk, isOtherRegionUsed}) => {
	test(name, async t => {
		const {acquire, messages} = createHarness(targets);
		const first = await acquire();
		t.true(first.isGranted);
		const messageCount = messages.length;
		const second = await acquire({requestId: 'second', isBulk});
		t.is(second.isGranted, isOtherRegionUsed);
		t.is(messages.length > messageCount, isOtherRegionUsed);
	});
});

test('a bulk call goes to the other region when the node cannot reach the targets of its own', async t => {
	const {acquire, grants} = createHarness([SINGLE_SLOT_TARGET]);
	const first = await acquire();
	t.true(first.isGranted);
	grants.report(first as core.HeldGrant, core.GrantResult.Unreachable, 500);
	const second = await acquire({requestId: 'second', isBulk: true});
	t.is(second.isGranted && second.target.targetId, otherRegionTarget.targetId);
});

test('the result of a call in another region is reported to the dispatcher that granted it, not to its successor', async t => {
	const {acquire, grants, messages, clock} = createHarness([]);
	const granted = (await acquire()) as core.HeldGrant;
	grants.report(granted, core.GrantResult.Success, 100);
	await clock.advance(10);
	const reports = messages.filter(({kind}) => kind === core.FleetMessageKind.ReportResult);
	t.deepEqual(
		reports.map(({address}) => address),
		[granted.dispatcher.address],
	);
});

type OldGrantCase = {
	readonly name: string;
	/** Newest record of the granted target at the entry node; undefined if it was removed. */
	readonly record: domain.RegisteredTarget | undefined;
	readonly isEntryNodeStale?: boolean;
	readonly isUsed: boolean;
};

const OLD_GRANT_CASES: readonly OldGrantCase[] = [
	{
		name: 'of a draining target is not used',
		record: {...otherRegionTarget, readiness: domain.TargetReadiness.Draining},
		isUsed: false,
	},
	{name: 'of a removed target is not used', record: undefined, isUsed: false},
	{
		name: 'of a removed target is used by a node whose own records are old',
		record: undefined,
		isEntryNodeStale: true,
		isUsed: true,
	},
	{
		name: 'of another incarnation of a draining target is used',
		record: {...otherRegionTarget, startedAtMs: 0, readiness: domain.TargetReadiness.Draining},
		isUsed: true,
	},
];

// Guards against calls to a target that the entry node knows to be leaving, granted by a dispatcher that has lost the store.
OLD_GRANT_CASES.forEach(({name, record, isEntryNodeStale = false, isUsed}) => {
	test(`a grant ${name}`, async t => {
		const {acquire, messages, registry} = createHarness([]);
		const catalogue = {key: 'config', offset: 0, value: buildFleetCatalogue(1, [])};
		const targets = [
			{key: 'away', offset: 1, value: record},
			// Without another target, the service would have none in the region.
			{key: 'other', offset: 2, value: {...otherRegionTarget, targetId: 'other'}},
		];
		registry.apply({
			[core.RegistryTopic.Catalogue]: {records: [catalogue], nextOffset: 1, isWhole: true},
			[core.RegistryTopic.Targets]: {records: targets, nextOffset: 3, isWhole: false},
		});
		registry.setSourceLost(isEntryNodeStale);
		const answer = await acquire();
		t.is(answer.isGranted, isUsed);
		const isReturned = messages.some(({kind}) => kind === core.FleetMessageKind.ReportResult);
		t.is(isReturned, !isUsed);
	});
});

type RecordOrderCase = {
	readonly name: string;
	/** Offset of the target's record at the dispatcher. */
	readonly targetOffset: number;
	/** Newest record of the target at the entry node, whose records reach offset 10; undefined if it never had one. */
	readonly record: core.RegistryRecord<core.RegistryTopic.Targets> | undefined;
	readonly isEntryNodeStale?: boolean;
	readonly isUsed: boolean;
};

const RECORD_ORDER_CASES: readonly RecordOrderCase[] = [
	{
		name: 'of a target that was removed before this node had any records is not used',
		targetOffset: 3,
		record: undefined,
		isUsed: false,
	},
	{
		name: 'of a target that is missing from whole records is not used by a node that has lost its source',
		targetOffset: 3,
		record: undefined,
		isEntryNodeStale: true,
		isUsed: false,
	},
	{
		name: 'of a target that registered after the newest record of this node is used',
		targetOffset: 10,
		record: undefined,
		isUsed: true,
	},
	{
		name: 'of a target that was removed after the record of the dispatcher is not used',
		targetOffset: 3,
		record: {key: 'away', offset: 8, value: undefined},
		isUsed: false,
	},
	{
		name: 'of a target that was removed is not used by a node that has lost its source',
		targetOffset: 3,
		record: {key: 'away', offset: 8, value: undefined},
		isEntryNodeStale: true,
		isUsed: false,
	},
	{
		name: 'of a target that registered again after the removal known here is used',
		targetOffset: 9,
		record: {key: 'away', offset: 8, value: undefined},
		isUsed: true,
	},
	{
		name: 'of a draining target is not used by a node that has lost its source',
		targetOffset: 3,
		record: {key: 'away', offset: 8, value: {...otherRegionTarget, readiness: domain.TargetReadiness.Draining}},
		isEntryNodeStale: true,
		isUsed: false,
	},
];

// Guards against calls to a removed target through a node that started after the removal, granted by a dispatcher that stood still.
RECORD_ORDER_CASES.forEach(({name, targetOffset, record, isEntryNodeStale = false, isUsed}) => {
	test(`a grant ${name}`, async t => {
		const otherTarget = {...otherRegionTarget, targetId: 'other'};
		const {acquire, registry} = createHarness([], {otherRegionTargets: [otherTarget], targetOffset});
		const catalogue = {key: 'config', offset: 0, value: buildFleetCatalogue(1, [])};
		// A record that was removed has been in use before.
		const earlier = {key: 'away', offset: 2, value: otherRegionTarget};
		registry.apply({
			[core.RegistryTopic.Catalogue]: {records: [catalogue], nextOffset: 1, isWhole: true},
			[core.RegistryTopic.Targets]: {records: record ? [earlier, record] : [], nextOffset: 10, isWhole: false},
		});
		registry.setSourceLost(isEntryNodeStale);
		const answer = await acquire();
		t.is(answer.isGranted, isUsed);
	});
});
