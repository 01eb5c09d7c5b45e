import test, {type ExecutionContext} from 'ava';
import {send, startFleet, type RunningNode} from './fleet-harness.js';

/** The bytes of "é" in UTF-8, as an HTTP library sends and decodes them. */
const BEYOND_ASCII = '\u00C3\u00A9';

/** More than the 16 KiB that targets on Node.js accept. The front accepts 64 KiB. */
const LARGE_PATH = `/unsafe/${'x'.repeat(20_000)}`;

const CALL_COUNT = 5;

/** Sends odd calls and then plain ones, and returns the statuses of both. */
const sendAfterOddCalls = async (t: ExecutionContext, sendOdd: (node: RunningNode, id: string) => Promise<number>) => {
	const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 2});
	const [node] = nodes;
	t.is((await send(node!, 'before')).status, 200);
	const odd: number[] = [];
	for (let index = 0; index < CALL_COUNT; index++) {
		odd.push(await sendOdd(node!, `odd-${index}`));
	}

	const plain: number[] = [];
	for (let index = 0; index < CALL_COUNT; index++) {
		plain.push((await send(node!, `plain-${index}`)).status);
	}

	t.log({odd, plain, runIds: targets.map(({runIds}) => runIds)});
	return {odd, plain};
};

// Guards against one caller taking the targets of all callers out of use, with ids that no answer matches.
test('calls with ids beyond ASCII do not make a node refuse other calls', async t => {
	const {odd, plain} = await sendAfterOddCalls(t, async (node, id) => (await send(node, BEYOND_ASCII + id)).status);
	t.deepEqual(
		[...odd, ...plain],
		Array.from({length: 2 * CALL_COUNT}, () => 200),
	);
});

// Guards against one caller taking the targets of all callers out of use, with calls that targets reject before they read the id.
test('calls that targets reject without their id do not make a node refuse other calls', async t => {
	const {plain} = await sendAfterOddCalls(t, async (node, id) => (await send(node, id, {path: LARGE_PATH})).status);
	t.deepEqual(
		plain,
		Array.from({length: CALL_COUNT}, () => 200),
	);
});
