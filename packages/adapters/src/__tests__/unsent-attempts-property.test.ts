import process from 'node:process';
import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';
import test, {type ExecutionContext} from 'ava';
import * as fastCheck from 'fast-check';
import {TargetConduct} from './recording-target.js';
import {BodyKind, createHarness, pauseNode, QUIET_MS, type Harness} from './unsent-attempt-harness.js';

const SEED = 20_261_206;
/** More by hand: `UNSENT_PLAYS=3000`. */
const PLAY_COUNT = Number(process.env.UNSENT_PLAYS ?? 120);
const CONCURRENT_COUNT = 4;

const PLAY_MS = 120;

enum CancelMoment {
	Never = 'never',
	BeforeSend = 'before-send',
	SameTurn = 'same-turn',
	NextMicrotask = 'next-microtask',
	NextTurn = 'next-turn',
	/** When the target has accepted a connection, which may be that of the request. */
	AtConnection = 'at-connection',
	/** When a request has arrived, which may be another one. */
	AtArrival = 'at-arrival',
	Later = 'later',
}

const CANCEL_MOMENTS: Record<CancelMoment, (harness: Harness, delayMs: number) => Promise<unknown>> = {
	[CancelMoment.Never]: async () => timersPromises.setTimeout(PLAY_MS * 2),
	[CancelMoment.BeforeSend]: async () => undefined,
	[CancelMoment.SameTurn]: async () => undefined,
	[CancelMoment.NextMicrotask]: async () => undefined,
	[CancelMoment.NextTurn]: async () => timersPromises.setImmediate(),
	[CancelMoment.AtConnection]: async ({target}, delayMs) =>
		Promise.race([target.nextConnection(), timersPromises.setTimeout(delayMs)]),
	[CancelMoment.AtArrival]: async ({target}, delayMs) =>
		Promise.race([target.nextArrival(), timersPromises.setTimeout(delayMs)]),
	[CancelMoment.Later]: async (_harness, delayMs) => timersPromises.setTimeout(delayMs),
};

enum Disturbance {
	ChangeConduct = 'change-conduct',
	PauseNode = 'pause-node',
	Restart = 'restart',
}

type DisturbancePlan = {readonly conduct: TargetConduct; readonly durationMs: number};

const DISTURBANCES: Record<Disturbance, (harness: Harness, plan: DisturbancePlan) => Promise<void>> = {
	async [Disturbance.ChangeConduct]({target}, {conduct}) {
		target.conduct = conduct;
	},
	async [Disturbance.PauseNode](_harness, {durationMs}) {
		pauseNode(durationMs);
	},
	async [Disturbance.Restart]({target}, {durationMs}) {
		await target.stopListening();
		await timersPromises.setTimeout(durationMs);
		await target.listenAgain();
	},
};

const conductArbitrary = fastCheck.constantFrom(...Object.values(TargetConduct));
const requestArbitrary = fastCheck.record({
	startsAtMs: fastCheck.nat({max: 60}),
	cancelMoment: fastCheck.oneof(
		fastCheck.constantFrom(...Object.values(CancelMoment)),
		fastCheck.constant(CancelMoment.Never),
	),
	delayMs: fastCheck.nat({max: 40}),
	body: fastCheck.constantFrom(...Object.values(BodyKind)),
});
const disturbanceArbitrary = fastCheck.record({
	atMs: fastCheck.nat({max: 70}),
	kind: fastCheck.constantFrom(...Object.values(Disturbance)),
	conduct: conductArbitrary,
	durationMs: fastCheck.integer({min: 1, max: 50}),
});
const playArbitrary = fastCheck.record({
	conduct: conductArbitrary,
	limit: fastCheck.integer({min: 1, max: 3}),
	connectTimeoutMs: fastCheck.constantFrom(10, 40, 500, 500),
	requests: fastCheck.array(requestArbitrary, {minLength: 6, maxLength: 14}),
	// One restart at most: two of them could overlap.
	disturbances: fastCheck.uniqueArray(disturbanceArbitrary, {maxLength: 3, selector: ({kind}) => kind}),
});
type Play = typeof playArbitrary extends fastCheck.Arbitrary<infer Value> ? Value : never;

type PlayResult = {readonly violations: readonly string[]; readonly kinds: readonly string[]};

const runPlay = async (t: ExecutionContext, play: Play): Promise<PlayResult> => {
	const harness = await createHarness(t, play);
	const sendOne = async ({startsAtMs, cancelMoment, delayMs, body}: Play['requests'][number], index: number) => {
		await timersPromises.setTimeout(startsAtMs);
		const controller = new AbortController();
		if (cancelMoment === CancelMoment.BeforeSend) {
			controller.abort(core.STOP_REASON);
		}

		const sending = harness.send(`request-${index}`, controller.signal, body);
		const cancelling = CANCEL_MOMENTS[cancelMoment](harness, delayMs);
		if (cancelMoment !== CancelMoment.SameTurn) {
			await Promise.race([cancelling, sending]);
		}

		controller.abort(core.STOP_REASON);
		await sending;
	};

	const disturb = async ({atMs, kind, ...plan}: Play['disturbances'][number]): Promise<void> => {
		await timersPromises.setTimeout(atMs);
		await DISTURBANCES[kind](harness, plan);
	};

	await Promise.all([
		...play.requests.map(async (request, index) => sendOne(request, index)),
		...play.disturbances.map(async plan => disturb(plan)),
	]);
	await timersPromises.setTimeout(QUIET_MS);
	return {violations: harness.listViolations(), kinds: [...harness.kinds.values()]};
};

// Guards against a call that is refused as not run, or sent to another target, while a target has received it, and against a
// request that the HTTP client sends twice by itself.
test('an attempt that counts as unsent never arrives, and no attempt arrives twice, under random timing', async t => {
	t.timeout(600_000);
	const plays = fastCheck.sample(playArbitrary, {seed: SEED, numRuns: PLAY_COUNT});
	const counts = new Map<string, number>();
	const found: string[] = [];
	for (let first = 0; first < plays.length; first += CONCURRENT_COUNT) {
		const results = await Promise.all(plays.slice(first, first + CONCURRENT_COUNT).map(async play => runPlay(t, play)));
		results.forEach(({violations, kinds}, index) => {
			found.push(...violations.map(violation => `play ${first + index}: ${violation}`));
			kinds.forEach(kind => counts.set(kind, (counts.get(kind) ?? 0) + 1));
		});
	}

	t.log(`${PLAY_COUNT} plays: ${[...counts].map(([kind, count]) => `${kind} ${count}`).join(', ')}`);
	t.deepEqual(found, []);
	const reached = [...Object.values(core.AttemptErrorKind), core.AnswerMeaning.Completed].filter(kind =>
		counts.has(kind),
	);
	t.is(reached.length, 5, `the plays reached only ${reached.join(', ')}`);
});
