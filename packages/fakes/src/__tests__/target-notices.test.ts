import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as neverthrow from 'neverthrow';
import {buildGrantRequest, buildNode, buildTarget} from '../build-fleet.js';
import {buildGrantParts} from '../build-grants.js';

const SERVICE = 'malipo';
const REGION = 'pwani';
const PAUSE_MS = 3000;

/** Time after which a target without calls counts as unused. */
const UNUSED_AFTER_MS = 1800;

/** Longer than the platform's time after which a leaving target must get no calls. */
const LONG_AFTER_MS = 120_000;

/** So many that one of them ranks before the node itself. */
const PEER_IDS = Array.from({length: 8}, (_, index) => `peer-${index}`);

const LEAVING: core.TargetAnnouncement = {isLeaving: true};

const buildPause = (text: string, requestedMs: number): core.TargetAnnouncement => ({
	isLeaving: false,
	pause: {text, requestedMs},
});

type Message = {
	readonly address: string;
	readonly kind: core.FleetMessageKind;
	readonly request: {readonly targetNotices?: readonly core.TargetNotice[]};
};

/** Creates a node with two targets. Its peers answer with `reply`; without one they cannot be reached. */
const createHarness = (
	given: {
		nodeIds?: readonly string[];
		targetIds?: readonly string[];
		slotCount?: number;
		startedAtMs?: number;
	} = {},
) => {
	const messages: Message[] = [];
	const peers: {reply?: core.AcquireGrantReply} = {};
	const peerClient: core.FleetPeerClient = {
		async request(address, kind, request) {
			messages.push({address, kind, request: request as Message['request']});
			return peers.reply === undefined
				? neverthrow.err({kind: core.PeerErrorKind.Unreachable, detail: 'scripted'})
				: neverthrow.ok(peers.reply as never);
		},
	};
	const {slotCount = 1, startedAtMs = 1, targetIds = ['a', 'b']} = given;
	const targets = targetIds.map(targetId => buildTarget({targetId, slotCount, startedAtMs}));
	const nodes = (given.nodeIds ?? []).map(nodeId => buildNode(nodeId));
	const parts = buildGrantParts({targets, nodes, peerClient});
	const {clock, grants, registry, dispatchers} = parts;
	const {signal} = new AbortController();
	let requestCount = 0;
	const acquire = async (request: Partial<core.CallGrantRequest> = {}): Promise<core.GrantAnswer> => {
		const callRequest = {...buildGrantRequest(`request-${requestCount++}`), isBulk: false, ...request};
		return clock.runUntilSettled(grants.acquire(callRequest, signal), 10_000);
	};

	/** Acquires grants for two calls at once, and returns those that were granted. */
	const acquireTwo = async (): Promise<core.HeldGrant[]> => {
		const answers = [await acquire(), await acquire()];
		return answers.filter(answer => answer.isGranted);
	};

	/** Acquires a grant of the given target. */
	const acquireOf = async (targetId: string): Promise<core.HeldGrant> => {
		const held = await acquireTwo();
		held
			.filter(({target}) => target.targetId !== targetId)
			.forEach(grant => {
				grants.report(grant, core.GrantResult.Cancelled, 0);
			});
		return held.find(({target}) => target.targetId === targetId)!;
	};

	/** Targets that two calls at once are granted. */
	const listGrantedIds = async (): Promise<string[]> => {
		const held = await acquireTwo();
		held.forEach(grant => {
			grants.report(grant, core.GrantResult.Success, 100);
		});
		return held.map(({target}) => target.targetId).toSorted();
	};

	const register = (target: domain.RegisteredTarget, offset: number): void => {
		registry.apply({
			[core.RegistryTopic.Targets]: {
				records: [{key: target.targetId, offset, value: target}],
				nextOffset: offset + 1,
				isWhole: false,
			},
		});
	};

	const dispatcher = dispatchers.get(SERVICE, REGION);
	return {...parts, dispatcher, messages, peers, targets, acquire, acquireOf, listGrantedIds, register};
};

// Guards against calls to a target that has said that it is leaving while its record still reads ready.
test('a target that announced that it is leaving gets no new call until another incarnation is registered', async t => {
	const {clock, grants, register, targets, acquireOf, listGrantedIds} = createHarness();
	t.deepEqual(await listGrantedIds(), ['a', 'b']);
	grants.report(await acquireOf('a'), core.GrantResult.Success, 100, LEAVING);
	t.deepEqual(await listGrantedIds(), ['b']);
	await clock.advance(LONG_AFTER_MS);
	register({...targets[0]!, slotCount: 2}, 5);
	t.deepEqual(await listGrantedIds(), ['b']);
	register({...targets[0]!, startedAtMs: 2}, 6);
	t.deepEqual(await listGrantedIds(), ['a', 'b']);
});

test('a failed attempt whose target announced that it is leaving counts too', async t => {
	const {grants, acquireOf, listGrantedIds} = createHarness();
	grants.report(await acquireOf('a'), core.GrantResult.Broken, 100, LEAVING);
	t.deepEqual(await listGrantedIds(), ['b']);
});

