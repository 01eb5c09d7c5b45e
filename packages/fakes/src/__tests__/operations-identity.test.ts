import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildCall, readText} from '../build-entry.js';
import type {FakeNode} from '../fake-fleet.js';
import {createFakeAuthenticator} from '../fake-authenticator.js';
import {DEFAULT_SIMULATION_OPTIONS, startOperationsFleet} from '../simulate-operations.js';

const {Completed, NotRun, Unknown} = domain.Outcome;
const Reason = domain.RefusalReason;
const encoder = new TextEncoder();
const createSignal = (): AbortSignal => new AbortController().signal;

const toBody = (text: string): domain.BodyStream => core.replayBody(encoder.encode(text));
const buildWorkCall = (given: Partial<domain.CallRequest> = {}): domain.CallRequest =>
	buildCall({method: 'POST', path: '/work/1', headers: [['x-operation', '0']], body: toBody('mark'), ...given});

const startFleet = async () => {
	const eventFleet = await startOperationsFleet(DEFAULT_SIMULATION_OPTIONS);
	const {clock, targets} = eventFleet.fleet;
	const [first, second] = eventFleet.currentNodes as [FakeNode, FakeNode];
	const call = async (node: FakeNode, request: domain.CallRequest): Promise<domain.CallEnding> =>
		clock.runUntilSettled(node.node.handleCall(request, createSignal()), 10_000);
	const mint = async (): Promise<string> => {
		const minted = await clock.runUntilSettled(first.node.operations.mintOperations('malipo', 1, createSignal()), 5000);
		return minted._unsafeUnwrap()[0]!;
	};

	const read = async (operationId: string, workspace: string) => {
		const reading = second.node.operations.readOperation(operationId, workspace, createSignal());
		const reply = await clock.runUntilSettled(reading, 10_000);
		return reply.match(
			({state, answerStatus}) => [state, answerStatus],
			({reason}) => [reason],
		);
	};

	const countExecutions = (): number =>
		[...targets.values()].reduce((sum, target) => sum + (target.executions.get('0') ?? 0), 0);
	return {...eventFleet, clock, targets, first, second, call, mint, read, countExecutions};
};

const COMPLETED = [Completed, undefined];

const describeEnding = (ending: domain.CallEnding) => [
	ending.outcome,
	ending.outcome === Completed ? undefined : ending.reason,
];

// Guards against single work that runs without an id, and against a refusal that gives no usable id.
[
	{name: 'no id', given: {}, reason: Reason.OperationIdRequired},
	{name: 'an Idempotency-Key only', given: {idempotencyKey: 'k'}, reason: Reason.IdempotencyKeyUnsupported},
].forEach(({name, given, reason}) => {
	test(`a request with ${name} is refused and gets a usable id`, async t => {
		const {first, second, call, countExecutions} = await startFleet();
		const refused = await call(first, buildWorkCall(given));
		t.deepEqual(describeEnding(refused), [NotRun, reason]);
		t.is(countExecutions(), 0);
		const {operationId} = refused as domain.NotRunEnding;
		const ending = await call(second, buildWorkCall({...given, operationId}));
		t.is(ending.outcome, Completed);
		t.regex(await readText((ending as domain.CompletedEnding).answer.body), /\/work\/1$/);
	});
});

// Guards against an answer that goes to another request, and against disclosing whether an operation ran.
[
	{name: 'another body', given: {body: toBody('other')}},
	{name: 'no body', given: {body: undefined}},
	{name: 'another workspace', given: {workspace: 'foreign'}},
	{name: 'another path', given: {path: '/work/2'}},
	{name: 'another query', given: {query: '?a=1'}},
	{name: 'another method', given: {method: 'GET'}},
].forEach(({name, given}) => {
	test(`an id that is reused with ${name} gets neither the answer nor the ending of the operation`, async t => {
		const {first, second, call, mint, countExecutions} = await startFleet();
		const operationId = await mint();
		t.deepEqual(describeEnding(await call(first, buildWorkCall({operationId}))), COMPLETED);
		t.deepEqual(describeEnding(await call(second, buildWorkCall({operationId, ...given}))), [
			Unknown,
			Reason.OperationMismatch,
		]);
		t.is(countExecutions(), 1);
	});
});

