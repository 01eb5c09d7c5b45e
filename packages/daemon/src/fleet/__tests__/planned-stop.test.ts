import {once} from 'node:events';
import * as timersPromises from 'node:timers/promises';
import test from 'ava';
import {startFleet, waitUntil} from './fleet-harness.js';
import {buildRequestParts, connectRawCaller} from './raw-caller.js';
import {TargetBehaviour} from './stand-in-target.js';

const GRACE_MS = 6000;
const MOMENT_STEP_MS = 250;
const MOMENTS_MS = Array.from({length: GRACE_MS / MOMENT_STEP_MS}, (_, index) => index * MOMENT_STEP_MS);

/** Time that the first part of a request is ahead of its last one. */
const PART_GAP_MS = 750;

/**
 * Latest times after the stop signal at which the first and the last part of a request are certainly sent before the node closes
 * idle connections, and before it starts no more attempts, on a busy machine.
 */
const CERTAIN_START_MS = 2000;
const CERTAIN_END_MS = 2500;

/** How many parts of a request are sent before the last ones. */
enum Arrival {
	/** The whole request follows on an idle connection. */
	Idle = 'an idle connection',
	HalfHead = 'half a head',
	HalfBody = 'half a body',
}

const FIRST_PART_COUNTS: Record<Arrival, number> = {[Arrival.Idle]: 0, [Arrival.HalfHead]: 1, [Arrival.HalfBody]: 2};

/** Signals to the node, and when they are sent. */
const ONE_SIGNAL = [{signal: 'SIGTERM', momentMs: 0}] as const;
const MANY_SIGNALS = [
	...ONE_SIGNAL,
	{signal: 'SIGTERM', momentMs: 1000},
	{signal: 'SIGHUP', momentMs: 1500},
	{signal: 'SIGINT', momentMs: 2000},
	{signal: 'SIGTERM', momentMs: 3000},
] as const;

const STOPS = [
	{name: 'requests at work', behaviour: TargetBehaviour.Slow, arrivals: Object.values(Arrival), momentsMs: MOMENTS_MS},
	{
		name: 'answers half sent',
		behaviour: TargetBehaviour.SlowHalves,
		arrivals: Object.values(Arrival),
		momentsMs: MOMENTS_MS,
	},
	{
		name: 'further signals',
		behaviour: TargetBehaviour.Slow,
		arrivals: Object.values(Arrival),
		momentsMs: MOMENTS_MS,
		signals: MANY_SIGNALS,
	},
	// Nothing else keeps the node from leaving.
	{name: 'one late head', behaviour: TargetBehaviour.Slow, arrivals: [Arrival.HalfHead], momentsMs: [2850]},
];

const isSentInTime = (arrival: Arrival, momentMs: number): boolean =>
	arrival === Arrival.Idle
		? momentMs <= CERTAIN_START_MS
		: momentMs - PART_GAP_MS <= CERTAIN_START_MS && momentMs <= CERTAIN_END_MS;

// Guards against a stop that cuts off requests that arrive late on kept connections, are at work, or are being answered,
// and against a second signal that ends it at once.
STOPS.forEach(({name, behaviour, arrivals, momentsMs, signals = ONE_SIGNAL}) => {
	test(`a planned stop with ${name}: what a target runs is answered, the rest does not run`, async t => {
		const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 8});
		const node = nodes[0]!;
		const rows = await Promise.all(
			momentsMs.flatMap(momentMs =>
				arrivals.map(async arrival => ({
					requestId: `${arrival.replaceAll(' ', '-')}-${momentMs}`,
					arrival,
					momentMs,
					caller: await connectRawCaller(t, node),
				})),
			),
		);
		// A connection that has brought a request is a kept one. This one needs no target.
		rows.forEach(({caller, requestId}) => {
			caller.send(buildRequestParts(`first-${requestId}`, {path: '/nowhere/'}).join(''));
		});
		await waitUntil(() => rows.every(({caller}) => caller.received().endsWith('\r\n\r\n')));
		const firstLengths = rows.map(({caller}) => caller.received().length);
		targets.forEach(target => {
			target.behaviour = behaviour;
		});
		const exited = once(node.process, 'exit');
		const stoppedAtMs = performance.now();
		const sleepUntil = async (momentMs: number): Promise<void> => {
			await timersPromises.setTimeout(Math.max(0, stoppedAtMs + momentMs - performance.now()));
		};

		const signalled = Promise.all(
			signals.map(async ({signal, momentMs}) => {
				await sleepUntil(momentMs);
				node.process.kill(signal);
			}),
		);
		await Promise.all(
			rows.map(async ({caller, requestId, arrival, momentMs}) => {
				const parts = buildRequestParts(requestId);
				const firstPartCount = FIRST_PART_COUNTS[arrival];
				await sleepUntil(momentMs - PART_GAP_MS);
				caller.send(parts.slice(0, firstPartCount).join(''));
				await sleepUntil(momentMs);
				caller.send(parts.slice(firstPartCount).join(''));
			}),
		);
		await signalled;
		t.deepEqual(await exited, [0, null]);
		t.true(performance.now() - stoppedAtMs < GRACE_MS);
		const runIds = targets.flatMap(target => target.runIds);
		const outcomes = await Promise.all(
			rows.map(async ({requestId, arrival, momentMs, caller}, index) => {
				const received = await caller.closed;
				const answer = received.slice(firstLengths[index]);
				const runCount = runIds.filter(id => id === requestId).length;
				const isAnswered = answer.startsWith('HTTP/1.1 200 ') && answer.endsWith(`done ${requestId}`);
				const isRefused = answer === '' || /^HTTP\/1\.1 (?:408|503) /.test(answer);
				const isKept = runCount === 1 ? isAnswered : runCount === 0 && isRefused && !isSentInTime(arrival, momentMs);
				return {requestId, runCount, answer, isKept};
			}),
		);
		t.deepEqual(
			outcomes.filter(({isKept}) => !isKept),
			[],
		);
		t.is(node.lines.filter(line => line.includes('"signal-received"')).length, signals.length);
		t.true(node.lines.some(line => line.includes('"cutCallCount":0') && line.includes('node-stopped')));
	});
});