test('leaving targets are not granted as a last resort', async t => {
	const {grants, acquireOf, acquire} = createHarness();
	grants.report(await acquireOf('a'), core.GrantResult.Success, 100, LEAVING);
	grants.report(await acquireOf('b'), core.GrantResult.Success, 100, LEAVING);
	t.like(await acquire(), {isGranted: false, refusal: core.GrantRefusal.NoTarget});
});

test('a target without a start time counts as leaving for a minute', async t => {
	const {clock, grants, acquireOf, listGrantedIds} = createHarness({startedAtMs: 0});
	grants.report(await acquireOf('a'), core.GrantResult.Success, 100, LEAVING);
	t.deepEqual(await listGrantedIds(), ['b']);
	await clock.advance(LONG_AFTER_MS);
	t.deepEqual(await listGrantedIds(), ['a', 'b']);
});

// Guards against a successor that sends calls to targets whose announcements only its predecessor had received.
test('a new dispatcher gets the notices in force with the first request, and only with that', async t => {
	const {clock, grants, peers, messages, acquireOf, acquire} = createHarness({nodeIds: PEER_IDS});
	grants.report(await acquireOf('a'), core.GrantResult.Success, 100, LEAVING);
	// The peers count as reachable again.
	await clock.advance(LONG_AFTER_MS);
	messages.length = 0;
	const target = buildTarget({targetId: 'b'});
	peers.reply = {isGranted: true, grantId: 'grant', target, standing: core.GrantStanding.Sound};
	await acquire();
	await acquire();
	const told = messages
		.filter(({kind}) => kind === core.FleetMessageKind.AcquireGrant)
		.map(({request}) => request.targetNotices!.map(({targetId, isLeaving}) => [targetId, isLeaving]));
	t.true(told.length >= 2);
	t.deepEqual([told[0], ...told.slice(-1)], [[['a', true]], []]);
});

test('a dispatcher that is told that a target is leaving grants it to no node', async t => {
	const {dispatcher, targets} = createHarness({slotCount: 4});
	const {signal} = new AbortController();
	const [{targetId, startedAtMs}] = targets as [domain.RegisteredTarget];
	const targetNotices = [{targetId, startedAtMs, isLeaving: true, pauseLeftMs: 0}];
	const replies = [
		await dispatcher.acquire(buildGrantRequest('first', {targetNotices}), signal),
		...(await Promise.all(
			['entry-2', 'entry-3', 'entry-4'].map(async nodeId =>
				dispatcher.acquire(buildGrantRequest(nodeId, {nodeId}), signal),
			),
		)),
	];
	t.deepEqual(
		replies.map(reply => reply.isGranted && reply.target.targetId),
		['b', 'b', 'b', 'b'],
	);
});

// Guards against a dispatcher of an earlier version, and against a grant that was on its way when the target announced itself.
test('a grant of a leaving target is returned, and the call is not sent', async t => {
	const {clock, grants, peers, messages, targets, acquireOf, acquire} = createHarness({nodeIds: PEER_IDS});
	grants.report(await acquireOf('a'), core.GrantResult.Success, 100, LEAVING);
	peers.reply = {isGranted: true, grantId: 'grant', target: targets[0]!, standing: core.GrantStanding.Sound};
	await clock.advance(LONG_AFTER_MS);
	messages.length = 0;
	const answer = await acquire();
	t.false(answer.isGranted && answer.target.targetId === 'a');
	const results = messages
		.filter(({kind}) => kind === core.FleetMessageKind.ReportResult)
		.map(({request}) => (request as core.ReportResultRequest).result);
	t.true(results.length > 0);
	t.true(results.every(result => result === core.GrantResult.Cancelled));
});

test('a target that asked for a pause gets no call until its end, and then gets calls again', async t => {
	const {clock, grants, dispatcher, acquireOf, listGrantedIds} = createHarness();
	grants.report(await acquireOf('a'), core.GrantResult.Shed, 5, buildPause('3', PAUSE_MS));
	t.is(dispatcher.countStandings().get(core.GrantStanding.Paused), 1);
	t.deepEqual(await listGrantedIds(), ['b']);
	await clock.advance(PAUSE_MS / 2);
	t.deepEqual(await listGrantedIds(), ['b']);
	await clock.advance(PAUSE_MS / 2);
	t.deepEqual(await listGrantedIds(), ['a', 'b']);
	t.is(dispatcher.countStandings().get(core.GrantStanding.Sound), 2);
});

test('a call waits for a pause only if all targets asked for one, and is refused with the time until its end', async t => {
	const {clock, grants, acquireOf, acquire} = createHarness();
	grants.report(await acquireOf('a'), core.GrantResult.Shed, 5, buildPause('3', PAUSE_MS));
	const startedAtMs = clock.monotonicMs();
	const other = await acquire();
	t.true(other.isGranted);
	t.is(clock.monotonicMs(), startedAtMs);
	grants.report(other as core.HeldGrant, core.GrantResult.Shed, 5, buildPause('3', PAUSE_MS));
	const refused = await acquire();
	t.is(clock.monotonicMs(), startedAtMs);
	t.like(refused, {isGranted: false, refusal: core.GrantRefusal.Busy});
	t.true(!refused.isGranted && refused.predictedWaitMs >= PAUSE_MS);
});

