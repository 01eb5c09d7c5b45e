import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as neverthrow from 'neverthrow';
import {buildGrantRequest, buildNode, buildTarget} from '../build-fleet.js';
import {buildGrantParts} from '../build-grants.js';

const OWN_REGION = 'pwani';
const OTHER_REGION = 'bara';
const otherRegionTarget = buildTarget({targetId: 'away', region: OTHER_REGION});

type Message = {readonly address: string; readonly kind: core.FleetMessageKind};

/** Creates a grant client whose region has the given targets, and peers in another region that grant every call. */
const createHarness = (ownRegionTargets: readonly domain.RegisteredTarget[]) => {
	const messages: Message[] = [];
	const grant: core.Grant = {
		isGranted: true,
		grantId: 'grant',
		target: otherRegionTarget,
		standing: core.GrantStanding.Sound,
		usualDurationMs: undefined,
	};
	const replies = {[core.FleetMessageKind.AcquireGrant]: grant, [core.FleetMessageKind.ReportResult]: {}};
	const peerClient: core.FleetPeerClient = {
		async request(address, kind) {
			messages.push({address, kind});
			return neverthrow.ok(replies[kind as keyof typeof replies] as never);
		},
	};
	const nodes = ['peer-1', 'peer-2', 'peer-3'].map(nodeId => buildNode(nodeId, {region: OTHER_REGION}));
	const {clock, grants} = buildGrantParts({targets: [...ownRegionTargets, otherRegionTarget], nodes, peerClient});
	const callRequest = {...buildGrantRequest('request'), isBulk: false};
	const acquire = async (given: Partial<core.CallGrantRequest> = {}): Promise<core.GrantAnswer> =>
		clock.runUntilSettled(grants.acquire({...callRequest, ...given}, new AbortController().signal), 10_000);
	return {clock, grants, messages, acquire};
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
