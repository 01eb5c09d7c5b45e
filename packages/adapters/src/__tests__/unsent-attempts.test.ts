import {Buffer} from 'node:buffer';
import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';
import test from 'ava';
import {createFleetTargetClient} from '../target/fleet-target-client.js';
import {buildAttempt, DIALECT} from './build-attempt.js';
import {startLateTarget} from './late-target.js';
import {startRecordingTarget, TargetConduct} from './recording-target.js';
import {
	BodyKind,
	createHarness,
	pauseNode,
	QUIET_MS,
	type Harness,
	type HarnessOptions,
} from './unsent-attempt-harness.js';

type Case = HarnessOptions & {
	readonly name: string;
	readonly play: (harness: Harness) => Promise<void>;
	readonly expected: Readonly<Record<string, string | undefined>>;
};

const {Unreachable, CancelledUnsent, CancelledSent, Broken} = core.AttemptErrorKind;
const {Completed} = core.AnswerMeaning;

/** Sends a request, and cancels it when `moment` resolves. */
const sendAndCancel = async (harness: Harness, requestId: string, moment: () => Promise<unknown>): Promise<void> => {
	const controller = new AbortController();
	const sending = harness.send(requestId, controller.signal);
	await moment();
	controller.abort(core.STOP_REASON);
	await sending;
};

const CASES: readonly Case[] = [
	{
		name: 'cancelled before it was dispatched',
		async play({send}) {
			await send('first', AbortSignal.abort(core.STOP_REASON));
			await send('second');
		},
		expected: {first: CancelledUnsent, second: Completed},
	},
	{
		name: 'cancelled before it was dispatched on an idle connection, which sends it',
		async play({send}) {
			await send('first');
			await timersPromises.setTimeout(QUIET_MS);
			await send('second', AbortSignal.abort(core.STOP_REASON));
		},
		expected: {first: Completed, second: CancelledSent},
	},
	{
		name: 'cancelled while its connection is being opened',
		async play(harness) {
			await sendAndCancel(harness, 'first', async () => undefined);
			await harness.send('second');
		},
		expected: {first: CancelledUnsent, second: Completed},
	},
	{
		name: 'cancelled while all connections are busy',
		conduct: TargetConduct.Slow,
		async play(harness) {
			const sending = harness.send('first');
			await harness.target.nextArrival();
			await sendAndCancel(harness, 'second', async () => timersPromises.setImmediate());
			await sending;
			await harness.send('third');
		},
		expected: {first: Completed, second: CancelledUnsent, third: Completed},
	},
	{
		name: 'cancelled in the turn in which the connection becomes free',
		conduct: TargetConduct.Slow,
		async play(harness) {
			const sending = harness.send('first');
			await harness.target.nextArrival();
			await sendAndCancel(harness, 'second', async () => sending);
			await harness.send('third');
		},
		expected: {first: Completed, third: Completed},
	},
	{
		name: 'cancelled while the busy connection breaks',
		conduct: TargetConduct.ResetsBusy,
		async play(harness) {
			const sending = harness.send('first');
			await sendAndCancel(harness, 'second', async () => harness.target.nextArrival());
			await sending;
		},
		expected: {first: Broken},
	},
	{
		name: 'given up while all connections are busy',
		conduct: TargetConduct.Silent,
		connectTimeoutMs: 600,
		async play(harness) {
			const second = async () => {
				await harness.target.nextArrival();
				await harness.send('second');
			};

			await sendAndCancel(harness, 'first', second);
		},
		expected: {first: CancelledSent, second: Unreachable},
	},
	{
		name: 'given up when the node pauses while its connection is being opened',
		connectTimeoutMs: 500,
		async play({send}) {
			const sending = send('first');
			pauseNode(600);
			await sending;
			await timersPromises.setTimeout(QUIET_MS);
			await send('second');
		},
		expected: {second: Completed},
	},
	{
		name: 'refused a connection at an address at which a target listens later',
		async play({send, target}) {
			await target.stopListening();
			await send('first');
			await target.listenAgain();
			await timersPromises.setTimeout(QUIET_MS);
			await send('second');
		},
		expected: {first: Unreachable, second: Completed},
	},
	{
		name: 'dispatched on an idle connection while it is being reset',
		conduct: TargetConduct.ResetsIdle,
		async play({send}) {
			for (const requestId of ['first', 'second', 'third', 'fourth']) {
				await send(requestId);
				await timersPromises.setTimeout(3);
			}
		},
		expected: {first: Completed},
	},
	{
		name: 'queued behind an answer that ends its connection',
		conduct: TargetConduct.ClosesWithAnswer,
		async play({send}) {
			await Promise.all(['first', 'second', 'third'].map(async requestId => send(requestId)));
		},
		expected: {first: Completed, second: Completed, third: Completed},
	},
	{
		name: 'cancelled behind an answer that comes before the body is read',
		conduct: TargetConduct.AnswersEarly,
		async play(harness) {
			const sending = harness.send('first', undefined, BodyKind.Stream);
			await sendAndCancel(harness, 'second', async () => sending);
			await harness.send('third');
		},
		expected: {first: Completed, third: Completed},
	},
];

