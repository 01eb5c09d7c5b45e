import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';

export enum FakeLogFault {
	None = 'none',
	/** Fails every request without effect. */
	Down = 'down',
	/** Takes appends and loses their answers. */
	LoseAppendAnswers = 'lose-append-answers',
	/** Answers too late for its clients; appends take effect at once. */
	Slow = 'slow',
	/** Stores each append twice, as a proxy does that repeats requests. */
	DuplicateAppends = 'duplicate-appends',
}

/** How long a client waits for a slow answer, in ms. */
const CLIENT_TIMEOUT_MS = 3000;

/** Log in memory with faults. */
export type FakeLogService = core.LogService & {
	fault: FakeLogFault;
	/** One-way latency in ms. */
	latencyMs: number;
	/** Records kept; older ones expire. */
	retentionCount: number;
	readonly records: readonly domain.LoggedRecord[];
	readonly appendCount: () => number;
	readonly readCount: () => number;
	/** Drops all records; offsets go on. */
	expireAll(): void;
};

export const createFakeLogService = (clock: core.Clock): FakeLogService => {
	let records: domain.LoggedRecord[] = [];
	let endOffset = 0;
	let readCount = 0;
	let arrival = new AbortController();

	const keepRetained = (): void => {
		records = records.slice(-log.retentionCount);
	};

	const isDown = (): boolean => log.fault === FakeLogFault.Down;

	const unavailable = () => neverthrow.err({kind: core.LogErrorKind.Unavailable, detail: 'the log service is down'});

	const losesAnswers = (): boolean => log.fault === FakeLogFault.LoseAppendAnswers || log.fault === FakeLogFault.Slow;

	const store = (record: domain.CatalogueRecord): number => {
		const offset = endOffset++;
		records.push({offset, record});
		keepRetained();
		arrival.abort();
		arrival = new AbortController();
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

			const offset = store(record);
			if (log.fault === FakeLogFault.DuplicateAppends) {
				store(record);
			}

			await clock.sleep(log.fault === FakeLogFault.Slow ? CLIENT_TIMEOUT_MS : log.latencyMs);
			return losesAnswers()
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
				await clock.sleep(waitMs, signal ? AbortSignal.any([signal, arrival.signal]) : arrival.signal);
			}

			if (isDown()) {
				return unavailable();
			}

			keepRetained();
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
