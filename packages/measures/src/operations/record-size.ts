import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import {measureBytesPerItem} from '../capacity/slope.js';

const DEFAULT_RECORD_COUNT = 20_000;
/** Typical size of an answer with a clearance mark. */
const ANSWER_BYTES = 256;

const createRecord = (serial: number): core.OperationRecord => ({
	serial,
	service: 'malipo',
	workspace: `workspace-${serial}`,
	fingerprint: serial.toString(16).padStart(64, '0'),
	expiresAtMs: 600_000 + serial,
	state: domain.OperationState.Completed,
	ending: {
		outcome: domain.Outcome.Completed,
		status: 200,
		headers: [
			['content-type', 'application/json'],
			['content-length', String(ANSWER_BYTES)],
			['date', `Fri, 04 Dec 2026 12:00:00 GMT ${serial}`],
		],
		body: new Uint8Array(ANSWER_BYTES),
	},
	dropAtMs: 1_200_000 + serial,
});

/** Memory of one operation record with an answer of 256 bytes, in bytes. */
export const measureRecordBytes = (recordCount = DEFAULT_RECORD_COUNT): number => {
	const bytes = measureBytesPerItem(recordCount, size => {
		const table = core.createRecordTable({recordLimitCount: size});
		Array.from({length: size}, (_, serial) => serial).forEach(serial => {
			table.add(createRecord(serial));
		});
		return table;
	});
	return Math.round(bytes);
};
