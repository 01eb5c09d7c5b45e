import {Buffer} from 'node:buffer';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import {buildFleetCatalogue, buildHostRoute, buildNode, buildTarget} from '../build-fleet.js';
import {buildGrantParts} from '../build-grants.js';
import {createSeededRandom} from '../seeded-random.js';
import {createVirtualClock} from '../virtual-clock.js';
import {createDraws, type Draws} from './draws.js';
import {createModelledPeers} from './modelled-peers.js';
import {createModelledTargets} from './modelled-targets.js';
import {createPausableClock} from './pausable-clock.js';

/** How a call ended, and what its targets did until long after. */
export type SearchedCall = {
	readonly requestId: string;
	readonly isSingle: boolean;
	readonly attemptLimit: number;
	readonly outcome: domain.ProxyOutcome;
	readonly reason?: domain.RefusalReason;
	readonly endedAtMs: number;
	/** Whether an attempt was under way when the call ended. */
	readonly wasUnderWay: boolean;
	readonly attemptCount: number;
	/** Times at which targets began to run the call. */
	readonly ranAtMs: readonly number[];
};

const CALL_COUNT = 16;
const ARRIVAL_LIMIT_MS = 2500;
/** Later than any target begins to run a call. */
const WATCH_MS = 12_000;

const SINGLE_PREFIX = '/clearances/';
const REPEATABLE_PREFIX = '/lookups/';

type CallPlan = {
	readonly requestId: string;
	readonly isSingle: boolean;
	readonly arrivesAtMs: number;
	readonly deadlineMs: number | undefined;
	readonly leavesAfterMs: number | undefined;
	readonly body: domain.ProxiedCall['body'];
};

async function* streamOneChunk(): AsyncGenerator<Uint8Array> {
	yield Buffer.from('body');
}

const createOneChunkBody = () => core.createHeldBody(streamOneChunk(), {limitBytes: 0});

const drawRoute = (draws: Draws, given: Partial<domain.HostRoute>): domain.HostRoute =>
	buildHostRoute({
		...given,
		isBulk: draws.chance(0.2),
		timeoutMs: 300 + draws.timeMs(2500),
		latencyObjectiveMs: draws.pick([50, 300, 1200]),
		attemptLimit: draws.pick([1, 2, 3, 4]),
	});

const drawCall = (draws: Draws, index: number): CallPlan => ({
	requestId: `request-${index}`,
	isSingle: draws.chance(0.7),
	arrivesAtMs: draws.timeMs(ARRIVAL_LIMIT_MS),
	deadlineMs: draws.chance(0.5) ? 1 + draws.timeMs(1500) : undefined,
	leavesAfterMs: draws.chance(0.15) ? draws.timeMs(800) : undefined,
	body: draws.pick([() => undefined, () => new Uint8Array(10), createOneChunkBody])(),
});

/** Plays random calls, faults, pauses and stops through the decision code of a node. */
export const searchRefusals = async (seed: number): Promise<readonly SearchedCall[]> => {
	const draws = createDraws(createSeededRandom(seed));
	const world = createVirtualClock();
	const node = createPausableClock(world, draws);
	const targetIds = ['a', 'b', 'c', 'd', 'e'].slice(0, draws.pick([1, 2, 3, 5]));
	const peerIds = ['peer-1', 'peer-2'].slice(0, draws.pick([0, 1, 2])).map(peerId => `${peerId}-${seed}`);
	const peerClient = createModelledPeers({readDispatchers: () => peer.dispatchers, node, draws});
	const options = {
		targets: targetIds.map(targetId => buildTarget({targetId, slotCount: draws.pick([1, 2, 4])})),
		nodes: peerIds.map(peerId => buildNode(peerId)),
		peerClient,
		dispatcher: {retryRatio: draws.pick([0.2, 3])},
	};
	const peer = buildGrantParts({...options, clock: world});
	const self = buildGrantParts({...options, clock: node});
	const routes = [
		drawRoute(draws, {routeId: 'single', pathPrefix: SINGLE_PREFIX, repeatability: domain.Repeatability.Single}),
		drawRoute(draws, {
			routeId: 'repeatable',
			pathPrefix: REPEATABLE_PREFIX,
			repeatability: domain.Repeatability.Repeatable,
		}),
	];
	const catalogue = [{key: 'config', offset: 0, value: buildFleetCatalogue(1, routes)}];
	self.registry.apply({[core.RegistryTopic.Catalogue]: {records: catalogue, nextOffset: 1, isWhole: false}});
	const targets = createModelledTargets({world, node, draws});
	let stopPlan: core.StopPlan | undefined;
	const proxy = core.createCallProxy({
		...self,
		targetClient: targets.client,
		readStopPlan: () => stopPlan,
	});

	const play = async (plan: CallPlan): Promise<SearchedCall> => {
		const {requestId, isSingle, deadlineMs, body} = plan;
		const caller = new AbortController();
		const leave = async (): Promise<void> => {
			if (plan.leavesAfterMs !== undefined) {
				await node.sleep(plan.leavesAfterMs);
				caller.abort(core.STOP_REASON);
			}
		};

		await node.sleep(plan.arrivesAtMs);
		void leave();
		const ending = await proxy.handle(
			{
				requestId,
				host: 'gateway.example',
				method: 'POST',
				pathAndQuery: isSingle ? SINGLE_PREFIX : REPEATABLE_PREFIX,
				headers: [],
				body,
				bodyLengthBytes: undefined,
				deadlineMs,
				receivedAtMs: node.monotonicMs(),
			},
			caller.signal,
		);
		const endedAtMs = world.monotonicMs();
		const wasUnderWay = targets.isUnderWay(requestId);
		await world.sleep(WATCH_MS);
		const attempts = targets.attempts.filter(attempt => attempt.requestId === requestId);
		return {
			requestId,
			isSingle,
			attemptLimit: routes[isSingle ? 0 : 1]!.attemptLimit,
			outcome: ending.outcome,
			...('reason' in ending && {reason: ending.reason}),
			endedAtMs,
			wasUnderWay,
			attemptCount: attempts.length,
			ranAtMs: attempts.flatMap(({ranAtMs}) => ranAtMs ?? []),
		};
	};

	const stop = async (): Promise<void> => {
		await node.sleep(draws.timeMs(ARRIVAL_LIMIT_MS));
		stopPlan = core.planStop(node.monotonicMs(), node.monotonicMs() + 500 + draws.timeMs(3000));
	};

	const pause = async (): Promise<void> => {
		await world.sleep(draws.timeMs(ARRIVAL_LIMIT_MS));
		await node.pause(1 + draws.timeMs(1500));
	};

	if (draws.chance(0.4)) {
		void stop();
	}

	if (draws.chance(0.6)) {
		void pause();
	}

	const plans = Array.from({length: CALL_COUNT}, (_, index) => drawCall(draws, index));
	return world.runUntilSettled(Promise.all(plans.map(async plan => play(plan))), 60_000);
};
