import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {createVirtualClock} from '../virtual-clock.js';

const STOPPED_INCARNATION: domain.Incarnation = {vmId: 'vm-1', address: 'a:1', incarnationId: 'run-1'};
const buildIdentity = (
	serial: number,
	expiresAtMs = 1000,
	incarnationId = STOPPED_INCARNATION.incarnationId,
): domain.OperationIdentity => ({
	executor: {...STOPPED_INCARNATION, incarnationId},
	service: 'malipo',
	serial,
	expiresAtMs,
});
const buildRecord = (serial: number): core.TransferredOperation => ({
	serial,
	service: 'malipo',
	workspace: 'w',
	fingerprint: `f${serial}`,
	state: domain.OperationState.Completed,
	answer: {status: 200, headers: [], body: new Uint8Array([serial])},
});
const buildBatch = (
	batchIndex: number,
	serials: readonly number[],
	given: Partial<core.TakeOverOperationsRequest> = {},
): core.TakeOverOperationsRequest => ({
	from: STOPPED_INCARNATION,
	senderId: STOPPED_INCARNATION.incarnationId,
	batchIndex,
	batchCount: 2,
	records: serials.map(buildRecord),
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
	{
		name: 'a record of an incomplete hand-over',
		batches: [buildBatch(0, [1])],
		identity: buildIdentity(1),
		expected: COMPLETED,
	},
	{
		name: 'no record in an incomplete hand-over',
		batches: [buildBatch(0, [1])],
		identity: buildIdentity(2),
		expected: undefined,
	},
	{
		name: 'no record in a complete hand-over whose batches arrived out of order and twice',
		batches: [buildBatch(1, [2]), buildBatch(0, [1]), buildBatch(1, [2])],
		identity: buildIdentity(3),
		expected: NOT_RUN,
	},
	{
		name: 'no record in an incomplete hand-over whose batch arrived twice',
		batches: [buildBatch(0, [1]), buildBatch(0, [1])],
		identity: buildIdentity(2),
		expected: undefined,
	},
	{
		name: 'no record in an incomplete hand-over by two senders that split the records differently',
		batches: [buildBatch(0, [1, 2]), buildBatch(1, [1], {senderId: 'run-2'})],
		identity: buildIdentity(3),
		expected: undefined,
	},
	{
		name: 'an id so old that its record may have been dropped',
		batches: [buildBatch(0, [1], {forgotten: [{service: 'malipo', untilMs: 1000}]}), buildBatch(1, [])],
		identity: buildIdentity(3, 1000),
		expected: [domain.Outcome.Unknown, domain.RefusalReason.OperationExpired],
	},
	{
		name: 'an id younger than any dropped record',
		batches: [buildBatch(0, [1], {forgotten: [{service: 'malipo', untilMs: 1000}]}), buildBatch(1, [])],
		identity: buildIdentity(3, 1001),
		expected: NOT_RUN,
	},
	{
		name: 'another incarnation at the same address',
		batches: [buildBatch(0, [1]), buildBatch(1, [])],
		identity: buildIdentity(1, 1000, 'run-2'),
		expected: undefined,
	},
	{
		name: 'no record after the end of the retention',
		batches: [buildBatch(0, [1]), buildBatch(1, [])],
		identity: buildIdentity(3),
		waitMs: 5000,
		expected: undefined,
	},
	{
		name: 'no record in a hand-over above the record limit',
		batches: [buildBatch(0, [1]), buildBatch(1, [2, 3])],
		options: {takenOverLimitCount: 2},
		identity: buildIdentity(4),
		expected: undefined,
	},
	{
		name: 'a record whose answer is above the body limit',
		batches: [buildBatch(0, [1]), buildBatch(1, [])],
		options: {takenOverLimitBytes: 0},
		identity: buildIdentity(1),
		expected: [domain.Outcome.Unknown, domain.RefusalReason.AnswerTooLarge],
	},
];

// Each row guards against a false `not-run` from a successor, which would let the caller repeat work that ran.
CASES.forEach(({name, batches, options, identity, waitMs = 0, expected}) => {
	test(`answer of a successor: ${name}`, async t => {
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
test('a successor discloses nothing to another request or workspace', t => {
	const takenOver = core.createTakenOverRecords({clock: createVirtualClock()});
	takenOver.takeOver(buildBatch(0, [1], {batchCount: 1}));
	[
		{fingerprint: 'other', workspace: 'w'},
		{fingerprint: 'f1', workspace: 'other'},
	].forEach(submitted => {
		t.like(takenOver.answer(buildIdentity(1), submitted), {reason: domain.RefusalReason.OperationMismatch});
	});
	t.is(takenOver.read(buildIdentity(1), 'other')?.state, undefined);
	t.is(takenOver.read(buildIdentity(1), 'w')?.state, domain.OperationState.Completed);
});

// Guards against a hand-over that other nodes refuse as a whole because one `detail` is too long for the message.
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
