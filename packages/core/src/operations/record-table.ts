import * as domain from '@bilberrydoor/domain';
import type {OperationRecord, StoredAnswer} from './operation-record.js';

export type RecordTableOptions = {
	/** Records kept at once. No record is dropped before its time to make room. */
	readonly recordLimitCount: number;
	/** Sealed ids kept beside the records, for operations that were refused because the records were full. */
	readonly sealLimitCount: number;
	/** Bytes of all copies of answers together. */
	readonly copyLimitBytes: number;
};

/**
 * At 1 KiB a record and 32 bytes a seal the table stays below 64 MiB, half of a node's memory for control at the planned
 * size.
 */
export const DEFAULT_RECORD_TABLE_OPTIONS: RecordTableOptions = {
	recordLimitCount: 50_000,
	sealLimitCount: 200_000,
	copyLimitBytes: 33_554_432,
};

/** Bounded table of the operations that one executor has seen. */
export type RecordTable = {
	find(serial: number): OperationRecord | undefined;
	/** Adds a record. Returns false when the table is full. */
	add(record: OperationRecord): boolean;
	/** Remembers without a record that an operation never runs. Returns false when there is no room for it either. */
	seal(serial: number, expiresAtMs: number): boolean;
	isSealed(serial: number): boolean;
	/** Counts an answer's body against the limit of all copies; returns the answer without it when there is no room. */
	keepCopy(answer: StoredAnswer, limitBytes: number): StoredAnswer;
	/** Drops what may be dropped by now. */
	sweep(nowMs: number): void;
	/** Whether a record of an id with this service and expiry may have been dropped. */
	mayHaveForgotten(service: string, expiresAtMs: number): boolean;
	/** Latest expiry of a dropped record, by service. */
	listForgotten(): ReadonlyArray<{readonly service: string; readonly untilMs: number}>;
	listRecords(): readonly OperationRecord[];
	recordCount(): number;
};

const isFinal = (record: OperationRecord): boolean =>
	record.attempt === undefined &&
	record.state !== domain.OperationState.Queued &&
	record.state !== domain.OperationState.Dispatched;

const copySizeBytes = (record: OperationRecord): number =>
	record.ending?.outcome === domain.Outcome.Completed ? (record.ending.body?.byteLength ?? 0) : 0;

export const createRecordTable = (given: Partial<RecordTableOptions> = {}): RecordTable => {
	const options = {...DEFAULT_RECORD_TABLE_OPTIONS, ...given};
	const records = new Map<number, OperationRecord>();
	const seals = new Map<number, number>();
	const forgottenUntilMs = new Map<string, number>();
	let copyBytes = 0;

	const dropRecord = (record: OperationRecord): void => {
		records.delete(record.serial);
		copyBytes -= copySizeBytes(record);
		const untilMs = forgottenUntilMs.get(record.service) ?? -Infinity;
		forgottenUntilMs.set(record.service, Math.max(untilMs, record.expiresAtMs));
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
		seal(serial, expiresAtMs) {
			if (seals.size >= options.sealLimitCount) {
				return false;
			}

			seals.set(serial, expiresAtMs);
			return true;
		},
		isSealed: serial => seals.has(serial),
		keepCopy(answer, limitBytes) {
			const lengthBytes = answer.body?.byteLength ?? 0;
			if (lengthBytes > limitBytes || copyBytes + lengthBytes > options.copyLimitBytes) {
				return {...answer, body: undefined};
			}

			copyBytes += lengthBytes;
			return answer;
		},
		sweep(nowMs) {
			[...records.values()].filter(record => isFinal(record) && record.dropAtMs <= nowMs).forEach(dropRecord);
			// An expired id never starts, so its seal is no longer needed.
			[...seals.entries()]
				.filter(([, expiresAtMs]) => expiresAtMs <= nowMs)
				.forEach(([serial]) => {
					seals.delete(serial);
				});
		},
		mayHaveForgotten: (service, expiresAtMs) => expiresAtMs <= (forgottenUntilMs.get(service) ?? -Infinity),
		listForgotten: () => [...forgottenUntilMs.entries()].map(([service, untilMs]) => ({service, untilMs})),
		listRecords: () => [...records.values()],
		recordCount: () => records.size,
	};
};
