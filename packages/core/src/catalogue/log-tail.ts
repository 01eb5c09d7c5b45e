import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import type {CatalogueFeed} from './catalogue-feed.js';
import type {CatalogueStore} from './catalogue-store.js';
import {createSnapshotCollector} from './snapshot-parts.js';

/**
 * A read that failed after this time may have been too large for its time limit on a slow link, so the next one asks
 * for less. Four snapshot parts take 0.3 s on a link of 30 Mbit/s.
 */
const SLOW_READ_MS = 1500;
const READ_LIMIT_COUNT_MINIMUM = 4;

/** What one step towards the newest catalogue came to. */
export enum StepOutcome {
	/** The source answered and this node has all that the source has. */
	CaughtUp = 'caught-up',
	/** The source answered and has more. */
	Behind = 'behind',
	Failed = 'failed',
	/** The source no longer holds the next record. */
	Gap = 'gap',
}

/** The newest snapshot that is in the log as a whole. */
export type SnapshotPlace = {
	/** Offset that it covers. */
	readonly offset: number;
	readonly firstPartOffset: number;
	/** When this node saw it, on the monotonic clock in ms. */
	readonly seenAtMs: number;
};

/** What a reader knows of the log. */
export type LogView = {
	readonly firstOffset: number;
	readonly endOffset: number;
	readonly newestSnapshot?: SnapshotPlace;
	/** Offset from which this node has seen every record of the log, and when it began, in ms. */
	readonly seenFrom: {readonly offset: number; readonly atMs: number};
};

/** Reads the log from the applied offset on. */
export type LogTail = {
	/** Reads once and applies. `waitMs` bounds the wait for a record. */
	readOnce(waitMs: number, signal: AbortSignal): Promise<StepOutcome>;
	/** Absent until a read has succeeded. */
	view(): LogView | undefined;
	/** Notes a snapshot that another way of reading found in the log. */
	noteSnapshot(place: Omit<SnapshotPlace, 'seenAtMs'>): void;
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
	let newestSnapshot: SnapshotPlace | undefined;
	let seenFrom: LogView['seenFrom'] | undefined;
	let expectedOffset = -1;

	const noteSnapshot = (place: Omit<SnapshotPlace, 'seenAtMs'>): void => {
		if (place.offset >= (newestSnapshot?.offset ?? -1)) {
			newestSnapshot = {...place, seenAtMs: clock.monotonicMs()};
		}
	};

	/** Follows which snapshots are whole, without keeping their content. */
	const trackSnapshots = (records: readonly domain.LoggedRecord[]): void => {
		records.forEach(({offset, record}) => {
			if (record.kind === domain.CatalogueRecordKind.Snapshot) {
				const found = collector.add({offset, part: {...record.part, items: [], recentEdits: []}});
				if (found) {
					noteSnapshot({offset: found.snapshot.offset, firstPartOffset: found.firstPartOffset});
				}
			}
		});
	};

	/** Records that came from a peer were not seen in the log, so a snapshot among them is unknown. */
	const followContinuity = (fromOffset: number, nextOffset: number): LogView['seenFrom'] => {
		const isContinued = seenFrom !== undefined && fromOffset === expectedOffset;
		expectedOffset = nextOffset;
		return isContinued ? seenFrom! : {offset: fromOffset, atMs: clock.monotonicMs()};
	};

	const handleError = (error: ports.LogError, elapsedMs: number): StepOutcome => {
		if (elapsedMs > SLOW_READ_MS) {
			limitCount = Math.max(READ_LIMIT_COUNT_MINIMUM, Math.floor(limitCount / 2));
		}

		logger.warn('catalogue log read failed', {kind: error.kind, detail: error.detail});
		return error.kind === ports.LogErrorKind.Truncated ? StepOutcome.Gap : StepOutcome.Failed;
	};

	return {
		async readOnce(waitMs, signal) {
			const fromOffset = store.appliedOffset() + 1;
			const beginMs = clock.monotonicMs();
			const reply = await logService.read({fromOffset, limitCount, waitMs}, signal);
			if (reply.isErr()) {
				return handleError(reply.error, clock.monotonicMs() - beginMs - waitMs);
			}

			const {records, nextOffset, firstOffset, endOffset} = reply.value;
			if (nextOffset < fromOffset || endOffset < fromOffset) {
				logger.error('the log ends before the applied offset', {endOffset, appliedOffset: fromOffset - 1});
				return StepOutcome.Failed;
			}

			limitCount = Math.min(limitCount * 2, dependencies.readLimitCount);
			trackSnapshots(records);
			feed.applyBatch({records, nextOffset});
			seenFrom = followContinuity(fromOffset, nextOffset);
			view = {firstOffset, endOffset, seenFrom};
			return store.appliedOffset() + 1 >= endOffset ? StepOutcome.CaughtUp : StepOutcome.Behind;
		},
		view: () => view && {...view, newestSnapshot},
		noteSnapshot,
	};
};
