import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {createSeededRandom} from '../seeded-random.js';
import {answerWith, createCallProxyHarness, failWith, UNANSWERED, type ScriptedStep} from './call-proxy-harness.js';

const REPEATABLE = {repeatability: domain.Repeatability.Repeatable};

type Case = {
	readonly name: string;
	readonly steps: readonly ScriptedStep[];
	readonly route?: Partial<domain.HostRoute>;
	readonly expected: Partial<domain.ProxyEnding> & {readonly reason?: domain.RefusalReason};
	readonly status?: number;
	readonly sentCount: number;
};

const {Answered, Refused, Failed} = domain.ProxyOutcome;

const CASES: readonly Case[] = [
	{
		name: 'an answer is forwarded to the caller',
		steps: [],
		expected: {outcome: Answered},
		status: 200,
		sentCount: 1,
	},
	{
		name: 'single work is not sent again after its connection broke',
		steps: [failWith(core.AttemptErrorKind.Broken)],
		expected: {outcome: Failed, reason: domain.RefusalReason.TargetLost},
		sentCount: 1,
	},
	{
		name: "failed single work is answered with the target's own error",
		steps: [answerWith(core.AnswerMeaning.Failed, 500)],
		expected: {outcome: Answered},
		status: 500,
		sentCount: 1,
	},
	{
		name: 'single work that a target did not run is sent to another target',
		steps: [answerWith(core.AnswerMeaning.NotRun, 503)],
		expected: {outcome: Answered},
		status: 200,
		sentCount: 2,
	},
	{
		name: 'single work that no target ran ends as refused and not as failed',
		steps: [answerWith(core.AnswerMeaning.NotRun, 503), answerWith(core.AnswerMeaning.Replaced, 421)],
		expected: {outcome: Refused, reason: domain.RefusalReason.TargetRefused},
		sentCount: 2,
	},
	{
		name: 'unreachable targets do not count towards the attempt limit',
		steps: [failWith(core.AttemptErrorKind.Unreachable), failWith(core.AttemptErrorKind.Unreachable)],
		expected: {outcome: Answered},
		status: 200,
		sentCount: 3,
	},
	{
		name: 'a call whose last attempt may have run ends as failed and not as refused, also after a shed attempt',
		steps: [answerWith(core.AnswerMeaning.NotRun, 503), failWith(core.AttemptErrorKind.Broken)],
		expected: {outcome: Failed, reason: domain.RefusalReason.TargetLost},
		sentCount: 2,
	},
	{
		name: 'failed repeatable work is retried at another target',
		steps: [answerWith(core.AnswerMeaning.Failed, 500)],
		route: REPEATABLE,
		expected: {outcome: Answered},
		status: 200,
		sentCount: 2,
	},
	{
		name: 'an answer to another call is not forwarded',
		steps: [answerWith(core.AnswerMeaning.Mismatched, 200)],
		expected: {outcome: Failed, reason: domain.RefusalReason.TargetLost},
		sentCount: 1,
	},
	{
		name: 'repeatable work is not retried beyond the attempt limit',
		steps: Array.from({length: 4}, () => failWith(core.AttemptErrorKind.Broken)),
		route: REPEATABLE,
		expected: {outcome: Failed, reason: domain.RefusalReason.TargetLost},
		sentCount: 2,
	},
	{
		name: "a call that its target does not answer fails at the route's timeout",
		steps: [UNANSWERED],
		expected: {outcome: Failed, reason: domain.RefusalReason.TargetTimedOut},
		sentCount: 1,
	},
];

