import * as adapters from '@bilberrydoor/adapters';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import test from 'ava';
import * as undici from 'undici';
import {createLogApp} from '../log/log-app.js';

/** Names of the faults are the same in the stand-in and in the fake. */
type Fault = `${fakes.FakeLogFault}`;

type Harness = {
	readonly service: core.LogService;
	setFault(fault: Fault): Promise<void>;
	/** Waits for a promise; the harness of the fake advances its virtual clock meanwhile. */
	settle<T>(promise: Promise<T>): Promise<T>;
	close(): Promise<void>;
};

const RETENTION_COUNT = 3;
/** Long, so that a slow test machine is not mistaken for a fault. */
const CLIENT_TIMEOUT_MS = 20_000;
/** For the fault `slow`, under which answers always take longer. */
const SHORT_CLIENT_TIMEOUT_MS = 2000;

const startHttpHarness = async (timeoutMs = CLIENT_TIMEOUT_MS): Promise<Harness> => {
	const listener = await adapters.startHttpListener(createLogApp({retentionCount: RETENTION_COUNT}), {});
	const url = `http://${listener.address}`;
	return {
		service: adapters.createHttpLogService({url, timeoutMs}),
		async setFault(fault) {
			const reply = await undici.request(`${url}/fault/${fault}`, {method: 'PUT'});
			await reply.body.dump();
		},
		settle: async promise => promise,
		async close() {
			listener.destroy();
			await listener.close();
		},
	};
};

const startFakeHarness = async (): Promise<Harness> => {
	const clock = fakes.createVirtualClock();
	const service = fakes.createFakeLogService(clock);
	service.retentionCount = RETENTION_COUNT;
	return {
		service,
		async setFault(fault) {
			service.fault = fault as fakes.FakeLogFault;
		},
		settle: async promise => clock.runUntilSettled(promise, 60_000),
		async close() {
			service.fault = fakes.FakeLogFault.None;
		},
	};
};

const HARNESSES = [
	{harnessName: 'HTTP adapter and stand-in', start: startHttpHarness},
	{harnessName: 'fake', start: startFakeHarness},
];

const buildEdit = (editId: string): domain.EditRecord => ({
	kind: domain.CatalogueRecordKind.Edit,
	editId,
	service: 'ratiba',
	author: 'operator',
	baseRevision: 0,
});

const read = async (harness: Harness, given: Partial<core.LogReadRequest> = {}) =>
	harness.settle(harness.service.read({fromOffset: 0, limitCount: 10, waitMs: 0, ...given}));

const append = async (harness: Harness, editId: string) => harness.settle(harness.service.append(buildEdit(editId)));

const listEditIds = (reply: Awaited<ReturnType<typeof read>>): string[] =>
	reply._unsafeUnwrap().records.map(({record}) => (record as domain.EditRecord).editId);

/** Errors that a client gets under each fault, and the edits that the log holds afterwards. */
const FAULTS: ReadonlyArray<{
	fault: Fault;
	appendError?: core.LogErrorKind;
	readError?: core.LogErrorKind;
	storedEditIds: readonly string[];
}> = [
	{fault: 'none', storedEditIds: ['a']},
	{
		fault: 'down',
		appendError: core.LogErrorKind.Unavailable,
		readError: core.LogErrorKind.Unavailable,
		storedEditIds: [],
	},
	{fault: 'lose-append-answers', appendError: core.LogErrorKind.Uncertain, storedEditIds: ['a']},
	{
		fault: 'slow',
		appendError: core.LogErrorKind.Uncertain,
		readError: core.LogErrorKind.Unavailable,
		storedEditIds: ['a'],
	},
	{fault: 'duplicate-appends', storedEditIds: ['a', 'a']},
];

HARNESSES.forEach(({harnessName, start}) => {
	// Guards against a client that reports an uncertain append as stored, or a stored one as lost.
	FAULTS.forEach(({fault, appendError, readError, storedEditIds}) => {
		test(`log service, ${harnessName}, fault ${fault}`, async t => {
			const harness = await start(fault === 'slow' ? SHORT_CLIENT_TIMEOUT_MS : undefined);
			await harness.setFault(fault);
			const appended = await append(harness, 'a');
			t.is(appended.isErr() ? appended.error.kind : undefined, appendError);
			const firstRead = await read(harness);
			t.is(firstRead.isErr() ? firstRead.error.kind : undefined, readError);
			await harness.setFault('none');
			t.deepEqual(listEditIds(await read(harness)), storedEditIds);
			await harness.close();
		});
	});

	// Guards against readers that miss records at the boundary of a batch.
	test(`log service, ${harnessName}, batches and offsets`, async t => {
		const harness = await start();
		t.like(await read(harness), {value: {records: [], firstOffset: 0, endOffset: 0, nextOffset: 0}});
		t.like(await append(harness, 'a'), {value: 0});
		t.like(await append(harness, 'b'), {value: 1});
		const first = await read(harness, {limitCount: 1});
		t.deepEqual(listEditIds(first), ['a']);
		t.like(first, {value: {nextOffset: 1, endOffset: 2}});
		t.deepEqual(listEditIds(await read(harness, {fromOffset: 1})), ['b']);
		await harness.close();
	});

	// Guards against readers that skip expired records without reporting it.
	test(`log service, ${harnessName}, truncated`, async t => {
		const harness = await start();
		for (const editId of ['a', 'b', 'c', 'd', 'e']) {
			await append(harness, editId);
		}

		const truncated = await read(harness, {fromOffset: 1});
		t.like(truncated._unsafeUnwrapErr(), {kind: core.LogErrorKind.Truncated, firstOffset: 2});
		t.deepEqual(listEditIds(await read(harness, {fromOffset: 2})), ['c', 'd', 'e']);
		await harness.close();
	});

	// Guards against a waiting read that returns a new record only when its wait has ended.
	test(`log service, ${harnessName}, a waiting read`, async t => {
		const harness = await start();
		const waiting = harness.service.read({fromOffset: 0, limitCount: 10, waitMs: 20_000});
		await append(harness, 'a');
		t.deepEqual(listEditIds(await harness.settle(waiting)), ['a']);
		await harness.close();
	});
});

// Guards against a record with an unknown schema that blocks every reader.
test('log service, HTTP adapter and stand-in, an unreadable record is skipped', async t => {
	const listener = await adapters.startHttpListener(createLogApp(), {});
	const url = `http://${listener.address}`;
	const reply = await undici.request(`${url}/streams/catalogue/records`, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({kind: 'from-the-future'}),
	});
	await reply.body.dump();
	const service = adapters.createHttpLogService({url});
	const readResult = await service.read({fromOffset: 0, limitCount: 10, waitMs: 0});
	t.like(readResult, {value: {records: [], nextOffset: 1, endOffset: 1}});
	listener.destroy();
	await listener.close();
});
