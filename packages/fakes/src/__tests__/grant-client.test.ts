import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as neverthrow from 'neverthrow';
import {buildGrantRequest, buildNode, buildTarget} from '../build-fleet.js';
import {buildGrantParts} from '../build-grants.js';

const HOME = 'pwani';
const AWAY = 'bara';
const awayTarget = buildTarget({targetId: 'away', region: AWAY});

type Message = {readonly address: string; readonly kind: core.FleetMessageKind};

/** A node whose region has the given targets, and peers in another region that grant every call. */
const createHarness = (homeTargets: readonly domain.RegisteredTarget[]) => {
	const messages: Message[] = [];
	const grant: core.Grant = {
		isGranted: true,
		grantId: 'grant',
		target: awayTarget,
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
	const nodes = ['peer-1', 'peer-2', 'peer-3'].map(nodeId => buildNode(nodeId, {region: AWAY}));
	const {clock, grants} = buildGrantParts({targets: [...homeTargets, awayTarget], nodes, peerClient});
	const wish = {...buildGrantRequest('request'), isBulk: false};
	const acquire = async (given: Partial<core.GrantWish> = {}): Promise<core.GrantAnswer> =>
		clock.runUntilSettled(grants.acquire({...wish, ...given}, new AbortController().signal), 10_000);
	return {clock, grants, messages, acquire};
};

const BUSY = buildTarget({targetId: 'home', region: HOME, slotCount: 1});

const CASES = [
	{name: 'a small call goes to the other region when the own is busy', targets: [BUSY], isBulk: false, isAway: true},
	{name: 'a large body stays where targets are busy', targets: [BUSY], isBulk: true, isAway: false},
	{name: 'a large body leaves a region without targets', targets: [], isBulk: true, isAway: true},
	{
		name: 'a large body leaves a region whose targets are all draining',
		targets: [{...BUSY, readiness: domain.TargetReadiness.Draining}],
		isBulk: true,
		isAway: true,
	},
];

CASES.forEach(({name, targets, isBulk, isAway}) => {
	test(name, async t => {
		const {acquire, messages} = createHarness(targets);
		const first = await acquire();
		t.true(first.isGranted);
		const messageCount = messages.length;
		const second = await acquire({requestId: 'second', isBulk});
		t.is(second.isGranted, isAway);
		t.is(messages.length > messageCount, isAway);
	});
});

test('a large body leaves a region whose targets the node cannot reach', async t => {
	const {acquire, grants} = createHarness([BUSY]);
	const first = await acquire();
	t.true(first.isGranted);
	grants.report(first as core.HeldGrant, core.GrantResult.Unreachable, 500);
	const second = await acquire({requestId: 'second', isBulk: true});
	t.is(second.isGranted && second.target.targetId, awayTarget.targetId);
});

test('the result of a call in another region goes to the dispatcher that granted it and to no successor', async t => {
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
