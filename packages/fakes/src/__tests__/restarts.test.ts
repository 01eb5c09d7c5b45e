import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import test, {type ExecutionContext} from 'ava';
import * as neverthrow from 'neverthrow';
import {buildFleetCatalogue, buildHostRoute, buildTarget} from '../build-fleet.js';
import {createRegistryFleet} from '../registry-fleet.js';

const NODE_COUNT = 6;
const SETTLE_MS = 5000;
/** The only seed of the fleet; without the store, it cannot find the others after a restart. */
const SEED_ID = 'node-0';
const TARGET_IDS = ['a', 'b', 'c'];

/** Starts a fleet whose target `a` announces in each answer that it is leaving. */
const createFleet = (t: ExecutionContext) => {
	const sentTargetIds: string[] = [];
	const targetClient: core.FleetTargetClient = {
		async send({target: {targetId}}) {
			sentTargetIds.push(targetId);
			return neverthrow.ok({
				meaning: core.AnswerMeaning.Completed,
				answer: {status: 200, headers: [], body: new Uint8Array(0)},
				...(targetId === 'a' && {announcement: {isLeaving: true}}),
			});
		},
	};
	const fleet = createRegistryFleet({
		nodeCount: NODE_COUNT,
		targetClient,
		fillStore(store) {
			store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(1, [buildHostRoute()]));
			TARGET_IDS.forEach(targetId => {
				store.write(core.RegistryTopic.Targets, targetId, buildTarget({targetId, slotCount: 1}));
			});
		},
	});
	t.teardown(fleet.stop);
	let requestCount = 0;
	const call = async (node: core.FleetNode): Promise<domain.ProxyEnding> =>
		node.proxy.handle(
			{
				requestId: `request-${requestCount++}`,
				host: 'gateway.example',
				method: 'POST',
				pathAndQuery: '/clearances/1',
				headers: [],
				body: undefined,
				bodyLengthBytes: undefined,
				deadlineMs: 2000,
				receivedAtMs: fleet.clock.monotonicMs(),
			},
			new AbortController().signal,
		);
	/** Sends as many calls at once through a node as the targets have slots. */
	const callThrough = async (node: core.FleetNode): Promise<domain.ProxyEnding[]> =>
		fleet.clock.runUntilSettled(Promise.all(TARGET_IDS.map(async () => call(node))), SETTLE_MS);
	const countSent = (targetId: string): number => sentTargetIds.filter(id => id === targetId).length;
	return {...fleet, callThrough, countSent};
};

// Guards against a target that left and is in use again because a node restarted while the store was down.
test('a node that restarts while the store is down does not use a target that had left', async t => {
	const {clock, store, nodes, startNode} = createFleet(t);
	await clock.advance(SETTLE_MS);
	store.write(core.RegistryTopic.Targets, 'a', undefined);
	await clock.advance(SETTLE_MS);
	store.isDown = true;
	for (const [index, nodeId] of [...nodes.keys()].entries()) {
		if (nodeId !== SEED_ID) {
			startNode(nodeId, 100 + index);
			await clock.advance(SETTLE_MS);
		}
	}

	const targetIds = [...nodes.values()].map(({registry}) =>
		registry.targetsOf('malipo', 'pwani').map(({targetId}) => targetId),
	);
	t.deepEqual(
		targetIds,
		targetIds.map(() => ['b', 'c']),
	);
});

// Guards against a leaving target that gets calls again when the node that dispatched its group is restarted.
test('a target that announced that it is leaving gets no call after any single node has restarted', async t => {
	const {clock, nodes, startNode, callThrough, countSent} = createFleet(t);
	await clock.advance(SETTLE_MS);
	for (const node of nodes.values()) {
		await callThrough(node);
	}

	const sentCount = countSent('a');
	t.is(sentCount, 1);
	for (const [index, nodeId] of [...nodes.keys()].entries()) {
		startNode(nodeId, 100 + index);
		await clock.advance(SETTLE_MS);
		const others = [...nodes.values()].filter(({self}) => self.nodeId !== nodeId);
		for (const node of [...others, nodes.get(nodeId)!]) {
			await callThrough(node);
		}

		t.is(countSent('a'), sentCount, `after the restart of ${nodeId}`);
	}

	t.true(countSent('b') > NODE_COUNT);
});
