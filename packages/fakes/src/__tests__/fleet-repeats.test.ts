import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as neverthrow from 'neverthrow';
import {buildFleetCatalogue, buildHostRoute, buildTarget} from '../build-fleet.js';
import {createRegistryFleet} from '../registry-fleet.js';
import {createSeededRandom} from '../seeded-random.js';
import {createVirtualClock} from '../virtual-clock.js';

/** Bounds of the platform, for which the default options of the dispatchers are made. */
const BUDGET_RATIO = 0.2;
const BUDGET_SLACK_COUNT = 62;
const WINDOW_MS = 10_000;

const NODE_COUNT = 24;
const TARGET_COUNT = 30;
const CALLS_PER_SECOND = 75;
const RUN_MS = 40_000;
const SETTLE_MS = 5000;
const WORK_MS = 260;
const REFUSAL_MS = 5;
const SHED_RATIO = 0.55;
const MS_PER_SECOND = 1000;

type Arrival = {readonly atMs: number; readonly isRepeat: boolean};

type Fleet = ReturnType<typeof createRegistryFleet> & {
	/** Loses the replies to all later requests for grants. */
	loseGrants(): void;
};

type Disturbance = (fleet: Fleet) => Promise<void>;

/** A fleet whose targets refuse more than half of their calls. */
const playShedding = async (disturb: Disturbance | undefined) => {
	const grantReplies = {isLost: false};
	const clock = createVirtualClock();
	const random = createSeededRandom(20);
	const arrivals: Arrival[] = [];
	const callTimesMs: number[] = [];
	const seen = new Set<string>();
	const targetClient: core.FleetTargetClient = {
		async send({call}, signal) {
			arrivals.push({atMs: clock.monotonicMs(), isRepeat: seen.has(call.requestId)});
			seen.add(call.requestId);
			const isShed = random.fraction() < SHED_RATIO;
			await clock.sleep(isShed ? REFUSAL_MS : WORK_MS * (0.5 + random.fraction()), signal);
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
		async carryReply(_senderId, kind, reply, {signal}) {
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
	const arrive = async (): Promise<void> => {
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

	void arrive();
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
	const repeatTimesMs = arrivals.filter(({isRepeat}) => isRepeat).map(({atMs}) => atMs);
	// The platform takes the calls of the window, of the one before it or of the one half a window earlier.
	const countCalls = (fromMs: number): number =>
		Math.max(...[0, WINDOW_MS / 2, WINDOW_MS].map(earlierMs => countWithin(callTimesMs, fromMs - earlierMs)));
	const windows = repeatTimesMs.map(fromMs => ({
		fromMs,
		repeatCount: countWithin(repeatTimesMs, fromMs),
		allowedCount: BUDGET_RATIO * countCalls(fromMs) + BUDGET_SLACK_COUNT,
	}));
	const worst = windows.toSorted(
		(left, right) => right.repeatCount - right.allowedCount - (left.repeatCount - left.allowedCount),
	)[0]!;
	return {worst, repeatCount: repeatTimesMs.length, callCount: callTimesMs.length};
};

const STEADY_MS = 10_000;
const RESTART_GAP_MS = 800;
const DOWN_MS = 500;

/** Kills every node in turn, and starts it again. */
const restartInTurn: Disturbance = async ({clock, nodes, cutNodeIds, startNode}) => {
	await clock.sleep(STEADY_MS);
	for (const [index, nodeId] of [...nodes.keys()].entries()) {
		cutNodeIds.add(nodeId);
		await clock.sleep(DOWN_MS);
		cutNodeIds.delete(nodeId);
		startNode(nodeId, NODE_COUNT + index);
		await clock.sleep(RESTART_GAP_MS - DOWN_MS);
	}
};

const loseGrants: Disturbance = async fleet => {
	await fleet.clock.sleep(STEADY_MS);
	fleet.loseGrants();
};

const CASES: ReadonlyArray<{readonly name: string; readonly disturb?: Disturbance}> = [
	{name: 'nothing else happens'},
	{name: 'nodes are restarted in turn', disturb: restartInTurn},
	{name: 'replies to requests for grants are lost', disturb: loseGrants},
];

// Guards against repeats beyond the fleet's budget when several nodes grant calls of one group, each with an allowance of its own.
CASES.forEach(({name, disturb}) => {
	test(`repeats stay within the fleet's budget while all targets shed and ${name}`, async t => {
		const {worst, repeatCount, callCount} = await playShedding(disturb);
		t.log(`${callCount} calls, ${repeatCount} repeats, worst window ${JSON.stringify(worst)}`);
		t.true(worst.repeatCount <= worst.allowedCount);
	});
});
