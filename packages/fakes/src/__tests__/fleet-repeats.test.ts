import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as neverthrow from 'neverthrow';
import {buildFleetCatalogue, buildHostRoute, buildTarget} from '../build-fleet.js';
import {createRegistryFleet} from '../registry-fleet.js';
import {createSeededRandom} from '../seeded-random.js';
import {createVirtualClock} from '../virtual-clock.js';

/** Retry limits of the platform, which the default dispatcher options must keep to. */
const RETRY_BUDGET_RATIO = 0.2;
const RETRY_BUDGET_SLACK_COUNT = 62;
const WINDOW_MS = 10_000;

const NODE_COUNT = 24;
const TARGET_COUNT = 30;
const CALLS_PER_SECOND = 75;
const RUN_MS = 40_000;
const SETTLE_MS = 5000;
const MEAN_WORK_MS = 260;
const REFUSAL_MS = 5;
const SHED_CALL_RATIO = 0.55;
const MS_PER_SECOND = 1000;

type Attempt = {readonly atMs: number; readonly isRetry: boolean};

type Fleet = ReturnType<typeof createRegistryFleet> & {
	/** Makes the replies to all later grant requests get lost; the requests themselves are processed. */
	loseGrants(): void;
};

type Disturbance = (fleet: Fleet) => Promise<void>;

/** Simulates a fleet whose targets refuse more than half of their calls, and compares its retries with the limit. */
const simulateShedding = async (disturb: Disturbance | undefined) => {
	const grantReplies = {isLost: false};
	const clock = createVirtualClock();
	const random = createSeededRandom(20);
	const attempts: Attempt[] = [];
	const callTimesMs: number[] = [];
	const seenRequestIds = new Set<string>();
	const targetClient: core.FleetTargetClient = {
		async send({call}, signal) {
			attempts.push({atMs: clock.monotonicMs(), isRetry: seenRequestIds.has(call.requestId)});
			seenRequestIds.add(call.requestId);
			const isShed = random.fraction() < SHED_CALL_RATIO;
			await clock.sleep(isShed ? REFUSAL_MS : MEAN_WORK_MS * (0.5 + random.fraction()), signal);
			return neverthrow.ok({
				meaning: isShed ? core.AnswerMeaning.NotRun : core.AnswerMeaning.Completed,
				answer: {status: isShed ? 503 : 200, headers: [], body: new Uint8Array(0)},
			});
		},
	};
	const fleet = createRegistryFleet({
		nodeCount: NODE_COUNT,
		clock,
		targetClient,
		async deliverReply(_senderId, kind, reply, {signal}) {
			if (kind === core.FleetMessageKind.AcquireGrant && grantReplies.isLost) {
				await clock.sleep(RUN_MS, signal);
			}

			return reply;
		},
		fillStore(store) {
			store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(1, [buildHostRoute()]));
			Array.from({length: TARGET_COUNT}, (_, index) => `target-${index}`).forEach(targetId => {
				store.write(core.RegistryTopic.Targets, targetId, buildTarget({targetId}));
			});
		},
	});
	const buildCall = (requestId: string): domain.ProxiedCall => ({
		requestId,
		host: 'gateway.example',
		method: 'POST',
		pathAndQuery: '/clearances/17',
		headers: [],
		body: undefined,
		bodyLengthBytes: undefined,
		deadlineMs: 6000,
		receivedAtMs: clock.monotonicMs(),
	});
	const generateCalls = async (): Promise<void> => {
		for (let index = 0; clock.monotonicMs() < RUN_MS; index++) {
			const ready = [...fleet.nodes.values()].filter(node => node.isReady() && !fleet.cutNodeIds.has(node.self.nodeId));
			const node = ready[Math.floor(random.fraction() * ready.length)];
			if (node) {
				callTimesMs.push(clock.monotonicMs());
				void node.proxy.handle(buildCall(`request-${index}`), new AbortController().signal);
			}

			await clock.sleep((-Math.log(1 - random.fraction()) * MS_PER_SECOND) / CALLS_PER_SECOND);
		}
	};

	void generateCalls();
	void disturb?.({
		...fleet,
		loseGrants() {
			grantReplies.isLost = true;
		},
	});
	await clock.advance(RUN_MS + SETTLE_MS);
	fleet.stop();
	const countWithin = (timesMs: readonly number[], fromMs: number): number =>
		timesMs.filter(atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length;
	const retryTimesMs = attempts.filter(({isRetry}) => isRetry).map(({atMs}) => atMs);
	// The platform counts the calls of this window, the previous one or the one half a window earlier, whichever has most.
	const countCalls = (fromMs: number): number =>
		Math.max(...[0, WINDOW_MS / 2, WINDOW_MS].map(earlierMs => countWithin(callTimesMs, fromMs - earlierMs)));
	const windows = retryTimesMs.map(fromMs => ({
		fromMs,
		retryCount: countWithin(retryTimesMs, fromMs),
		allowedCount: RETRY_BUDGET_RATIO * countCalls(fromMs) + RETRY_BUDGET_SLACK_COUNT,
	}));
	const worst = windows.toSorted(
		(left, right) => right.retryCount - right.allowedCount - (left.retryCount - left.allowedCount),
	)[0]!;
	return {worst, retryCount: retryTimesMs.length, callCount: callTimesMs.length};
};

const DISTURBANCE_START_MS = 10_000;
const RESTART_INTERVAL_MS = 800;
const DOWN_MS = 500;

/** Kills the nodes one after the other, and restarts each as a new incarnation after `DOWN_MS`. */
const restartOneByOne: Disturbance = async ({clock, nodes, cutNodeIds, startNode}) => {
	await clock.sleep(DISTURBANCE_START_MS);
	for (const [index, nodeId] of [...nodes.keys()].entries()) {
		cutNodeIds.add(nodeId);
		await clock.sleep(DOWN_MS);
		cutNodeIds.delete(nodeId);
		startNode(nodeId, NODE_COUNT + index);
		await clock.sleep(RESTART_INTERVAL_MS - DOWN_MS);
	}
};

const loseGrants: Disturbance = async fleet => {
	await fleet.clock.sleep(DISTURBANCE_START_MS);
	fleet.loseGrants();
};

const CASES: ReadonlyArray<{readonly name: string; readonly disturb?: Disturbance}> = [
	{name: 'there is no other fault'},
	{name: 'nodes are restarted one after the other', disturb: restartOneByOne},
	{name: 'replies to grant requests are lost', disturb: loseGrants},
];

// Guards against retries beyond the fleet's budget when several nodes dispatch one group, each with an allowance of its own.
CASES.forEach(({name, disturb}) => {
	test(`retries stay within the fleet's retry budget while all targets shed calls and ${name}`, async t => {
		const {worst, retryCount, callCount} = await simulateShedding(disturb);
		t.log(`${callCount} calls, ${retryCount} retries, worst window ${JSON.stringify(worst)}`);
		t.true(worst.retryCount <= worst.allowedCount);
	});
});
