import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {createVirtualClock} from '../virtual-clock.js';

const FROM: domain.Incarnation = {vmId: 'vm-1', address: 'a:1', incarnationId: 'run-1'};
const identify = (
	serial: number,
	expiresAtMs = 1000,
	incarnationId = FROM.incarnationId,
): domain.OperationIdentity => ({
	executor: {...FROM, incarnationId},
	service: 'malipo',
	serial,
	expiresAtMs,
});
const record = (serial: number): core.TransferredOperation => ({
	serial,
	service: 'malipo',
	workspace: 'w',
	fingerprint: `f${serial}`,
	state: domain.OperationState.Completed,
	answer: {status: 200, headers: [], body: new Uint8Array([serial])},
});
const batch = (
	batchIndex: number,
	serials: readonly number[],
	given: Partial<core.TakeOverOperationsRequest> = {},
): core.TakeOverOperationsRequest => ({
	from: FROM,
	senderId: FROM.incarnationId,
	batchIndex,
	batchCount: 2,
	records: serials.map(record),
	forgotten: [],
	remainingRetentionMs: 5000,
	...given,
});

type TakeOverCase = {
	readonly name: string;
	readonly batches: readonly core.TakeOverOperationsRequest[];
	readonly options?: Partial<core.TakenOverRecordsOptions>;
	readonly identity: domain.OperationIdentity;
	readonly waitMs?: number;
	readonly expected: readonly [domain.Outcome, domain.RefusalReason?] | undefined;
};

const NOT_RUN = [domain.Outcome.NotRun, domain.RefusalReason.OperationSealed] as const;
const COMPLETED = [domain.Outcome.Completed, undefined] as const;

const CASES: readonly TakeOverCase[] = [
	{name: 'a record of an incomplete hand-over', batches: [batch(0, [1])], identity: identify(1), expected: COMPLETED},
	{name: 'no record in an incomplete hand-over', batches: [batch(0, [1])], identity: identify(2), expected: undefined},
	{
		name: 'no record in a complete one whose batches came in another order and twice',
		batches: [batch(1, [2]), batch(0, [1]), batch(1, [2])],
		identity: identify(3),
		expected: NOT_RUN,
	},
	{
		name: 'the same batch twice',
		batches: [batch(0, [1]), batch(0, [1])],
		identity: identify(2),
		expected: undefined,
	},
	{
		name: 'halves of two senders that split the records differently',
		batches: [batch(0, [1, 2]), batch(1, [1], {senderId: 'run-2'})],
		identity: identify(3),
		expected: undefined,
	},
	{
		name: 'an id so old that its record may have been dropped',
		batches: [batch(0, [1], {forgotten: [{service: 'malipo', untilMs: 1000}]}), batch(1, [])],
		identity: identify(3, 1000),
		expected: [domain.Outcome.Unknown, domain.RefusalReason.OperationExpired],
	},
	{
		name: 'an id younger than any dropped record',
		batches: [batch(0, [1], {forgotten: [{service: 'malipo', untilMs: 1000}]}), batch(1, [])],
		identity: identify(3, 1001),
		expected: NOT_RUN,
	},
	{
		name: 'another incarnation on the same address',
		batches: [batch(0, [1]), batch(1, [])],
		identity: identify(1, 1000, 'run-2'),
		expected: undefined,
	},
	{
		name: 'the end of the retention',
		batches: [batch(0, [1]), batch(1, [])],
		identity: identify(3),
		waitMs: 5000,
		expected: undefined,
	},
	{
		name: 'more records than there is room for',
		batches: [batch(0, [1]), batch(1, [2, 3])],
		options: {takenOverLimitCount: 2},
		identity: identify(4),
		expected: undefined,
	},
	{
		name: 'an answer for which there is no room',
		batches: [batch(0, [1]), batch(1, [])],
		options: {takenOverLimitBytes: 0},
		identity: identify(1),
		expected: [domain.Outcome.Unknown, domain.RefusalReason.AnswerTooLarge],
	},
];

// Each row guards against a false `not-run` from a successor, which would let the caller repeat work that ran.
CASES.forEach(({name, batches, options, identity, waitMs = 0, expected}) => {
	test(`a successor answers for ${name}`, async t => {
		const clock = createVirtualClock();
		const takenOver = core.createTakenOverRecords({clock, options});
		batches.forEach(request => takenOver.takeOver(request));
		await clock.advance(waitMs);
		takenOver.sweep(clock.monotonicMs());
		const ending = takenOver.answer(identity, {fingerprint: `f${identity.serial}`, workspace: 'w'});
		const reason = ending && ending.outcome !== domain.Outcome.Completed ? ending.reason : undefined;
		t.deepEqual(ending && [ending.outcome, reason], expected && [...expected]);
	});
});

// Guards against the answer of one caller's operation reaching another.
test('a successor tells another request or workspace nothing', t => {
	const takenOver = core.createTakenOverRecords({clock: createVirtualClock()});
	takenOver.takeOver(batch(0, [1], {batchCount: 1}));
	[
		{fingerprint: 'other', workspace: 'w'},
		{fingerprint: 'f1', workspace: 'other'},
	].forEach(submitted => {
		t.like(takenOver.answer(identify(1), submitted), {reason: domain.RefusalReason.OperationMismatch});
	});
	t.is(takenOver.read(identify(1), 'other')?.state, undefined);
	t.is(takenOver.read(identify(1), 'w')?.state, domain.OperationState.Completed);
});

// Guards against a hand-over that other nodes refuse as a whole because one explanation is too long for the message.
test('a transferred record keeps within the limits of the message', t => {
	const transferred = core.transferRecord({
		serial: 1,
		service: 'malipo',
		workspace: 'w',
		fingerprint: 'f',
		expiresAtMs: 0,
		state: domain.OperationState.Unknown,
		ending: domain.unknown(domain.RefusalReason.TargetLost, 'x'.repeat(5000)),
		dropAtMs: 0,
	});
	t.true(transferred.detail!.length <= 256);
	t.is(transferred.reason, domain.RefusalReason.TargetLost);
});
