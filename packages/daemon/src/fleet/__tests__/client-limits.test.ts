import * as core from '@bilberrydoor/core';
import test from 'ava';
import {startFleet, waitUntil} from './fleet-harness.js';
import {buildRequestParts, connectRawCaller} from './raw-caller.js';

const buildLines = (count: number): string =>
	Array.from({length: count}, (_, index) => `${index.toString(36)}:\r\n`).join('');

// Guards against a limit of header lines or of memory that a single request of legal size meets.
test('a single request of as many short header lines as its legal size allows is served', async t => {
	const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 1});
	const caller = await connectRawCaller(t, nodes[0]!);
	const [start, ...rest] = buildRequestParts('lines');
	caller.send([start, buildLines(2800), ...rest].join(''));
	await waitUntil(() => caller.received() !== '');
	t.regex(caller.received(), /^HTTP\/1\.1 200 /);
	t.deepEqual(targets[0]!.runIds, ['lines']);
});

// Guards against header lines that are dropped without a sign, and against refusals that the log does not show.
test('a request beyond the limit of header lines gets 431, does not run, and is logged', async t => {
	const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 1});
	const caller = await connectRawCaller(t, nodes[0]!);
	const [start, ...rest] = buildRequestParts('lines');
	caller.send([start, buildLines(5000), ...rest].join(''));
	t.regex(await caller.closed, /^HTTP\/1\.1 431 /);
	t.deepEqual(targets[0]!.runIds, []);
	t.like(nodes[0]!.listEvents(core.LogEvent.ClientLimited)[0], {limit: 'header-lines', skippedCount: 0});
});
