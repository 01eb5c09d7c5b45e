import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import type {CatalogueFeed} from './catalogue-feed.js';
import type {CatalogueStore} from './catalogue-store.js';
import {createSnapshotCollector} from './snapshot-parts.js';

/**
 * A read that fails after this time may have been too large for its time limit on a slow link, so the next read asks
 * for fewer records. Four snapshot parts take 0.3 s on a link of 30 Mbit/s.
 */
const SLOW_READ_THRESHOLD_MS = 1500;
const READ_LIMIT_COUNT_MINIMUM = 4;

/** Result of one read from the log or a relay. */
export enum StepOutcome {
	/** The source answered, and this node has applied all records of the source. */
	CaughtUp = 'caught-up',
	/** The source answered and has more records. */
	Behind = 'behind',
	Failed = 'failed',
	/** The source no longer holds the next record. */
	Gap = 'gap',
}

/** Position of the newest snapshot whose parts are all in the log. */
export type SnapshotPosition = {
	/** Offset of the last record that the snapshot covers. */
	readonly offset: number;
	readonly firstPartOffset: number;
	/** When this node read its last missing part, on the monotonic clock, in ms. */
	readonly seenAtMs: number;
};

/** State of the log after the last successful read. */
export type LogView = {
	readonly firstOffset: number;
	readonly endOffset: number;
	readonly newestSnapshot?: SnapshotPosition;
	/** Offset from which this node has read every record from the log itself, and when it began to, in ms. */
	readonly seenFrom: {readonly offset: number; readonly atMs: number};
};

/** Reads the log from the record after the applied offset. */
export type LogTail = {
	/** Reads once and applies the records. `waitMs` limits the wait for a record, in ms. */
	readOnce(waitMs: number, signal: AbortSignal): Promise<StepOutcome>;
	/** Undefined until a read has succeeded. */
	view(): LogView | undefined;
	/** Records a snapshot that was found by a scan of the log. */
	recordSnapshot(position: Omit<SnapshotPosition, 'seenAtMs'>): void;
};

export const createLogTail = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	feed: CatalogueFeed;
	readLimitCount: number;
}): LogTail => {
	const {store, feed} = dependencies;
	const {clock, logService, logger} = dependencies.ports;
	const collector = createSnapshotCollector();
	let limitCount = dependencies.readLimitCount;
	let view: LogView | undefined;
	let newestSnapshot: SnapshotPosition | undefined;
	let seenFrom: LogView['seenFrom'] | undefined;
	let expectedOffset = -1;

	const recordSnapshot = (position: Omit<SnapshotPosition, 'seenAtMs'>): void => {
		if (position.offset >= (newestSnapshot?.offset ?? -1)) {
			newestSnapshot = {...position, seenAtMs: clock.monotonicMs()};
		}
	};

	/** Records which snapshots are complete, without keeping their content. */
	const trackSnapshots = (records: readonly domain.LoggedRecord[]): void => {
		records.forEach(({offset, record}) => {
			if (record.kind === domain.CatalogueRecordKind.Snapshot) {
				const found = collector.add({offset, part: {...record.part, items: [], recentEdits: []}});
				if (found) {
					recordSnapshot({offset: found.snapshot.offset, firstPartOffset: found.firstPartOffset});
				}
			}
		});
	};

	/**
	 * Restarts `seenFrom` when the read does not continue the previous one. The records between were pulled from a peer,
	 * which sends no snapshot records.
	 */
	const updateSeenFrom = (fromOffset: number, nextOffset: number): LogView['seenFrom'] => {
		const isContinued = seenFrom !== undefined && fromOffset === expectedOffset;
		expectedOffset = nextOffset;
		return isContinued ? seenFrom! : {offset: fromOffset, atMs: clock.monotonicMs()};
	};

	const handleError = (error: ports.LogError, elapsedMs: number): StepOutcome => {
		if (elapsedMs > SLOW_READ_THRESHOLD_MS) {
			limitCount = Math.max(READ_LIMIT_COUNT_MINIMUM, Math.floor(limitCount / 2));
		}

		logger.warn('catalogue log read failed', {kind: error.kind, detail: error.detail});
		return error.kind === ports.LogErrorKind.Truncated ? StepOutcome.Gap : StepOutcome.Failed;
	};

	return {
		async readOnce(waitMs, signal) {
			const fromOffset = store.appliedOffset() + 1;
			const startedAtMs = clock.monotonicMs();
			const reply = await logService.read({fromOffset, limitCount, waitMs}, signal);
			if (reply.isErr()) {
				return handleError(reply.error, clock.monotonicMs() - startedAtMs - waitMs);
			}

			const {records, nextOffset, firstOffset, endOffset} = reply.value;
			if (nextOffset < fromOffset || endOffset < fromOffset) {
				logger.error('the log ends before the applied offset', {endOffset, appliedOffset: fromOffset - 1});
				return StepOutcome.Failed;
			}

			limitCount = Math.min(limitCount * 2, dependencies.readLimitCount);
			trackSnapshots(records);
			feed.applyBatch({records, nextOffset});
			seenFrom = updateSeenFrom(fromOffset, nextOffset);
			view = {firstOffset, endOffset, seenFrom};
			return store.appliedOffset() + 1 >= endOffset ? StepOutcome.CaughtUp : StepOutcome.Behind;
		},
		view: () => view && {...view, newestSnapshot},
		recordSnapshot,
	};
};
