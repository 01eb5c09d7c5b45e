import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {replayEnding, type StoredEnding} from './operation-record.js';

export type TakenOverRecordsOptions = {
	/** Limit on the records of all incarnations together. */
	readonly takenOverLimitCount: number;
	/** Limit on the bodies of their answers, in bytes; further answers are stored without their bodies. */
	readonly takenOverLimitBytes: number;
};

export const DEFAULT_TAKEN_OVER_RECORDS_OPTIONS: TakenOverRecordsOptions = {
	takenOverLimitCount: 50_000,
	takenOverLimitBytes: 16_777_216,
};

/** Records of one incarnation that has stopped. */
export type TakenOverOrigin = {
	readonly from: domain.Incarnation;
	readonly records: ReadonlyMap<number, ports.TransferredOperation>;
	/** Latest expiry of a record that the incarnation had dropped, by service. */
	readonly forgotten: ReadonlyMap<string, number>;
	/** When the records are dropped, on this node's monotonic clock, in ms. */
	readonly dropAtMs: number;
	readonly isComplete: boolean;
};

/** Records that other incarnations have handed over to this node at their planned stops. */
export type TakenOverRecords = {
	/** Stores a batch of records. Refuses the batch if it would exceed the record limit. */
	takeOver(request: ports.TakeOverOperationsRequest): ports.TakeOverOperationsReply;
	/**
	 * Ending of a stopped incarnation's operation. Undefined when this node has neither its record nor all records of the
	 * incarnation.
	 */
	answer(
		identity: domain.OperationIdentity,
		submitted: {fingerprint: string; workspace: string},
	): domain.CallEnding | undefined;
	/** State of an operation; undefined under the same condition. */
	read(identity: domain.OperationIdentity, workspace: string): ports.ReadOperationReply | undefined;
	listOrigins(): readonly TakenOverOrigin[];
	sweep(nowMs: number): void;
};

type Origin = {
	readonly from: domain.Incarnation;
	readonly records: Map<number, ports.TransferredOperation>;
	readonly forgotten: Map<string, number>;
	/** Indexes of the batches that have arrived, by sender. Two senders may have split the records differently. */
	readonly batchIndexes: Map<string, Set<number>>;
	isComplete: boolean;
	dropAtMs: number;
};

const buildKey = ({vmId, address, incarnationId}: domain.Incarnation): string => `${vmId} ${address} ${incarnationId}`;

const measureBodyBytes = (record: ports.TransferredOperation): number => record.answer?.body?.byteLength ?? 0;

/** Converts a transferred record to the ending that it holds. */
export const restoreEnding = (record: ports.TransferredOperation): StoredEnding => {
	const reason = record.reason ?? domain.RefusalReason.Internal;
	const detail = record.detail ?? '';
	if (record.state === domain.OperationState.Completed && record.answer) {
		return {outcome: domain.Outcome.Completed, ...record.answer};
	}

	return record.state === domain.OperationState.NotRun ? domain.notRun(reason, detail) : domain.unknown(reason, detail);
};

export const createTakenOverRecords = (dependencies: {
	clock: ports.Clock;
	options?: Partial<TakenOverRecordsOptions>;
}): TakenOverRecords => {
	const {clock} = dependencies;
	const options = {...DEFAULT_TAKEN_OVER_RECORDS_OPTIONS, ...dependencies.options};
	const origins = new Map<string, Origin>();
	let recordCount = 0;
	let bodyBytes = 0;

	const findOrAddOrigin = ({from}: ports.TakeOverOperationsRequest): Origin => {
		const existing = origins.get(buildKey(from));
		if (existing) {
			return existing;
		}

		const origin: Origin = {
			from,
			records: new Map(),
			forgotten: new Map(),
			batchIndexes: new Map(),
			isComplete: false,
			dropAtMs: 0,
		};
		origins.set(buildKey(from), origin);
		return origin;
	};

	const addRecord = (origin: Origin, record: ports.TransferredOperation): void => {
		if (origin.records.has(record.serial)) {
			return;
		}

		const hasRoom = bodyBytes + measureBodyBytes(record) <= options.takenOverLimitBytes;
		const storedRecord = hasRoom || !record.answer ? record : {...record, answer: {...record.answer, body: undefined}};
		origin.records.set(record.serial, storedRecord);
		recordCount++;
		bodyBytes += measureBodyBytes(storedRecord);
	};

	const dropOrigin = (key: string, origin: Origin): void => {
		origins.delete(key);
		recordCount -= origin.records.size;
		bodyBytes -= [...origin.records.values()].reduce((sum, record) => sum + measureBodyBytes(record), 0);
	};

	const answerWithoutRecord = (origin: Origin, identity: domain.OperationIdentity): domain.CallEnding | undefined => {
		if (!origin.isComplete) {
			return undefined;
		}

		return identity.expiresAtMs <= (origin.forgotten.get(identity.service) ?? -Infinity)
			? domain.unknown(domain.RefusalReason.OperationExpired, 'the record of the operation may have been dropped')
			: domain.notRun(domain.RefusalReason.OperationSealed, 'the executor has stopped without starting the work');
	};

	return {
		takeOver(request) {
			const newCount = request.records.filter(
				({serial}) => !origins.get(buildKey(request.from))?.records.has(serial),
			).length;
			if (recordCount + newCount > options.takenOverLimitCount) {
				return {isAccepted: false, isComplete: false};
			}

			const origin = findOrAddOrigin(request);
			request.records.forEach(record => {
				addRecord(origin, record);
			});
			request.forgotten.forEach(({service, untilMs}) => {
				origin.forgotten.set(service, untilMs);
			});
			const arrivedIndexes = origin.batchIndexes.get(request.senderId) ?? new Set<number>();
			origin.batchIndexes.set(request.senderId, arrivedIndexes.add(request.batchIndex));
			origin.isComplete ||= arrivedIndexes.size === request.batchCount;
			origin.dropAtMs = Math.max(origin.dropAtMs, clock.monotonicMs() + request.remainingRetentionMs);
			return {isAccepted: true, isComplete: origin.isComplete};
		},
		answer(identity, {fingerprint, workspace}) {
			const origin = origins.get(buildKey(identity.executor));
			const record = origin?.records.get(identity.serial);
			if (!origin || !record) {
				return origin && answerWithoutRecord(origin, identity);
			}

			return record.fingerprint === fingerprint && record.workspace === workspace
				? replayEnding(restoreEnding(record))
				: domain.unknown(domain.RefusalReason.OperationMismatch, 'the operation id belongs to another request');
		},
		read(identity, workspace) {
			const origin = origins.get(buildKey(identity.executor));
			const record = origin?.records.get(identity.serial);
			if (!origin || !(record ?? origin.isComplete)) {
				return undefined;
			}

			const {state, reason, detail, answer} = record?.workspace === workspace ? record : {};
			return {isAuthoritative: true, isExpired: true, state, reason, detail, answerStatus: answer?.status};
		},
		listOrigins: () => [...origins.values()],
		sweep(nowMs) {
			[...origins.entries()]
				.filter(([, origin]) => origin.dropAtMs <= nowMs)
				.forEach(([key, origin]) => {
					dropOrigin(key, origin);
				});
		},
	};
};
