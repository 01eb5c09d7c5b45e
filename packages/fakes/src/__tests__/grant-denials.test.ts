import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as neverthrow from 'neverthrow';
import {buildGrantRequest, buildNode, buildTarget} from '../build-fleet.js';
import {buildGrantParts} from '../build-grants.js';

const OWN_REGION = 'pwani';
const OTHER_REGION = 'bara';

/** Builds a node whose own region has one target with one slot, and whose other region denies every request. */
const createHarness = (denial: core.GrantDenial) => {
	const requests: core.AcquireGrantRequest[] = [];
	const peerClient: core.FleetPeerClient = {
		async request(_address, kind, request) {
			if (kind === core.FleetMessageKind.AcquireGrant) {
				requests.push(request as core.AcquireGrantRequest);
			}

			return neverthrow.ok((kind === core.FleetMessageKind.AcquireGrant ? denial : {}) as never);
		},
	};
	const targets = [
		buildTarget({targetId: 'home', region: OWN_REGION, slotCount: 1}),
		buildTarget({targetId: 'away', region: OTHER_REGION}),
	];
	const {clock, grants} = buildGrantParts({
		targets,
		nodes: [buildNode('peer-1', {region: OTHER_REGION})],
		peerClient,
		dispatcher: {retryRatio: 2},
	});
	const acquireTogether = async (given: ReadonlyArray<Partial<core.CallGrantRequest>>): Promise<core.GrantAnswer[]> => {
		const {signal} = new AbortController();
		const answers = given.map(async fields =>
			grants.acquire({...buildGrantRequest('request'), isBulk: false, ...fields}, signal),
		);
		return clock.runUntilSettled(Promise.all(answers), 10_000);
	};

	const acquire = async (given: Partial<core.CallGrantRequest> = {}): Promise<core.GrantAnswer> =>
		(await acquireTogether([given]))[0]!;

	return {acquire, acquireTogether, grants, requests};
};

const RETRY = {attemptIndex: 1, isNewCall: false, repeatability: domain.Repeatability.Repeatable};

// Guards against a failed call that ends with its failure because another region, in which it is not counted, has no budget.
test('a retry gets the last resort of its own region when another region has no budget', async t => {
	const {acquire, grants} = createHarness({
		isGranted: false,
		refusal: core.GrantRefusal.NoBudget,
		predictedWaitMs: 0,
	});
	grants.report((await acquire()) as core.HeldGrant, core.GrantResult.Failure, 10);
	t.true((await acquire(RETRY)).isGranted);
});

// Guards against a time to retry that follows from a region in which nothing can serve the call.
test('the predicted wait is not that of a region without targets', async t => {
	const {acquire} = createHarness({isGranted: false, refusal: core.GrantRefusal.NoTarget, predictedWaitMs: 1});
	t.true((await acquire()).isGranted);
	const answer = await acquire();
	t.like(answer, {isGranted: false, refusal: core.GrantRefusal.Busy});
	t.true(!answer.isGranted && answer.predictedWaitMs > 1);
});

// Guards against callers that are refused together and told to come back at the same time, or after a third of their time.
test('calls that are refused by all regions get different times to come back, each within a third of their time', async t => {
	const {acquire, acquireTogether} = createHarness({
		isGranted: false,
		refusal: core.GrantRefusal.Busy,
		predictedWaitMs: 5000,
	});
	t.true((await acquire()).isGranted);
	const answers = await acquireTogether([{remainingMs: 9000}, {remainingMs: 9000}]);
	const roomAfterMs = answers.map(answer => (answer.isGranted ? undefined : answer.roomAfterMs));
	const isWithinThird = roomAfterMs.every(timeMs => timeMs !== undefined && timeMs <= 3000);
	t.true(isWithinThird, `${roomAfterMs.join(', ')} ms`);
	t.not(roomAfterMs[0], roomAfterMs[1]);
});
