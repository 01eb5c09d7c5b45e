import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';

export enum FakeLogFault {
	None = 'none',
	/** Every request fails, and nothing is stored. */
	Down = 'down',
	/** Appends are stored, but their answers are lost. */
	LoseAppendAnswers = 'lose-append-answers',
	/** Answers arrive only after the client's timeout; appends are stored at once. */
	Slow = 'slow',
	/** Each append is stored twice, as if a proxy had retried the request. */
	DuplicateAppends = 'duplicate-appends',
}

/** Time after which a client stops waiting for an answer, in ms. */
const CLIENT_TIMEOUT_MS = 3000;

/** In-memory log service that simulates faults. */
export type FakeLogService = core.LogService & {
	fault: FakeLogFault;
	/** One-way latency in ms. */
	latencyMs: number;
	/** Number of newest records that are kept; older ones expire. */
	retentionCount: number;
	readonly records: readonly domain.LoggedRecord[];
	readonly appendCount: () => number;
	readonly readCount: () => number;
	/** Removes all records. Offsets are not reset. */
	expireAll(): void;
};

export const createFakeLogService = (clock: core.Clock): FakeLogService => {
	let records: domain.LoggedRecord[] = [];
	let endOffset = 0;
	let readCount = 0;
	let arrivalController = new AbortController();

	const removeExpiredRecords = (): void => {
		records = records.slice(-log.retentionCount);
	};

	const isDown = (): boolean => log.fault === FakeLogFault.Down;

	const unavailable = () => neverthrow.err({kind: core.LogErrorKind.Unavailable, detail: 'the log service is down'});

	const shouldLoseAnswer = (): boolean =>
		log.fault === FakeLogFault.LoseAppendAnswers || log.fault === FakeLogFault.Slow;

	const storeRecord = (record: domain.CatalogueRecord): number => {
		const offset = endOffset++;
		records.push({offset, record});
		removeExpiredRecords();
		arrivalController.abort();
		arrivalController = new AbortController();
		return offset;
	};

	const log: FakeLogService = {
		fault: FakeLogFault.None,
		latencyMs: 1,
		retentionCount: 100_000,
		get records() {
			return records;
		},
		appendCount: () => endOffset,
		readCount: () => readCount,
		expireAll() {
			records = [];
		},
		async append(record) {
			await clock.sleep(log.latencyMs);
			if (isDown()) {
				return unavailable();
			}

			const offset = storeRecord(record);
			if (log.fault === FakeLogFault.DuplicateAppends) {
				storeRecord(record);
			}

			await clock.sleep(log.fault === FakeLogFault.Slow ? CLIENT_TIMEOUT_MS : log.latencyMs);
			return shouldLoseAnswer()
				? neverthrow.err({kind: core.LogErrorKind.Uncertain, detail: 'the answer was lost'})
				: neverthrow.ok(offset);
		},
		async read({fromOffset, limitCount, waitMs}, signal) {
			readCount++;
			await clock.sleep(log.latencyMs, signal);
			if (log.fault === FakeLogFault.Slow) {
				await clock.sleep(CLIENT_TIMEOUT_MS, signal);
				return unavailable();
			}

			if (isDown()) {
				return unavailable();
			}

			if (fromOffset >= endOffset) {
				await clock.sleep(
					waitMs,
					signal ? AbortSignal.any([signal, arrivalController.signal]) : arrivalController.signal,
				);
			}

			if (isDown()) {
				return unavailable();
			}

			removeExpiredRecords();
			const firstOffset = records[0]?.offset ?? endOffset;
			if (fromOffset < firstOffset) {
				return neverthrow.err({kind: core.LogErrorKind.Truncated, detail: 'records have expired', firstOffset});
			}

			const start = fromOffset - firstOffset;
			const found = records.slice(start, start + limitCount);
			await clock.sleep(log.latencyMs, signal);
			const nextOffset = found.length > 0 ? found.at(-1)!.offset + 1 : fromOffset;
			return neverthrow.ok({records: found, firstOffset, endOffset, nextOffset});
		},
	};
	return log;
};