// Guards against a call that is refused as not run, or sent to another target, while a target has received it. A pause of the
// node stops the whole process, so the tests run one after another.
CASES.forEach(({name, play, expected, ...options}) => {
	test.serial(`an attempt that counts as unsent never arrives: ${name}`, async t => {
		const harness = await createHarness(t, options);
		await play(harness);
		await timersPromises.setTimeout(QUIET_MS);
		t.deepEqual(harness.listViolations(), []);
		t.like(Object.fromEntries(harness.kinds), expected);
	});
});

/** A body that breaks off with the error of a connection of its own. */
async function* streamBrokenBody(): AsyncGenerator<Uint8Array> {
	yield Buffer.alloc(1000, 'x');
	await timersPromises.setTimeout(QUIET_MS);
	throw Object.assign(new Error('the body broke off'), {code: 'ECONNREFUSED', syscall: 'connect'});
}

// Guards against an attempt that counts as unreachable because of the error of its body, after its head has arrived.
test.serial('an attempt whose body breaks off with a connect error counts as sent', async t => {
	const target = await startRecordingTarget(t, TargetConduct.Prompt);
	const client = createFleetTargetClient({dialect: DIALECT});
	t.teardown(async () => client.close());
	const attempt = buildAttempt(target.address, 'first');
	const call = {...attempt.call, method: 'POST', body: core.createHeldBody(streamBrokenBody(), {limitBytes: 0})};
	const result = await client.send({...attempt, call}, new AbortController().signal);
	t.true(target.arrivals.has('first'));
	t.is(result._unsafeUnwrapErr().kind, Broken);
});

/** Longer than it takes until the first packet of a connection is sent again. */
const RETRANSMIT_MS = 1300;

/** Time for the client to send a request. */
const SEND_MS = 500;

/** Longer than it takes until the connection opens. */
const CONNECT_TIMEOUT_MS = 4000;

// Guards against an attempt that was given up and is sent when its connection opens after all.
test.serial(
	'an attempt that was cancelled does not arrive at a target to which its connection opens later',
	async t => {
		const target = await startLateTarget(t);
		const client = createFleetTargetClient({dialect: DIALECT, connectTimeoutMs: CONNECT_TIMEOUT_MS});
		t.teardown(async () => client.close());
		await target.fillQueue();
		const controller = new AbortController();
		const sending = client.send(buildAttempt(target.address, 'first'), controller.signal);
		await timersPromises.setTimeout(QUIET_MS);
		controller.abort(core.STOP_REASON);
		const result = await sending;
		target.accept();
		await timersPromises.setTimeout(RETRANSMIT_MS);
		t.is(result._unsafeUnwrapErr().kind, CancelledUnsent);
		t.notRegex(target.receivedText(), /first/);
	},
);

// Guards against an attempt that counts as unsent since its target has not accepted the connection yet.
test.serial('an attempt that was cancelled before its target accepted the connection counts as sent', async t => {
	const target = await startLateTarget(t);
	const client = createFleetTargetClient({dialect: DIALECT});
	t.teardown(async () => client.close());
	const controller = new AbortController();
	const sending = client.send(buildAttempt(target.address, 'first'), controller.signal);
	await timersPromises.setTimeout(SEND_MS);
	controller.abort(core.STOP_REASON);
	const result = await sending;
	t.is(result._unsafeUnwrapErr().kind, CancelledSent);
	target.accept();
	while (!target.receivedText().includes('first')) {
		await timersPromises.setTimeout(1);
	}
});
