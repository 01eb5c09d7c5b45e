import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import test, {type ExecutionContext} from 'ava';
import * as neverthrow from 'neverthrow';
import {buildFleetCatalogue, buildHostRoute, buildTarget} from '../build-fleet.js';
import {createRegistryFleet} from '../registry-fleet.js';

/** Time after which a target that the store has removed gets no more calls. */
const REMOVAL_LIMIT_MS = 2500;

/** Time from which a node that started or was resumed has to know what the store says. */
const STABLE_MS = 3000;

const SETTLE_MS = 5000;
const STEP_MS = 20;
const PAUSE_MS = 4500;
const WORK_MS = 100;

/** Times of the removal and of the start of further nodes after the beginning of the pause. */
const REMOVAL_DELAY_MS = 200;
const START_DELAY_MS = 1300;

const TARGET_IDS = Array.from({length: 12}, (_, index) => `target-${index}`);
const TARGET_REGION = 'pwani';
const REGIONS = [TARGET_REGION, 'bara'];
const ADDED_NODE_IDS = ['added-0', 'added-1', 'added-2'];

type SentCall = {readonly nodeId: string; readonly targetId: string; readonly atMs: number};

const buildCall = (requestId: string, receivedAtMs: number): domain.ProxiedCall => ({
	requestId,
	host: 'gateway.example',
	method: 'POST',
	pathAndQuery: '/clearances/17',
	headers: [],
	body: undefined,
	bodyLengthBytes: undefined,
	deadlineMs: 4000,
	receivedAtMs,
});

const createFleet = (t: ExecutionContext, nodeCount: number, addedRegion: string) => {
	const sent: SentCall[] = [];
	const endings: Array<{readonly nodeId: string; readonly atMs: number; readonly ending: domain.ProxyEnding}> = [];
	const fleet = createRegistryFleet({
		nodeCount,
		regionOf: nodeId => (ADDED_NODE_IDS.includes(nodeId) ? addedRegion : TARGET_REGION),
		fillStore(store) {
			store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(1, [buildHostRoute()]));
			TARGET_IDS.forEach(targetId => {
				store.write(core.RegistryTopic.Targets, targetId, buildTarget({targetId}));
			});
		},
		targetClient: {
			async send({call, target}, signal) {
				const [nodeId] = call.requestId.split('/');
				sent.push({nodeId: nodeId!, targetId: target.targetId, atMs: fleet.clock.monotonicMs()});
				await fleet.clock.sleep(WORK_MS, signal);
				const answer = {status: 200, headers: [], body: new Uint8Array(0)};
				return neverthrow.ok({meaning: core.AnswerMeaning.Completed, answer});
			},
		},
	});
	t.teardown(fleet.stop);
	const {clock, nodes} = fleet;
	const {signal} = new AbortController();
	let callCount = 0;

	const call = async (nodeId: string): Promise<void> => {
		const call = buildCall(`${nodeId}/${callCount++}`, clock.monotonicMs());
		const ending = await nodes.get(nodeId)!.proxy.handle(call, signal);
		endings.push({nodeId, atMs: clock.monotonicMs(), ending});
	};

	/** Advances the time while each of the nodes gets a call in each step. */
	const advanceWithCalls = async (durationMs: number, nodeIds: readonly string[]): Promise<void> => {
		const endsAtMs = clock.monotonicMs() + durationMs;
		while (clock.monotonicMs() < endsAtMs) {
			nodeIds.forEach(nodeId => {
				void call(nodeId);
			});
			await clock.advance(STEP_MS * nodeIds.length);
		}
	};

	const anyNode = () => [...nodes.values()][0]!;
	const rankDispatchers = () =>
		anyNode()
			.registry.rankNodes(`malipo@${TARGET_REGION}`, TARGET_REGION, nodeCount)
			.map(({nodeId}) => nodeId);
	const rankReaders = () =>
		anyNode()
			.registry.rankReaders(nodeCount)
			.map(({nodeId}) => nodeId);
	return {...fleet, sent, endings, rankDispatchers, rankReaders, advanceWithCalls};
};

type Fleet = ReturnType<typeof createFleet>;

const PAUSES: ReadonlyArray<{readonly name: string; readonly list: (fleet: Fleet) => readonly string[]}> = [
	{name: 'the dispatcher', list: ({rankDispatchers}) => rankDispatchers().slice(0, 1)},
	{name: 'the dispatcher and its successor', list: ({rankDispatchers}) => rankDispatchers().slice(0, 2)},
	{
		name: 'the dispatcher and the reader',
		list: ({rankDispatchers, rankReaders}) => [rankDispatchers()[0]!, rankReaders()[0]!],
	},
];

const NODE_COUNTS = [5, 12, 44];

const CASES = PAUSES.flatMap(pause =>
	NODE_COUNTS.flatMap(nodeCount => REGIONS.map(addedRegion => ({...pause, nodeCount, addedRegion}))),
);

// Guards against work that is sent to a removed target by a node that started after the removal, granted by a dispatcher that stood still.
CASES.forEach(({name, list, nodeCount, addedRegion}) => {
	test(`nodes that start in ${addedRegion} send no calls to a target removed while ${name} of ${nodeCount} stood still`, async t => {
		const fleet = createFleet(t, nodeCount, addedRegion);
		const {clock, store, sent} = fleet;
		await clock.advance(SETTLE_MS);
		const pausedIds = list(fleet);
		pausedIds.forEach(fleet.pauseNode);
		await clock.advance(REMOVAL_DELAY_MS);
		const removedId = TARGET_IDS[0]!;
		store.write(core.RegistryTopic.Targets, removedId, undefined);
		const removedAtMs = clock.monotonicMs();
		await clock.advance(START_DELAY_MS - REMOVAL_DELAY_MS);
		ADDED_NODE_IDS.forEach((nodeId, index) => {
			fleet.startNode(nodeId, nodeCount + index);
		});
		await clock.advance(PAUSE_MS - START_DELAY_MS);
		pausedIds.forEach(fleet.resumeNode);
		await fleet.advanceWithCalls(STABLE_MS, ADDED_NODE_IDS);
		t.true(sent.length > 0);
		t.deepEqual(
			sent.filter(({targetId, atMs}) => targetId === removedId && atMs - removedAtMs > REMOVAL_LIMIT_MS),
			[],
		);
	});
});
