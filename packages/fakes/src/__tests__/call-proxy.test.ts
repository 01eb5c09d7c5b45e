import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as neverthrow from 'neverthrow';
import {buildFleetCatalogue, buildHostRoute, buildTarget} from '../build-fleet.js';
import {buildGrantParts} from '../build-grants.js';
import {createSeededRandom} from '../seeded-random.js';
import type {VirtualClock} from '../virtual-clock.js';

/** What a scripted target does with a call. */
type Step = {
	readonly delayMs?: number;
	/** The target's answer is on its way already when the attempt is cancelled. */
	readonly isAnswerUnderWay?: boolean;
	readonly result: neverthrow.Result<core.AttemptAnswer, core.AttemptError>;
};

const answer = (meaning: core.AnswerMeaning, status: number): Step => ({
	delayMs: 100,
	result: neverthrow.ok({meaning, answer: {status, headers: [], body: new Uint8Array(0)}}),
});
const failure = (kind: core.AttemptErrorKind): Step => ({result: neverthrow.err({kind, detail: 'scripted'})});
const SILENT: Step = {delayMs: 60_000, result: neverthrow.err({kind: core.AttemptErrorKind.CancelledSent, detail: ''})};

const createScriptedClient = (clock: VirtualClock, steps: readonly Step[]) => {
	const sent: core.FleetAttempt[] = [];
	const client: core.FleetTargetClient = {
		async send(attempt, signal) {
			const step = steps[sent.length] ?? answer(core.AnswerMeaning.Completed, 200);
			sent.push(attempt);
			await clock.sleep(step.delayMs ?? 0, signal);
			return signal.aborted && !step.isAnswerUnderWay
				? neverthrow.err({kind: core.AttemptErrorKind.CancelledSent, detail: 'cancelled'})
				: step.result;
		},
	};
	return {client, sent};
};

/** Budget for the retries of each call from the first one on. */
const RETRIES = {retryRatio: 3};

const createHarness = (steps: readonly Step[], route: Partial<domain.HostRoute> = {}, stopsAtMs?: number) => {
	const peerClient: core.FleetPeerClient = {
		request: async () => neverthrow.err({kind: core.PeerErrorKind.Unreachable, detail: 'no peers'}),
	};
	const targets = ['a', 'b', 'c', 'd'].map(targetId => buildTarget({targetId}));
	const {clock, logger, metrics, random, registry, grants} = buildGrantParts({
		targets,
		peerClient,
		dispatcher: RETRIES,
	});
	const publish = (version: number): void => {
		const value = buildFleetCatalogue(version, [buildHostRoute(route)]);
		const records = [{key: 'config', offset: version, value}];
		registry.apply({[core.RegistryTopic.Catalogue]: {records, nextOffset: version + 1, isWhole: false}});
	};

	const {client, sent} = createScriptedClient(clock, steps);
	const stopPlan = stopsAtMs === undefined ? undefined : core.planStop(clock.monotonicMs(), stopsAtMs);
	const proxy = core.createCallProxy({
		registry,
		grants,
		targetClient: client,
		clock,
		random,
		logger,
		metrics,
		readStopPlan: () => stopPlan,
	});
	const caller = new AbortController();
	const start = async (given: Partial<domain.ProxiedCall> = {}): Promise<domain.ProxyEnding> =>
		proxy.handle(
			{
				requestId: 'request',
				host: 'gateway.example',
				method: 'POST',
				pathAndQuery: '/clearances/17?ward=3',
				headers: [],
				body: undefined,
				bodyLengthBytes: undefined,
				deadlineMs: 4000,
				receivedAtMs: clock.monotonicMs(),
				...given,
			},
			caller.signal,
		);
	const call = async (given: Partial<domain.ProxiedCall> = {}): Promise<domain.ProxyEnding> =>
		clock.runUntilSettled(start(given), 10_000);
	/** Reports that came in for grants, by grant. */
	const reported = new Set<string>();
	const granted = new Set<string>();
	const {acquire, report} = grants;
	grants.acquire = async (wish, signal) => {
		const reply = await acquire(wish, signal);
		if (reply.isGranted) {
			granted.add(reply.grantId);
		}

		return reply;
	};

	grants.report = (grant, result, durationMs) => {
		reported.add(grant.grantId);
		report(grant, result, durationMs);
	};

	return {clock, caller, publish, start, call, sent, granted, reported};
};

const REPEATABLE = {repeatability: domain.Repeatability.Repeatable};

