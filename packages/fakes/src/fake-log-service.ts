import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';

export enum FakeLogFault {
	None = 'none',
	/** Fails every request without effect. */
	Down = 'down',
	/** Takes appends and loses their answers. */
	LoseAppendAnswers = 'lose-append-answers',
}

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

			const offset = endOffset++;
			records.push({offset, record});
			keepRetained();
			arrival.abort();
			arrival = new AbortController();
			await clock.sleep(log.latencyMs);
			return log.fault === FakeLogFault.LoseAppendAnswers
				? neverthrow.err({kind: core.LogErrorKind.Uncertain, detail: 'the answer was lost'})
				: neverthrow.ok(offset);
		},
		async read({fromOffset, limitCount, waitMs}, signal) {
			readCount++;
			await clock.sleep(log.latencyMs, signal);
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
