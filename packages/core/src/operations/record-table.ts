import * as domain from '@bilberrydoor/domain';
import type {OperationRecord, StoredAnswer} from './operation-record.js';

export type RecordTableOptions = {
	/** Largest number of records. No record is evicted early to make room. */
	readonly recordLimitCount: number;
	/** Largest number of ids marked as refused because the table had no room for a record. */
	readonly refusedIdLimitCount: number;
	/** Limit on all stored answer bodies together, in bytes. */
	readonly copyLimitBytes: number;
};

/**
 * At 1 KiB a record and 32 bytes a refused id the table stays below 64 MiB, half of a node's memory budget for control
 * data at the planned fleet size.
 */
export const DEFAULT_RECORD_TABLE_OPTIONS: RecordTableOptions = {
	recordLimitCount: 50_000,
	refusedIdLimitCount: 200_000,
	copyLimitBytes: 33_554_432,
};

/** Bounded table of the operations that were submitted to one executor. */
export type RecordTable = {
	find(serial: number): OperationRecord | undefined;
	/** Adds a record. Returns false when the table is full. */
	add(record: OperationRecord): boolean;
	/** Marks an operation as refused for good, without a record. Returns false when the limit of marks is reached. */
	markRefused(serial: number, expiresAtMs: number): boolean;
	isMarkedRefused(serial: number): boolean;
	/** Reserves room for an answer's body; returns the answer without it when either limit would be exceeded. */
	reserveCopy(answer: StoredAnswer, limitBytes: number): StoredAnswer;
	/** Drops records past their retention, and marks of expired ids. */
	sweep(nowMs: number): void;
	/** Whether a record of an id with this service and expiry may have been dropped. */
	mayHaveDroppedRecord(service: string, expiresAtMs: number): boolean;
	/** Latest expiry of a dropped record, by service. */
	listDroppedExpiries(): ReadonlyArray<{readonly service: string; readonly untilMs: number}>;
	listRecords(): readonly OperationRecord[];
	recordCount(): number;
};

const isFinal = (record: OperationRecord): boolean =>
	record.attempt === undefined &&
	record.state !== domain.OperationState.Queued &&
	record.state !== domain.OperationState.Dispatched;

const measureCopyBytes = (record: OperationRecord): number =>
	record.ending?.outcome === domain.Outcome.Completed ? (record.ending.body?.byteLength ?? 0) : 0;

export const createRecordTable = (given: Partial<RecordTableOptions> = {}): RecordTable => {
	const options = {...DEFAULT_RECORD_TABLE_OPTIONS, ...given};
	const records = new Map<number, OperationRecord>();
	const refusedExpiriesMs = new Map<number, number>();
	const droppedExpiriesMs = new Map<string, number>();
	let copyBytes = 0;

	const dropRecord = (record: OperationRecord): void => {
		records.delete(record.serial);
		copyBytes -= measureCopyBytes(record);
		const latestExpiryMs = droppedExpiriesMs.get(record.service) ?? -Infinity;
		droppedExpiriesMs.set(record.service, Math.max(latestExpiryMs, record.expiresAtMs));
	};

	return {
		find: serial => records.get(serial),
		add(record) {
			if (records.size >= options.recordLimitCount) {
				return false;
			}

			records.set(record.serial, record);
			return true;
		},
		markRefused(serial, expiresAtMs) {
			if (refusedExpiriesMs.size >= options.refusedIdLimitCount) {
				return false;
			}

			refusedExpiriesMs.set(serial, expiresAtMs);
			return true;
		},
		isMarkedRefused: serial => refusedExpiriesMs.has(serial),
		reserveCopy(answer, limitBytes) {
			const lengthBytes = answer.body?.byteLength ?? 0;
			if (lengthBytes > limitBytes || copyBytes + lengthBytes > options.copyLimitBytes) {
				return {...answer, body: undefined};
			}

			copyBytes += lengthBytes;
			return answer;
		},
		sweep(nowMs) {
			[...records.values()].filter(record => isFinal(record) && record.dropAtMs <= nowMs).forEach(dropRecord);
			// An expired id never starts, so its mark is no longer needed.
			[...refusedExpiriesMs.entries()]
				.filter(([, expiresAtMs]) => expiresAtMs <= nowMs)
				.forEach(([serial]) => {
					refusedExpiriesMs.delete(serial);
				});
		},
		mayHaveDroppedRecord: (service, expiresAtMs) => expiresAtMs <= (droppedExpiriesMs.get(service) ?? -Infinity),
		listDroppedExpiries: () => [...droppedExpiriesMs.entries()].map(([service, untilMs]) => ({service, untilMs})),
		listRecords: () => [...records.values()],
		recordCount: () => records.size,
	};
};
