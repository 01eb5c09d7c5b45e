import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as neverthrow from 'neverthrow';
import {buildGrantRequest, buildNode, buildTarget} from '../build-fleet.js';
import {buildGrantParts} from '../build-grants.js';
import {createVirtualClock} from '../virtual-clock.js';

const OWN_REGION = 'pwani';
const OTHER_REGION = 'bara';
const LINK_DELAY_MS = 20;
const WORK_MS = 300;

const OWN_TARGET = buildTarget({targetId: 'home', region: OWN_REGION, slotCount: 1});
const AWAY_TARGET = buildTarget({targetId: 'away', region: OTHER_REGION});
const GRANT: core.Grant = {isGranted: true, grantId: 'grant', target: AWAY_TARGET, standing: core.GrantStanding.Sound};
const BUSY: core.GrantDenial = {isGranted: false, refusal: core.GrantRefusal.Busy, predictedWaitMs: 5000};

type HarnessOptions = {
	readonly targets?: readonly domain.RegisteredTarget[];
	/** Reply of the other region's dispatchers; undefined if they are lost. */
	readonly readReply: () => core.AcquireGrantReply | undefined;
};

/** Creates a grant client that dispatches its own region, and the dispatchers of another region. */
const createHarness = ({targets = [OWN_TARGET, AWAY_TARGET], readReply}: HarnessOptions) => {
	const clock = createVirtualClock();
	const requests: core.AcquireGrantRequest[] = [];
	const peerClient: core.FleetPeerClient = {
		async request(_address, kind, request, {signal}) {
			if (kind === core.FleetMessageKind.AcquireGrant) {
				requests.push(request as core.AcquireGrantRequest);
			}

			const reply = readReply();
			await clock.sleep(reply ? 2 * LINK_DELAY_MS : 60_000, signal);
			return reply
				? neverthrow.ok((kind === core.FleetMessageKind.AcquireGrant ? reply : {}) as never)
				: neverthrow.err({kind: core.PeerErrorKind.Lost, detail: 'lost'});
		},
	};
	const nodes = ['peer-1', 'peer-2'].map(nodeId => buildNode(nodeId, {region: OTHER_REGION}));
	const {grants} = buildGrantParts({targets, nodes, peerClient, clock});
	const acquire = async (given: Partial<core.CallGrantRequest> = {}) => {
		const startedAtMs = clock.monotonicMs();
		const call = {...buildGrantRequest('request', {remainingMs: 4000}), isBulk: false, ...given};
		const answer = await clock.runUntilSettled(grants.acquire(call, new AbortController().signal), 20_000);
		return {answer, tookMs: clock.monotonicMs() - startedAtMs};
	};

	/** Takes the only slot of the own region, whose calls are known to take `WORK_MS`. */
	const fillOwnRegion = async (): Promise<void> => {
		const first = await acquire();
		grants.report(first.answer as core.HeldGrant, core.GrantResult.Success, WORK_MS);
		await acquire({remainingMs: 60_000});
	};

	return {clock, requests, acquire, fillOwnRegion};
};

// Guards against a call that waits in a region which has said that it cannot serve it in time.
test('a call that its own region cannot serve in time goes to the other region without waiting', async t => {
	const {acquire, fillOwnRegion, requests} = createHarness({readReply: () => GRANT});
	await fillOwnRegion();
	const {answer, tookMs} = await acquire({objectiveLeftMs: WORK_MS * 1.6});
	t.is(answer.isGranted && answer.target.targetId, 'away');
	t.true(tookMs <= 2 * LINK_DELAY_MS, `${tookMs} ms`);
	t.like(requests[0], {isFromOtherRegion: true, bodyBytes: undefined});
});

// Guards against calls that give up a slot of their own region, or wait for it, with time to spare in neither.
test('a call that can wait stays in its region while that meets its objective', async t => {
	const {acquire, fillOwnRegion, requests} = createHarness({readReply: () => GRANT});
	await fillOwnRegion();
	const {tookMs} = await acquire({objectiveLeftMs: 3000});
	t.true(tookMs >= WORK_MS, `${tookMs} ms`);
	t.is(requests.length, 1);
});

// Guards against a wasted round trip for the last resort, and against a time to retry that holds for one region only.
test('when both regions are full, the other one is asked once, and the shortest wait of both is told', async t => {
	const {acquire, fillOwnRegion, requests} = createHarness({readReply: () => ({...BUSY, predictedWaitMs: 200})});
	await fillOwnRegion();
	const {answer} = await acquire({objectiveLeftMs: WORK_MS * 1.6, remainingMs: 900});
	t.false(answer.isGranted);
	t.is(requests.length, 1);
	t.true(!answer.isGranted && answer.predictedWaitMs <= 200);
});

// Guards against a round trip for each call to a region that has just said that it is full.
test('a full region is not asked again at once, and is asked again later', async t => {
	const {clock, acquire, fillOwnRegion, requests} = createHarness({readReply: () => BUSY});
	await fillOwnRegion();
	const call = {objectiveLeftMs: WORK_MS * 1.6, remainingMs: 900};
	await acquire(call);
	await acquire(call);
	t.is(requests.length, 1);
	await clock.advance(3000);
	await acquire(call);
	t.is(requests.length, 2);
});

// Guards against calls that each wait for a lost region, and against a time to retry that a lost region would have to keep.
test('a lost region is left out at once after the first call, and from the time to retry', async t => {
	const {acquire, fillOwnRegion, requests} = createHarness({
		readReply: () => undefined,
		targets: [OWN_TARGET, AWAY_TARGET],
	});
	await fillOwnRegion();
	const call = {objectiveLeftMs: WORK_MS * 1.6, remainingMs: 900};
	const first = await acquire({...call, excludedTargetIds: ['away']});
	const askedCount = requests.length;
	t.is(askedCount, 2);
	const second = await acquire(call);
	t.is(requests.length, askedCount);
	t.false(first.answer.isGranted);
	t.true(!second.answer.isGranted && second.answer.predictedWaitMs >= WORK_MS);
	t.true(second.tookMs <= 600, `${second.tookMs} ms`);
});

// Guards against calls without any other way that are refused because an earlier one found no slot.
test('a call whose service has targets in the other region only is sent there, again soon after a refusal', async t => {
	const replies: core.AcquireGrantReply[] = [BUSY];
	const {clock, acquire, requests} = createHarness({targets: [AWAY_TARGET], readReply: () => replies.shift() ?? GRANT});
	await acquire({remainingMs: 900});
	await clock.advance(300);
	const {answer} = await acquire();
	t.true(answer.isGranted);
	t.true(requests.length <= 3, `${requests.length}`);
});

// Guards against a retry that is refused by its own region's budget although another region has one left.
test('a retry without budget in its own region asks the other one', async t => {
	const {acquire} = createHarness({readReply: () => GRANT});
	const {answer} = await acquire({attemptIndex: 1, isNewCall: false});
	t.is(answer.isGranted && answer.target.targetId, 'away');
});