CASES.forEach(({name, steps, route, expected, status, sentCount}) => {
	test(name, async t => {
		const {publish, call, sent} = createCallProxyHarness({steps, route});
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

test("a call ends at the route's timeout, and the target receives the remaining time", async t => {
	const {clock, publish, call, sent} = createCallProxyHarness({steps: [UNANSWERED], route: {timeoutMs: 1500}});
	publish(1);
	await call({deadlineMs: 4000});
	t.is(clock.monotonicMs(), 1500);
	t.is(sent[0]?.remainingMs, 1500);
});

test('without a catalogue a call is refused with a retry delay and not with an unknown route', async t => {
	const {call} = createCallProxyHarness({steps: []});
	const ending = await call();
	t.like(ending, {outcome: Refused, reason: domain.RefusalReason.NoCatalogue});
	t.true(ending.outcome === Refused && ending.retryAfterMs! > 0);
});

test('a call to an unreadable rule is refused as not run, with a time to retry', async t => {
	const {call, publish, sent} = createCallProxyHarness({
		steps: [],
		unreadableRoutes: [{host: 'gateway.example', pathPrefix: '/clearances/17/'}],
	});
	publish(1);
	const ending = await call({pathAndQuery: '/clearances/17/photos?ward=3'});
	t.like(ending, {outcome: Refused, reason: domain.RefusalReason.UnreadableRoute});
	t.true(ending.outcome === Refused && ending.retryAfterMs! > 0);
	t.is(sent.length, 0);
});

test('a slow attempt at repeatable work is replaced by another one', async t => {
	const {publish, call, sent} = createCallProxyHarness({
		steps: [answerWith(core.AnswerMeaning.Completed, 200), UNANSWERED],
		route: REPEATABLE,
	});
	publish(1);
	await call();
	const ending = await call({requestId: 'second'});
	t.is(ending.outcome, Answered);
	t.is(sent.length, 3);
});

test('a grant for the replacement of a slow attempt is released when the slow attempt completes first', async t => {
	const late = {...answerWith(core.AnswerMeaning.Completed, 200), delayMs: 5000, shouldIgnoreCancellation: true};
	const steps = [answerWith(core.AnswerMeaning.Completed, 200), late];
	const {publish, call, sent, acquiredGrantIds, reportedGrantIds} = createCallProxyHarness({
		steps,
		route: {
			...REPEATABLE,
			attemptLimit: 3,
		},
	});
	publish(1);
	await call();
	await call();
	t.is(sent.length, 2);
	t.is(acquiredGrantIds.size, 3);
	t.deepEqual([...reportedGrantIds].toSorted(), [...acquiredGrantIds].toSorted());
});

test('a call whose caller disconnects is abandoned without another attempt', async t => {
	const {clock, caller, publish, start, sent} = createCallProxyHarness({steps: [UNANSWERED], route: REPEATABLE});
	publish(1);
	const ended = start();
	await clock.advance(10);
	caller.abort();
	t.is((await ended).outcome, domain.ProxyOutcome.Abandoned);
	t.is(sent.length, 1);
});

test('services are picked in proportion to their weights', t => {
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
	{name: 'early in a shutdown is forwarded', atMs: 2900, deadlineMs: 8000, outcome: Answered, sentCount: 1},
	{
		name: 'late in a shutdown is forwarded if its deadline is before the end',
		atMs: 3100,
		deadlineMs: 1500,
		outcome: Answered,
		sentCount: 1,
	},
	{
		name: 'late in a shutdown is refused if the end could cut it off',
		atMs: 3100,
		deadlineMs: 8000,
		outcome: Refused,
		sentCount: 0,
	},
];

// Guards against a node that forwards a request late in its shutdown and then cuts it off without an answer.
STOP_CASES.forEach(({name, atMs, deadlineMs, outcome, sentCount}) => {
	test(`a call that arrives ${name}`, async t => {
		const {clock, publish, call, sent} = createCallProxyHarness({
			steps: [],
			route: {timeoutMs: 10_000},
			stopsAtMs: 5000,
		});
		publish(1);
		await clock.advance(atMs);
		const ending = await call({deadlineMs});
		t.is(ending.outcome, outcome);
		t.is(sent.length, sentCount);
	});
});

test('a call that gets its grant late in a shutdown is refused, and the grant is released', async t => {
	const busy = Array.from({length: 16}, () => ({...answerWith(core.AnswerMeaning.Completed, 200), delayMs: 3200}));
	const route = {timeoutMs: 10_000, isBulk: true};
	const {clock, publish, start, call, sent, acquiredGrantIds, reportedGrantIds} = createCallProxyHarness({
		steps: busy,
		route,
		stopsAtMs: 5000,
	});
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
	t.deepEqual([...reportedGrantIds].toSorted(), [...acquiredGrantIds].toSorted());
});

// Guards against a node that cancels a slow attempt during its shutdown when it cannot start another one.
test('a slow attempt continues when it is too late in a shutdown to start another one', async t => {
	const slow = {...answerWith(core.AnswerMeaning.Completed, 200), delayMs: 1800};
	const steps = [answerWith(core.AnswerMeaning.Completed, 200), slow];
	const {clock, publish, call, sent} = createCallProxyHarness({
		steps,
		route: {...REPEATABLE, timeoutMs: 10_000},
		stopsAtMs: 5000,
	});
	publish(1);
	await call();
	await clock.advance(2800);
	const ending = await call({requestId: 'second', deadlineMs: 8000});
	t.is(ending.outcome, Answered);
	t.is(sent.length, 2);
});