// Guards against forged ids. The caller may have corrupted the id of work that ran, so the ending is never `not-run`.
[
	{name: 'empty', change: () => ''},
	{name: 'of another format', change: () => 'order-17'},
	{name: 'with another serial', change: (id: string) => id.replace('~malipo~0~', '~malipo~1~')},
	{name: 'with a later expiry', change: (id: string) => id.replace(/~(\d+)~(\w+)$/, '~9$1~$2')},
	{name: 'with another authentication code', change: (id: string) => id.replace(/\w+$/, '0')},
	{name: 'longer than the limit', change: (id: string) => id + 'x'.repeat(600)},
].forEach(({name, change}) => {
	test(`an id ${name} is refused as unknown`, async t => {
		const {first, call, mint, countExecutions} = await startFleet();
		const operationId = change(await mint());
		t.deepEqual(describeEnding(await call(first, buildWorkCall({operationId}))), [Unknown, Reason.OperationIdInvalid]);
		t.is(countExecutions(), 0);
	});
});

// Guards against an id of one service that starts work of another, and against a later answer that contradicts `not-run`.
test('an id of another service starts nothing, and a path without a route marks the id as refused', async t => {
	const {first, call, mint, countExecutions, currentNodes} = await startFleet();
	const identity = core.decodeOperationId(createFakeAuthenticator(), await mint())._unsafeUnwrap();
	const foreign = core.encodeOperationId(createFakeAuthenticator(), {...identity, service: 'picha'});
	t.deepEqual(describeEnding(await call(first, buildWorkCall({operationId: foreign}))), [
		Unknown,
		Reason.OperationMismatch,
	]);
	const operationId = await mint();
	const request = buildWorkCall({operationId, path: '/nowhere'});
	t.deepEqual(describeEnding(await call(first, request)), [NotRun, Reason.UnknownRoute]);
	t.deepEqual(describeEnding(await call(currentNodes[3]!, request)), [NotRun, Reason.UnknownRoute]);
	t.is(countExecutions(), 0);
});

// Guards against `not-run` from a node that has only a part of the operation's history.
test('a draining node gives `unknown` to a call with an id and `not-run` to one without', async t => {
	const {clock, first, second, call, mint} = await startFleet();
	const operationId = await mint();
	t.deepEqual(describeEnding(await call(second, buildWorkCall({operationId}))), COMPLETED);
	void first.node.drain({noticeMs: 0, limitMs: 60_000});
	await clock.advance(1);
	t.deepEqual(describeEnding(await call(first, buildWorkCall({operationId}))), [Unknown, Reason.Draining]);
	t.deepEqual(describeEnding(await call(first, buildWorkCall())), [NotRun, Reason.Draining]);
});

// Guards against a node without a catalogue that refuses an operation which ran through another node.
test('a node without a catalogue gets the ending of an operation from its executor', async t => {
	const {fleet, places, second, call, mint} = await startFleet();
	const operationId = await mint();
	t.deepEqual(describeEnding(await call(second, buildWorkCall({operationId}))), COMPLETED);
	const fresh = fleet.startNode({...places[0]!, address: 'node-9:1'});
	t.deepEqual(describeEnding(await call(fresh, buildWorkCall({operationId}))), COMPLETED);
});

// Guards against a second execution after an edit that makes the route repeatable.
test('a call with an id is still executed once when the route becomes repeatable', async t => {
	const {fleet, first, second, call, mint, countExecutions} = await startFleet();
	const operationId = await mint();
	t.deepEqual(describeEnding(await call(first, buildWorkCall({operationId}))), COMPLETED);
	const {entry, revision} = first.node.store.findItem('malipo')!;
	const routes = entry!.routes.map(route => ({...route, repeatability: domain.Repeatability.Repeatable}));
	await fleet.publishEntry({...entry!, routes}, revision);
	t.deepEqual(describeEnding(await call(second, buildWorkCall({operationId}))), COMPLETED);
	t.is(countExecutions(), 1);
});

// Guards against a lookup that discloses an operation to another workspace, or that does not return its state.
test('a lookup returns the state only to the workspace of the operation', async t => {
	const {first, call, mint, read} = await startFleet();
	const operationId = await mint();
	t.deepEqual(await read(operationId, 'default'), [undefined, undefined]);
	await call(first, buildWorkCall({operationId}));
	t.deepEqual(await read(operationId, 'default'), [domain.OperationState.Completed, 200]);
	t.deepEqual(await read(operationId, 'foreign'), [undefined, undefined]);
	t.deepEqual(await read(`${operationId}x`, 'default'), [Reason.OperationIdInvalid]);
});