type Case = {
	readonly name: string;
	readonly steps: readonly Step[];
	readonly route?: Partial<domain.HostRoute>;
	readonly expected: Partial<domain.ProxyEnding> & {readonly reason?: domain.RefusalReason};
	readonly status?: number;
	readonly sentCount: number;
};

const {Answered, Refused, Failed} = domain.ProxyOutcome;

const CASES: readonly Case[] = [
	{
		name: 'an answer is handed on',
		steps: [],
		expected: {outcome: Answered},
		status: 200,
		sentCount: 1,
	},
	{
		name: 'single work that broke is never sent again',
		steps: [failure(core.AttemptErrorKind.Broken)],
		expected: {outcome: Failed, reason: domain.RefusalReason.TargetLost},
		sentCount: 1,
	},
	{
		name: "single work that failed gets the target's own failure",
		steps: [answer(core.AnswerMeaning.Failed, 500)],
		expected: {outcome: Answered},
		status: 500,
		sentCount: 1,
	},
	{
		name: 'single work that a target did not run goes to another',
		steps: [answer(core.AnswerMeaning.NotRun, 503)],
		expected: {outcome: Answered},
		status: 200,
		sentCount: 2,
	},
	{
		name: 'single work that no target ran is refused and not failed',
		steps: [answer(core.AnswerMeaning.NotRun, 503), answer(core.AnswerMeaning.Replaced, 421)],
		expected: {outcome: Refused, reason: domain.RefusalReason.TargetRefused},
		sentCount: 2,
	},
	{
		name: 'unreachable targets do not use up attempts',
		steps: [failure(core.AttemptErrorKind.Unreachable), failure(core.AttemptErrorKind.Unreachable)],
		expected: {outcome: Answered},
		status: 200,
		sentCount: 3,
	},
	{
		name: 'a shed attempt followed by one that may have run is a failure and not a refusal',
		steps: [answer(core.AnswerMeaning.NotRun, 503), failure(core.AttemptErrorKind.Broken)],
		expected: {outcome: Failed, reason: domain.RefusalReason.TargetLost},
		sentCount: 2,
	},
	{
		name: 'repeatable work that failed is repeated at another target',
		steps: [answer(core.AnswerMeaning.Failed, 500)],
		route: REPEATABLE,
		expected: {outcome: Answered},
		status: 200,
		sentCount: 2,
	},
	{
		name: 'an answer to another call is no answer',
		steps: [answer(core.AnswerMeaning.Foreign, 200)],
		expected: {outcome: Failed, reason: domain.RefusalReason.TargetLost},
		sentCount: 1,
	},
	{
		name: 'repeatable work stops at the limit of attempts',
		steps: Array.from({length: 4}, () => failure(core.AttemptErrorKind.Broken)),
		route: REPEATABLE,
		expected: {outcome: Failed, reason: domain.RefusalReason.TargetLost},
		sentCount: 2,
	},
	{
		name: "a silent target's call fails when the route's time is up",
		steps: [SILENT],
		expected: {outcome: Failed, reason: domain.RefusalReason.TargetTimedOut},
		sentCount: 1,
	},
];

CASES.forEach(({name, steps, route, expected, status, sentCount}) => {
	test(name, async t => {
		const {publish, call, sent} = createHarness(steps, route);
		publish(1);
		const ending = await call();
		t.like(ending, expected);
		if (status !== undefined && ending.outcome === Answered) {
			t.is(ending.answer.status, status);
		}

		t.is(sent.length, sentCount);
		t.is(new Set(sent.map(({target}) => target.targetId)).size, sentCount, 'no target twice');
	});
});

test('a call ends when the route says, and the target hears how long it has', async t => {
	const {clock, publish, call, sent} = createHarness([SILENT], {timeoutMs: 1500});
	publish(1);
	await call({deadlineMs: 4000});
	t.is(clock.monotonicMs(), 1500);
	t.is(sent[0]?.remainingMs, 1500);
});

test('without a catalogue a call is refused with a time to come back, and not told that its route is unknown', async t => {
	const {call} = createHarness([]);
	const ending = await call();
	t.like(ending, {outcome: Refused, reason: domain.RefusalReason.NoCatalogue});
	t.true(ending.outcome === Refused && ending.retryAfterMs! > 0);
});

test('an unknown host or prefix has no route, and the longest prefix wins', t => {
	const routes = core.createHostRoutes([
		buildHostRoute({routeId: 'short', pathPrefix: '/a/'}),
		buildHostRoute({routeId: 'long', pathPrefix: '/a/b/'}),
	]);
	t.is(routes.find('gateway.example:8080', '/a/b/c')?.routeId, 'long');
	t.is(routes.find('GATEWAY.example', '/a/bc')?.routeId, 'short');
	t.is(routes.find('gateway.example', '/a'), undefined);
	t.is(routes.find('other.example', '/a/b/'), undefined);
});

