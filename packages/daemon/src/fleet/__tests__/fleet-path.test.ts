import * as timersPromises from 'node:timers/promises';
import * as platformStandIn from '@bilberrydoor/platform/stand-in';
import test from 'ava';
import * as undici from 'undici';
import {send, startFleet, waitUntil} from './fleet-harness.js';
import {TargetBehaviour, type StandInTarget} from './stand-in-target.js';

/** Time after which a node has certainly begun to stream an endless answer to its caller. */
const STREAM_START_MS = 300;

/** Time within which all nodes have applied a change of the targets. */
const TARGET_CHANGE_MS = 2500;

/** Time after the stop signal at which a node accepts no more work. The platform kills the node 6 s after the signal. */
const LATE_BODY_MS = 3600;

const countRuns = (targets: readonly StandInTarget[], requestId: string): number =>
	targets.flatMap(({runIds}) => runIds).filter(id => id === requestId).length;

test('every node forwards calls to a target, and answers unknown routes with 404', async t => {
	const {nodes, targets} = await startFleet(t, {nodes: 3, targets: 2});
	const replies = await Promise.all(nodes.map(async (node, index) => send(node, `request-${index}`)));
	t.deepEqual(
		replies.map(({status, body}) => [status, body]),
		nodes.map((_, index) => [200, `done request-${index}`]),
	);
	t.is(countRuns(targets, 'request-0'), 1);
	t.is((await send(nodes[0]!, 'unknown', {path: '/nowhere/'})).status, 404);
});

const FAULTS = [
	{name: 'fails', behaviour: TargetBehaviour.Fail, status: 500, runs: 1},
	{name: 'breaks the connection', behaviour: TargetBehaviour.Reset, status: 502, runs: 1},
	{name: 'breaks off its answer', behaviour: TargetBehaviour.Truncate, status: 502, runs: 1},
	{name: 'resets an answer without a length', behaviour: TargetBehaviour.ResetUnframed, status: 502, runs: 1},
	{name: 'ends an answer without a length', behaviour: TargetBehaviour.EndUnframed, status: 502, runs: 1},
	{name: 'ends its connection before the last chunk', behaviour: TargetBehaviour.EndChunked, status: 502, runs: 1},
	{name: 'answers another request', behaviour: TargetBehaviour.WrongRequestId, status: 502, runs: 1},
	{name: 'sheds', behaviour: TargetBehaviour.Shed, status: 503, runs: 0},
];

FAULTS.forEach(({name, behaviour, status, runs}) => {
	test(`single work when every target ${name}: execution count ${runs}, status ${status}`, async t => {
		const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 2});
		targets.forEach(target => {
			target.behaviour = behaviour;
		});
		const reply = await send(nodes[0]!, 'single');
		t.is(reply.status, status);
		t.is(countRuns(targets, 'single'), runs);
		t.is(reply.headers['retry-after'] !== undefined, status === 503);
	});
});

// Guards against endless answers that keep their caller waiting and occupy a slot of their target.
test('a call whose answer has an endless head gets 504 at the deadline, and the connection is closed', async t => {
	const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 1});
	targets[0]!.behaviour = TargetBehaviour.EndlessHead;
	t.is((await send(nodes[0]!, 'endless', {deadlineMs: 500})).status, 504);
	await waitUntil(async () => (await targets[0]!.countConnections()) === 0);
});

test('an endless answer body is cut off at the deadline, and the connection is closed', async t => {
	const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 1});
	targets[0]!.behaviour = TargetBehaviour.EndlessBody;
	await t.throwsAsync(send(nodes[0]!, 'endless', {deadlineMs: 500}));
	await waitUntil(async () => (await targets[0]!.countConnections()) === 0);
});

test('the connection of a streamed answer is closed when the caller disconnects', async t => {
	const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 1});
	targets[0]!.behaviour = TargetBehaviour.EndlessBody;
	const callerController = new AbortController();
	const sent = send(nodes[0]!, 'leaving', {deadlineMs: 60_000, signal: callerController.signal});
	await waitUntil(() => targets[0]!.runIds.includes('leaving'));
	await timersPromises.setTimeout(STREAM_START_MS);
	callerController.abort(new Error('the caller left'));
	await t.throwsAsync(sent);
	await waitUntil(async () => (await targets[0]!.countConnections()) === 0);
});

test('repeatable work is repeated at another target', async t => {
	const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 2});
	targets[0]!.behaviour = TargetBehaviour.Truncate;
	const ids = ['a', 'b', 'c', 'd'];
	for (const id of ids) {
		t.is((await send(nodes[0]!, id, {path: '/safe/x', method: 'GET'})).status, 200);
	}
});

test('a draining target and a new catalogue are in force on all nodes within the bounds', async t => {
	const {nodes, targets, publishTarget, publishCatalogue} = await startFleet(t, {nodes: 2, targets: 2});
	publishTarget(targets[0]!, 'draining');
	publishCatalogue(2, ['malipo', 'picha']);
	await waitUntil(async () => (await send(nodes[1]!, 'probe', {host: 'picha.example'})).status !== 404);
	await waitUntil(async () => {
		const before = targets[0]!.runIds.length;
		const replies = await Promise.all(nodes.map(async (node, index) => send(node, `after-${index}`)));
		return replies.every(({status}) => status === 200) && targets[0]!.runIds.length === before;
	});
	t.pass();
});

/** Status of the answer; 0 when the connection ends without one. */
const sendForStatus = async (...call: Parameters<typeof send>): Promise<number> => {
	try {
		return (await send(...call)).status;
	} catch {
		return 0;
	}
};

