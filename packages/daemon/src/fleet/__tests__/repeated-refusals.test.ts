import * as platformStandIn from '@bilberrydoor/platform/stand-in';
import test from 'ava';
import {send, startFleet, waitUntil} from './fleet-harness.js';
import {TargetBehaviour} from './stand-in-target.js';

/** The new process counts as slow for longer than the test takes, so that calls go to its predecessor first. */
const WARM_UP_S = 60;

const PREDECESSOR_ID = 'predecessor';

/** More than the node that grants its own calls sends, so that some are from nodes that get their grants from it. */
const RETRIED_CALL_COUNT = 4;

// Guards against a call that is answered as not run while it runs: the copy of the first attempt's refusal arrives on the connection
// of the second attempt, with the same request id.
test('the refusal of a call for the predecessor of a target, sent twice, is not taken for its answer', async t => {
	// Nodes that get their grants from another node send the second attempt when the connection of the first is free again.
	const {nodes, targets, store} = await startFleet(t, {nodes: 3, targets: 1});
	const [target] = targets;
	target!.behaviour = TargetBehaviour.RepeatRefusal;
	const writeRecord = (targetId: string, given: {warmUpLeftS: number; startedAtMs?: number}): void => {
		const record = platformStandIn.buildServerRecord(target!.address, given);
		store.write(platformStandIn.SERVERS_TOPIC, targetId, record);
	};

	writeRecord(target!.targetId, {warmUpLeftS: WARM_UP_S});
	const statuses = new Map<string, number>();
	const isSentTwice = (requestId: string): boolean =>
		nodes.flatMap(({lines}) => lines).some(line => line.includes(`"${requestId}"`) && line.includes('"attempt":1'));
	const retriedIds = (): string[] => [...statuses.keys()].filter(isSentTwice);
	const sendThroughAll = async (): Promise<void> => {
		const roundId = `call-${statuses.size}`;
		await Promise.all(
			nodes.map(async (node, index) => {
				const {status} = await send(node, `${roundId}-${index}`);
				statuses.set(`${roundId}-${index}`, status);
			}),
		);
	};

	// Each incarnation of the predecessor is tried once and then set aside.
	for (let index = 0; index < RETRIED_CALL_COUNT; index++) {
		writeRecord(PREDECESSOR_ID, {warmUpLeftS: 0, startedAtMs: index + 1});
		await waitUntil(async () => {
			await sendThroughAll();
			return retriedIds().length > index;
		});
	}

	const retried = retriedIds();
	t.deepEqual(
		retried.map(requestId => [statuses.get(requestId), target!.runIds.filter(id => id === requestId).length]),
		retried.map(() => [200, 1]),
	);
});

// Guards against a call that is answered as not run while it runs: the start of an extra refusal and its answer are read as one head.
test('a call whose answer follows the start of an extra refusal is not answered as not run', async t => {
	const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 1});
	const [target] = targets;
	t.is((await send(nodes[0]!, 'first')).status, 200);
	target!.behaviour = TargetBehaviour.CutRefusal;
	const {status} = await send(nodes[0]!, 'second');
	t.deepEqual([status, target!.runIds.filter(id => id === 'second').length], [502, 1]);
});