test('a slow attempt at repeatable work gives way to another', async t => {
	const {publish, call, sent} = createHarness([answer(core.AnswerMeaning.Completed, 200), SILENT], REPEATABLE);
	publish(1);
	await call();
	const ending = await call({requestId: 'second'});
	t.is(ending.outcome, Answered);
	t.is(sent.length, 3);
});

test('a grant for the successor of a slow attempt is given back when the attempt ends by itself', async t => {
	const late = {...answer(core.AnswerMeaning.Completed, 200), delayMs: 5000, isAnswerUnderWay: true};
	const steps = [answer(core.AnswerMeaning.Completed, 200), late];
	const {publish, call, sent, granted, reported} = createHarness(steps, {...REPEATABLE, attemptLimit: 3});
	publish(1);
	await call();
	await call();
	t.is(sent.length, 2);
	t.is(granted.size, 3);
	t.deepEqual([...reported].toSorted(), [...granted].toSorted());
});

test('a caller that leaves stops the attempt and gets nothing', async t => {
	const {clock, caller, publish, start, sent} = createHarness([SILENT], REPEATABLE);
	publish(1);
	const ended = start();
	await clock.advance(10);
	caller.abort();
	t.is((await ended).outcome, domain.ProxyOutcome.Abandoned);
	t.is(sent.length, 1);
});

test('shares follow their weights', t => {
	const shares = [
		{service: 'ratiba', weight: 90},
		{service: 'picha', weight: 10},
	];
	const random = createSeededRandom(7);
	const picked = Array.from({length: 5000}, () => core.pickService(shares, random.fraction()));
	const ratio = picked.filter(service => service === 'picha').length / picked.length;
	t.true(Math.abs(ratio - 0.1) < 0.02, `ratio ${ratio}`);
});

const STOP_CASES = [
	{name: 'early in a stop is passed on', atMs: 2900, deadlineMs: 8000, outcome: Answered, sentCount: 1},
	{
		name: 'late in a stop is passed on when its time is up before the end',
		atMs: 3100,
		deadlineMs: 1500,
		outcome: Answered,
		sentCount: 1,
	},
	{
		name: 'late in a stop is refused when the end would cut it off',
		atMs: 3100,
		deadlineMs: 8000,
		outcome: Refused,
		sentCount: 0,
	},
];

// Guards against a request that a stopping node passes on late and then cuts off without an answer.
STOP_CASES.forEach(({name, atMs, deadlineMs, outcome, sentCount}) => {
	test(`a call that comes ${name}`, async t => {
		const {clock, publish, call, sent} = createHarness([], {timeoutMs: 10_000}, 5000);
		publish(1);
		await clock.advance(atMs);
		const ending = await call({deadlineMs});
		t.is(ending.outcome, outcome);
		t.is(sent.length, sentCount);
	});
});

test('a call that gets its slot late in a stop is refused, and the slot is given back', async t => {
	const busy = Array.from({length: 16}, () => ({...answer(core.AnswerMeaning.Completed, 200), delayMs: 3200}));
	const route = {timeoutMs: 10_000, isBulk: true};
	const {clock, publish, start, call, sent, granted, reported} = createHarness(busy, route, 5000);
	publish(1);
	const deadlineMs = 8000;
	busy.forEach((_, index) => {
		void start({requestId: `busy-${index}`, deadlineMs});
	});
	await clock.advance(2500);
	const ending = await call({deadlineMs});
	t.like(ending, {outcome: Refused, reason: domain.RefusalReason.Draining});
	t.is(sent.length, busy.length);
	await clock.advance(100);
	t.deepEqual([...reported].toSorted(), [...granted].toSorted());
});

// Guards against a stopping node that breaks off an attempt without having another one.
test('a slow attempt goes on when it is too late in a stop for another', async t => {
	const slow = {...answer(core.AnswerMeaning.Completed, 200), delayMs: 1800};
	const steps = [answer(core.AnswerMeaning.Completed, 200), slow];
	const {clock, publish, call, sent} = createHarness(steps, {...REPEATABLE, timeoutMs: 10_000}, 5000);
	publish(1);
	await call();
	await clock.advance(2800);
	const ending = await call({requestId: 'second', deadlineMs: 8000});
	t.is(ending.outcome, Answered);
	t.is(sent.length, 2);
});
