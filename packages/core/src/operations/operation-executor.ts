import * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import type {CatalogueStore} from '../catalogue/catalogue-store.js';
import * as ports from '../ports/index.js';
import type * as routeTables from '../routing/route-table.js';
import {bufferBody} from '../shared/buffer-body.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import type {OperationAttemptRunner} from './operation-attempt.js';
import {computeFingerprint} from './operation-fingerprint.js';
import * as admission from './operation-admission.js';
import * as operationRecords from './operation-record.js';
import {encodeOperationId} from './operation-token.js';
import {createRecordTable, type RecordTable, type RecordTableOptions} from './record-table.js';

export type OperationExecutorOptions = RecordTableOptions & {
	/** Largest request body of an operation, which is held in memory, in bytes. A route may set a lower limit. */
	readonly bodyLimitBytes: number;
	/**
	 * Time after the caller's deadline in which a late answer is still recorded, in ms. The target's slot stays occupied
	 * meanwhile, so with a longer time a stalled target blocks more work.
	 */
	readonly lateAnswerMs: number;
	/** How long a submission still waits after the deadline, for an ending that arrives slightly late, in ms. */
	readonly settleMarginMs: number;
};

export const DEFAULT_OPERATION_EXECUTOR_OPTIONS: Omit<OperationExecutorOptions, keyof RecordTableOptions> = {
	bodyLimitBytes: 1_048_576,
	lateAnswerMs: 5000,
	settleMarginMs: 200,
};

/** Retention of a record whose service has no entry, in ms. */
const FALLBACK_RETENTION_MS = 600_000;

/** Runs the operations whose ids name this incarnation, each at most once. */
export type OperationExecutor = {
	readonly table: RecordTable;
	/** Mints ids; empty when the service is unknown or this node is stopping. */
	mint(service: string, count: number): readonly string[];
	/** Starts the operation, or waits for the ending of an earlier submission. */
	submit(submission: admission.Submission, signal: AbortSignal): Promise<domain.CallEnding>;
	read(identity: domain.OperationIdentity, workspace: string): ports.ReadOperationReply;
	/** Latest expiry of all minted ids; undefined when none was minted and no caller can submit one. */
	latestExpiryAtMs(): number | undefined;
	stopMinting(): void;
	/** Refuses operations that are submitted for the first time from now on. Cannot be undone. */
	seal(): void;
	/** Resolves when no attempt is running or `signal` is aborted. */
	waitUntilIdle(signal: AbortSignal): Promise<void>;
};

type OpenRecordResult = neverthrow.Result<operationRecords.OperationRecord, domain.CallEnding>;