test('a call waits out a pause that ends within its wait limit', async t => {
	const {grants, acquireOf, acquire} = createHarness();
	for (const targetId of ['a', 'b']) {
		grants.report(await acquireOf(targetId), core.GrantResult.Shed, 5, buildPause('0.05', 50));
	}

	const answer = await acquire({objectiveLeftMs: 10_000, remainingMs: 20_000});
	t.true(answer.isGranted);
});

const PAUSE_TEXTS = [
	{text: '2.5', requestedMs: 2500, blockedAfterMs: 2400, freeAfterMs: 2600},
	{text: '0', requestedMs: 0, blockedAfterMs: undefined, freeAfterMs: 0},
	{text: '-4', requestedMs: -4000, blockedAfterMs: 900, freeAfterMs: 1100},
	{text: 'Fri, 01 Jan 2027 00:00:00 GMT', requestedMs: Number.NaN, blockedAfterMs: 900, freeAfterMs: 1100},
	{text: '', requestedMs: Number.NaN, blockedAfterMs: 900, freeAfterMs: 1100},
	{text: '86400', requestedMs: 86_400_000, blockedAfterMs: 59_900, freeAfterMs: 60_100},
	{text: '1e999', requestedMs: Number.POSITIVE_INFINITY, blockedAfterMs: 59_900, freeAfterMs: 60_100},
];

// Guards against a pause without end, and against none at all, after a value that is not a time in seconds.
PAUSE_TEXTS.forEach(({text, requestedMs, blockedAfterMs, freeAfterMs}) => {
	test(`a pause of "${text}" seconds is bounded`, async t => {
		const {clock, grants, notices, acquireOf} = createHarness();
		const grant = await acquireOf('a');
		grants.report(grant, core.GrantResult.Shed, 5, buildPause(text, requestedMs));
		if (blockedAfterMs !== undefined) {
			await clock.advance(blockedAfterMs);
			t.true(notices.isBlocked(grant.target));
		}

		await clock.advance(freeAfterMs - (blockedAfterMs ?? 0));
		t.false(notices.isBlocked(grant.target));
	});
});

test('a paused target is no evidence of sickness and gets no call to meet the floor', async t => {
	const {clock, dispatcher, grants, acquire, acquireOf} = createHarness();
	grants.report(await acquireOf('a'), core.GrantResult.Shed, 5, buildPause('30', 30_000));
	const held = await acquire();
	// Refused calls enforce the floor, which asks for a call to each target that was unused for 1.7 s.
	for (let index = 0; index < 20; index++) {
		await clock.advance(100);
		t.false((await acquire()).isGranted);
	}

	grants.report(held as core.HeldGrant, core.GrantResult.Success, 100);
	const next = await acquire();
	t.is(next.isGranted && next.target.targetId, 'b');
	t.is(dispatcher.countStandings().get(core.GrantStanding.SetAside), undefined);
	t.is(dispatcher.countStandings().get(core.GrantStanding.Paused), 1);
});

// Guards against calls to gray targets in place of the paused ones, which would not serve their callers either.
test('paused targets do not count among those that are unused by choice', async t => {
	const targetIds = Array.from({length: 10}, (_, index) => `target-${index}`);
	const {clock, dispatcher, notices} = createHarness({targetIds});
	const {signal} = new AbortController();
	const [paused, gray, sound] = [targetIds.slice(0, 3), targetIds.slice(3, 5), targetIds.slice(5)];
	paused.forEach(targetId => {
		notices.record({targetId, startedAtMs: 1, isLeaving: false, pauseLeftMs: 60_000}, 'entry-1');
	});
	const acquireOnly = async (allowedIds: readonly string[]): Promise<core.AcquireGrantReply> => {
		const excludedTargetIds = targetIds.filter(targetId => !allowedIds.includes(targetId));
		return dispatcher.acquire(buildGrantRequest('request', {excludedTargetIds}), signal);
	};

	for (const targetId of [...gray, ...gray, ...gray]) {
		const reply = await acquireOnly([targetId]);
		if (reply.isGranted) {
			const result = core.GrantResult.Failure;
			const report = {...buildGrantRequest('request'), grantId: reply.grantId, targetId, result, durationMs: 100};
			dispatcher.report(report);
		}
	}

	t.is(dispatcher.countStandings().get(core.GrantStanding.SetAside), gray.length);
	await clock.advance(UNUSED_AFTER_MS);
	for (const targetId of sound) {
		t.true((await acquireOnly([targetId])).isGranted);
	}

	// Two of the seven targets that do not pause may be without calls. The first refusals enforce the floor.
	for (let index = 0; index < 8; index++) {
		t.false((await acquireOnly(targetIds)).isGranted);
	}
});
