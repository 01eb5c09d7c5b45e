import process from 'node:process';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';

const RECORD_COUNT = 20_000;
/** Typical answer of a clearance mark. */
const ANSWER_BYTES = 256;

const collectGarbage = (): void => {
	v8.setFlagsFromString('--expose-gc');
	(vm.runInNewContext('gc') as () => void)();
};

const usedBytes = (): number => {
	collectGarbage();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
};

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

/** Memory of one record with an answer of 256 bytes, in bytes. */
export const measureRecordBytes = (): number => {
	const table = core.createRecordTable({recordLimitCount: RECORD_COUNT});
	const before = usedBytes();
	Array.from({length: RECORD_COUNT}, (_, serial) => table.add(createRecord(serial)));
	const bytes = (usedBytes() - before) / table.recordCount();
	return Math.round(bytes);
};