// Guards against a forwarded operation that the scheduling node starts after its start limit.
test('a scheduling node does not start forwarded work after its start limit', async t => {
	const {clock, first, countExecutions} = await startFleet();
	const [group] = first.node.schedulers.listGroups('malipo');
	const forward = async (remainingStartMs: number) =>
		clock.runUntilSettled(
			first.node.handleForwardedCall(
				{
					purpose: core.ForwardPurpose.Schedule,
					service: 'malipo',
					groupId: group!.groupId,
					remainingMs: 1000,
					remainingStartMs,
					call: buildWorkCall(),
				},
				createSignal(),
			),
			5000,
		);
	t.deepEqual(describeEnding(await forward(0)), [NotRun, Reason.DeadlineExceeded]);
	t.is(countExecutions(), 0);
	t.deepEqual(describeEnding(await forward(500)), COMPLETED);
});

// Guards against work that starts on a stopping executor after its records have been handed over, when a successor may
// already have answered `not-run`.
test('a stopping executor mints no ids, starts no new operation and finishes the running one', async t => {
	const {clock, currentNodes, targets, call, mint, countExecutions} = await startFleet();
	const [runningId, unusedId] = [await mint(), await mint()];
	const executor = currentNodes.find(node => node?.address === runningId.split('~')[2])!;
	const entry = currentNodes.find(node => node !== executor)!;
	targets.forEach(target => {
		target.serviceTimeMs = () => 500;
	});
	const first = executor.node.handleCall(buildWorkCall({operationId: runningId}), createSignal());
	await clock.advance(10);
	const drained = executor.node.drain({noticeMs: 0, limitMs: 60_000});
	await clock.advance(10);
	t.deepEqual(describeEnding(await call(entry, buildWorkCall({operationId: unusedId}))), [
		NotRun,
		Reason.OperationSealed,
	]);
	const minted = await executor.node.peerHandlers[core.PeerMessageKind.MintOperations](
		{service: 'malipo', count: 1},
		createSignal(),
	);
	t.deepEqual(minted.operationIds, []);
	const ending = await clock.runUntilSettled(first, 5000);
	t.deepEqual(describeEnding(ending), COMPLETED);
	// A call is in flight until its answer has been read.
	await readText((ending as domain.CompletedEnding).answer.body);
	t.deepEqual(await clock.runUntilSettled(drained, 60_000), {cutCallCount: 0});
	t.deepEqual(describeEnding(await call(entry, buildWorkCall({operationId: unusedId}))), [
		NotRun,
		Reason.OperationSealed,
	]);
	t.is(countExecutions(), 1);
});

// Guards against `unknown` for an ending that the executor has recorded, when forwarding took all of the caller's time,
// and against work that starts after that time.
test('a submission whose time is up gets a recorded ending and starts no work', async t => {
	const {clock, currentNodes, call, mint, first, countExecutions} = await startFleet();
	const [completedId, unusedId] = [await mint(), await mint()];
	t.deepEqual(describeEnding(await call(first, buildWorkCall({operationId: completedId}))), COMPLETED);
	const executor = currentNodes.find(node => node?.address === completedId.split('~')[2])!;
	const slowBody: domain.BodyStream = {
		async *[Symbol.asyncIterator]() {
			await clock.sleep(50);
			yield encoder.encode('mark');
		},
	};
	const execute = async (operationId: string) =>
		clock.runUntilSettled(
			executor.node.handleForwardedCall(
				{
					purpose: core.ForwardPurpose.Execute,
					service: 'malipo',
					groupId: '',
					remainingMs: -300,
					call: buildWorkCall({operationId, body: slowBody}),
				},
				createSignal(),
			),
			5000,
		);
	t.deepEqual(describeEnding(await execute(completedId)), COMPLETED);
	t.deepEqual(describeEnding(await execute(unusedId)), [NotRun, Reason.DeadlineExceeded]);
	t.deepEqual(describeEnding(await call(first, buildWorkCall({operationId: unusedId}))), [
		NotRun,
		Reason.DeadlineExceeded,
	]);
	t.is(countExecutions(), 1);
});