export const createOperationExecutor = (dependencies: {
	ports: ports.NodePorts;
	self: domain.Incarnation;
	store: CatalogueStore;
	routeTable: routeTables.RouteTable;
	runAttempt: OperationAttemptRunner;
	options?: Partial<OperationExecutorOptions>;
}): OperationExecutor => {
	const {store, routeTable, runAttempt} = dependencies;
	const {authenticator, clock, logger, metrics} = dependencies.ports;
	const options = {...DEFAULT_OPERATION_EXECUTOR_OPTIONS, ...dependencies.options};
	const {vmId, address, incarnationId} = dependencies.self;
	const table = createRecordTable(options);
	let nextSerial = 0;
	let latestExpiryAtMs: number | undefined;
	let isMinting = true;
	let isSealed = false;

	const findRetentionMs = (service: string): number =>
		store.findItem(service)?.entry?.operations.retentionMs ?? FALLBACK_RETENTION_MS;

	const mint = (service: string, count: number): readonly string[] => {
		const entry = store.findItem(service)?.entry;
		if (!entry || !isMinting) {
			return [];
		}

		const expiresAtMs = Math.floor(clock.monotonicMs() + entry.operations.expiryMs);
		latestExpiryAtMs = Math.max(latestExpiryAtMs ?? 0, expiresAtMs);
		return Array.from({length: count}, () =>
			encodeOperationId(authenticator, {
				executor: {vmId, address, incarnationId},
				service,
				serial: nextSerial++,
				expiresAtMs,
			}),
		);
	};

	const recordEnding = (record: operationRecords.OperationRecord, ending: operationRecords.StoredEnding): void => {
		const copyLimitBytes = store.findItem(record.service)?.entry?.operations.answerCopyLimitBytes ?? 0;
		const storedEnding =
			ending.outcome === domain.Outcome.Completed ? table.reserveCopy(ending, copyLimitBytes) : ending;
		const isLate = record.state === domain.OperationState.Unknown;
		if (storedEnding.outcome === domain.Outcome.Completed) {
			// An answer proves that the work was sent, even if the delivery did not report the dispatch.
			operationRecords.advanceRecord(record, domain.OperationState.Dispatched);
		}

		if (
			operationRecords.advanceRecord(record, operationRecords.findStateOfEnding(storedEnding), storedEnding) &&
			isLate
		) {
			metrics.increment(ports.CounterName.LateAnswers, {service: record.service});
		}

		record.dropAtMs = Math.max(record.expiresAtMs, clock.monotonicMs()) + findRetentionMs(record.service);
		record.attempt = undefined;
	};

	const tryDispatch = (record: operationRecords.OperationRecord): domain.NotRunEnding | undefined => {
		if (clock.monotonicMs() >= record.expiresAtMs) {
			return domain.notRun(domain.RefusalReason.OperationExpired, 'the operation id expired while the work waited');
		}

		// The delivery calls this again when it moves a call to the next scheduling node before any byte was sent.
		const isAllowed =
			record.state === domain.OperationState.Dispatched ||
			operationRecords.advanceRecord(record, domain.OperationState.Dispatched);
		return isAllowed
			? undefined
			: domain.notRun(domain.RefusalReason.OperationSealed, `the operation is ${record.state} and is not started`);
	};

	/** Marks a dispatched operation as unknown once its deadline has passed. A late answer may still resolve it. */
	const markUnknownAfterDeadline = async (
		record: operationRecords.OperationRecord,
		deadlineAtMs: number,
		signal: AbortSignal,
	): Promise<void> => {
		await clock.sleep(deadlineAtMs + options.settleMarginMs - clock.monotonicMs(), signal);
		if (!signal.aborted && record.state === domain.OperationState.Dispatched) {
			const detail = 'the target has not answered before the deadline; a late answer still settles the operation';
			const ending = domain.unknown(domain.RefusalReason.TargetTimedOut, detail);
			operationRecords.advanceRecord(record, domain.OperationState.Unknown, ending);
		}
	};

	const execute = async (
		record: operationRecords.OperationRecord,
		work: {entry: domain.CatalogueEntry; route: domain.RouteEntry; call: domain.CallRequest; body: Uint8Array},
		deadlineAtMs: number,
	): Promise<operationRecords.StoredEnding> => {
		const controller = new AbortController();
		void markUnknownAfterDeadline(record, deadlineAtMs, controller.signal);
		const attempt = {
			...work,
			startDeadlineAtMs: Math.min(deadlineAtMs, record.expiresAtMs),
			answerDeadlineAtMs: deadlineAtMs + options.lateAnswerMs,
			beforeDispatch: () => tryDispatch(record),
		};
		let ending: operationRecords.StoredEnding;
		try {
			ending = await runAttempt(attempt, controller.signal);
		} catch (error) {
			logger.error('operation attempt failed', {service: record.service, error: String(error)});
			ending =
				record.state === domain.OperationState.Queued
					? domain.notRun(domain.RefusalReason.Internal, 'the work failed before it was sent')
					: domain.unknown(domain.RefusalReason.Internal, 'the work failed after it was sent');
		}

		controller.abort();
		recordEnding(record, ending);
		return ending;
	};

	const openRecord = (submission: admission.Submission, fingerprint: string, body: Uint8Array): OpenRecordResult => {
		const {identity, call} = submission;
		const found = routeTable.findRoute(call.method, call.path);
		const refusal = admission.findStartRefusal({table, identity, nowMs: clock.monotonicMs(), isSealed});
		if (refusal) {
			return neverthrow.err(refusal);
		}

		const {service, serial, expiresAtMs} = identity;
		if (found.isOk() && found.value.service !== service) {
			const detail = `the operation id is for service ${service}, the request for service ${found.value.service}`;
			return neverthrow.err(domain.unknown(domain.RefusalReason.OperationMismatch, detail));
		}

		const record: operationRecords.OperationRecord = {
			serial,
			service,
			workspace: call.workspace,
			fingerprint,
			expiresAtMs,
			state: domain.OperationState.Queued,
			dropAtMs: Infinity,
		};
		if (!table.add(record)) {
			return neverthrow.err(admission.refuseWithoutRecord(table, identity));
		}

		metrics.set(ports.GaugeName.OperationRecords, {}, table.recordCount());
		const admitted = admission.admitRequest(found, store.findItem(service)?.entry, body);
		if (admitted.isErr()) {
			recordEnding(record, admitted.error);
			return neverthrow.ok(record);
		}

		const {entry, route} = admitted.value;
		const deadlineAtMs = clock.monotonicMs() + Math.min(route.deadlineMs, submission.remainingMs);
		record.attempt = execute(record, {entry, route, call, body}, deadlineAtMs);
		return neverthrow.ok(record);
	};

	const awaitEnding = async (
		record: operationRecords.OperationRecord,
		waitUntilMs: number,
		signal: AbortSignal,
	): Promise<operationRecords.StoredEnding> => {
		if (!record.attempt) {
			return record.ending!;
		}

		const finished = new AbortController();
		const sleep = async (): Promise<undefined> => {
			await clock.sleep(waitUntilMs - clock.monotonicMs(), AbortSignal.any([signal, finished.signal]));
			return undefined;
		};

		const ending = await Promise.race([record.attempt, sleep()]);
		finished.abort();
		const detail = `the operation was still ${record.state} at the deadline; ask for its state later`;
		return ending ?? record.ending ?? domain.unknown(domain.RefusalReason.TargetTimedOut, detail);
	};

	/** Adds a new operation id to a `not-run` ending, with which the caller can submit the work again. */
	const attachRetryId = (service: string, ending: domain.CallEnding): domain.CallEnding => {
		const [operationId] = ending.outcome === domain.Outcome.NotRun ? mint(service, 1) : [];
		return ending.outcome === domain.Outcome.NotRun && operationId !== undefined ? {...ending, operationId} : ending;
	};

	return {
		table,
		mint,
		async submit(submission, signal) {
			const {identity, call, remainingMs} = submission;
			const waitUntilMs = clock.monotonicMs() + remainingMs + options.settleMarginMs;
			// Even with no time left, the ending of an earlier submission can be returned.
			const timeoutMs = Math.max(0, remainingMs) + options.settleMarginMs;
			const bodyRead = await runWithTimeout({clock, timeoutMs, signal}, async () =>
				bufferBody(call.body, options.bodyLimitBytes),
			);
			if (bodyRead.isTimedOut || bodyRead.value.isErr()) {
				const detail = 'the body did not arrive whole in time; an earlier submission may have run';
				return domain.unknown(domain.RefusalReason.BadRequest, detail);
			}

			const body = bodyRead.value.value;
			const fingerprint = computeFingerprint(authenticator, call, body);
			const existing = table.find(identity.serial);
			const opened: OpenRecordResult = existing ? neverthrow.ok(existing) : openRecord(submission, fingerprint, body);
			if (opened.isErr()) {
				return attachRetryId(identity.service, opened.error);
			}

			const record = opened.value;
			if (record.fingerprint !== fingerprint || record.workspace !== call.workspace) {
				return domain.unknown(domain.RefusalReason.OperationMismatch, 'the operation id belongs to another request');
			}

			const ending = await awaitEnding(record, waitUntilMs, signal);
			return attachRetryId(identity.service, operationRecords.replayEnding(ending));
		},
		read(identity, workspace) {
			const record = table.find(identity.serial);
			const isVisible = record?.workspace === workspace;
			return {
				isAuthoritative: true,
				isExpired: clock.monotonicMs() >= identity.expiresAtMs,
				...(isVisible && operationRecords.describeRecord(record)),
			};
		},
		latestExpiryAtMs: () => latestExpiryAtMs,
		stopMinting() {
			isMinting = false;
		},
		seal() {
			isSealed = true;
		},
		async waitUntilIdle(signal) {
			const aborted = new Promise(resolve => {
				signal.addEventListener('abort', resolve, {once: true});
			});
			const listRunning = (): readonly operationRecords.OperationRecord[] =>
				table.listRecords().filter(record => record.attempt !== undefined);
			for (let running = listRunning(); running.length > 0 && !signal.aborted; running = listRunning()) {
				await Promise.race([Promise.all(running.map(async record => record.attempt)), aborted]);
			}
		},
	};
};