// Guards against a single invalid record that crashes the nodes, blocks the records after it, or receives calls that fail.
test('invalid records of another writer do not stop nodes from serving calls or applying later records', async t => {
	const {nodes, store, publishCatalogue} = await startFleet(t, {nodes: 3, targets: 2});
	platformStandIn.UNUSABLE_SERVER_TEXTS.forEach(({name, text}) => {
		store.writeText(platformStandIn.SERVERS_TOPIC, name, text);
	});
	publishCatalogue(2, ['malipo', 'picha']);
	await Promise.all(
		nodes.map(async (node, index) =>
			waitUntil(async () => (await send(node, `probe-${index}`, {host: 'picha.example'})).status !== 404),
		),
	);
	await timersPromises.setTimeout(TARGET_CHANGE_MS);
	const replies = await Promise.all(
		Array.from({length: 30}, async (_, index) => sendForStatus(nodes[index % 3]!, `odd-${index}`)),
	);
	t.deepEqual(
		replies,
		replies.map(() => 200),
	);
	t.deepEqual(
		nodes.flatMap(({lines}) => lines).filter(line => /malformed|call-handling-failed/.test(line)),
		[],
	);
	t.true(nodes.every(({process: {exitCode}}) => exitCode === null));
});

test('nodes serve calls while the store does not answer', async t => {
	const {nodes, store} = await startFleet(t, {nodes: 2, targets: 2});
	store.fault = platformStandIn.StoreFault.NoAnswer;
	const replies = await Promise.all(
		Array.from({length: 10}, async (_, index) => send(nodes[index % 2]!, `down-${index}`)),
	);
	t.true(replies.every(({status}) => status === 200));
});

test('calls are served after their dispatcher has been killed', async t => {
	const {nodes} = await startFleet(t, {nodes: 3, targets: 2});
	await send(nodes[0]!, 'warm-up');
	nodes[2]!.process.kill('SIGKILL');
	const replies = await Promise.all(
		Array.from({length: 8}, async (_, index) => send(nodes[index % 2]!, `killed-${index}`)),
	);
	t.true(replies.every(({status}) => status === 200));
});

test('a planned stop ends readiness, finishes calls in flight and closes kept connections after an answer', async t => {
	const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 1});
	const node = nodes[0]!;
	targets[0]!.behaviour = TargetBehaviour.Slow;
	const dispatcher = new undici.Agent({connections: 1});
	const inFlight = send(node, 'in-flight', {dispatcher});
	await waitUntil(() => targets[0]!.runIds.includes('in-flight'));
	const exited = new Promise(resolve => {
		node.process.once('exit', resolve);
	});
	node.process.kill('SIGTERM');
	await waitUntil(async () => !(await node.isReady()));
	const reply = await inFlight;
	t.is(reply.status, 200);
	targets[0]!.behaviour = TargetBehaviour.Serve;
	const late = await send(node, 'late');
	t.is(late.status, 200);
	t.is(late.headers.connection, 'close');
	t.is(await exited, 0);
	t.true(node.lines.some(line => line.includes('"cutCallCount":0') && line.includes('node-stopped')));
	await dispatcher.close();
});

/** Yields a body whose last part is sent after `pauseMs`. */
async function* buildSlowBody(pauseMs: number): AsyncGenerator<Uint8Array> {
	yield new TextEncoder().encode('photo, ');
	await timersPromises.setTimeout(pauseMs);
	yield new TextEncoder().encode('late part');
}

// Guards against a request that a stopping node forwards late and then cuts off without an answer.
test('a stopping node refuses a request whose body is complete too late to be served', async t => {
	const {nodes, targets, publishCatalogue} = await startFleet(t, {nodes: 1, targets: 1});
	const node = nodes[0]!;
	publishCatalogue(2, ['malipo'], {timeoutS: 30});
	await waitUntil(() => node.lines.some(line => line.includes('catalogue-in-force') && line.includes('"version":2')));
	targets[0]!.behaviour = TargetBehaviour.NoAnswer;
	const late = send(node, 'late', {path: '/upload/x', deadlineMs: 60_000, body: buildSlowBody(LATE_BODY_MS)});
	node.process.kill('SIGTERM');
	const reply = await late;
	t.is(reply.status, 503);
	t.not(reply.headers['retry-after'], undefined);
	t.is(countRuns(targets, 'late'), 0);
});

test('SIGHUP does not end the process', async t => {
	const {nodes} = await startFleet(t, {nodes: 1, targets: 1});
	nodes[0]!.process.kill('SIGHUP');
	t.is((await send(nodes[0]!, 'after')).status, 200);
	t.is(nodes[0]!.process.exitCode, null);
});

test('a node serves calls while its standard output is not read', async t => {
	const {nodes} = await startFleet(t, {nodes: 1, targets: 1});
	const [node] = nodes;
	node!.process.stdout!.pause();
	const dispatcher = new undici.Agent({connections: 16, headersTimeout: 10_000});
	// Each request for an unknown route writes a log line of 300 bytes; a socket and its reader buffer less than 400 KB.
	const ids = Array.from({length: 3000}, (_, index) => `unknown-${index}`);
	const replies = await Promise.all(ids.map(async id => send(node!, id, {path: '/nowhere/', dispatcher})));
	t.true(replies.every(({status}) => status === 404));
	t.is((await send(node!, 'after', {dispatcher})).status, 200);
	await dispatcher.destroy();
});
