import test from 'ava';
import {send, startFleet, type RunningNode} from './fleet-harness.js';
import {TargetBehaviour} from './stand-in-target.js';

/** As many calls as two targets have slots, so that each target gets some when they are sent at once. */
const CALL_COUNT = 8;

const listIds = (prefix: string): string[] => Array.from({length: CALL_COUNT}, (_, index) => `${prefix}-${index}`);

const sendAtOnce = async (node: RunningNode, prefix: string): Promise<number[]> =>
	Promise.all(listIds(prefix).map(async id => (await send(node, id)).status));

/** Sends calls through each node in turn, one after the other. */
const sendThroughAll = async (nodes: readonly RunningNode[]): Promise<number[]> => {
	const statuses: number[] = [];
	for (const [index, node] of nodes.entries()) {
		for (const id of listIds(`after-${index}`)) {
			statuses.push((await send(node, id)).status);
		}
	}

	return statuses;
};

const ANNOUNCEMENTS = [
	{name: 'announced that it is leaving', behaviour: TargetBehaviour.Leave},
	{name: 'asked for a pause', behaviour: TargetBehaviour.Pause},
];

// Guards against calls to such a target until the next read of the store, and from nodes that it did not answer itself.
ANNOUNCEMENTS.forEach(({name, behaviour}) => {
	test(`a target that ${name} gets no new call from any node, although it is registered as ready`, async t => {
		const {nodes, targets} = await startFleet(t, {nodes: 3, targets: 2});
		targets[0]!.behaviour = behaviour;
		await sendAtOnce(nodes[0]!, 'before');
		const arrivedCount = targets[0]!.arrivedIds.length;
		t.true(arrivedCount > 0);
		const statuses = await sendThroughAll(nodes);
		t.deepEqual([...new Set(statuses)], [200]);
		t.is(targets[0]!.arrivedIds.length, arrivedCount);
	});
});

// Guards against an unread answer whose cancellation ended the process with all its other calls.
test('refusals with endless bodies do not end the node, and other calls are served', async t => {
	const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 2});
	targets[0]!.behaviour = TargetBehaviour.EndlessRefusal;
	await sendAtOnce(nodes[0]!, 'before');
	t.true(targets[0]!.arrivedIds.length > 0);
	t.is(nodes[0]!.process.exitCode, null);
	targets[0]!.behaviour = TargetBehaviour.Serve;
	t.deepEqual([...new Set(await sendThroughAll(nodes))], [200]);
});
