import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {createBackOff} from '../shared/back-off.js';
import type {CatalogueStore} from './catalogue-store.js';
import type {LogTail, LogView} from './log-tail.js';
import type {PacedAppend} from './paced-append.js';
import type {RelayTree} from './relay-tree.js';
import {splitSnapshot} from './snapshot-parts.js';

export type SnapshotWriterOptions = {
	/** Mean pause between checks whether a snapshot is due, in ms. */
	readonly checkPeriodMs: number;
	/** Age of the newest snapshot at which the next one is due, in ms. Must be under half of the log's retention time. */
	readonly snapshotPeriodMs: number;
	/** Records after the newest snapshot at which the next one is due, for logs that limit retention by record count. */
	readonly snapshotRecordCount: number;
	/** Longest random delay before a due snapshot is written, in ms. */
	readonly jitterMs: number;
	/** Further delay for each better-ranked node, in ms, so that a node writes only if those before it did not. */
	readonly rankDelayMs: number;
};

export const DEFAULT_SNAPSHOT_WRITER_OPTIONS: SnapshotWriterOptions = {
	checkPeriodMs: 5000,
	snapshotPeriodMs: 21_600_000,
	snapshotRecordCount: 4000,
	jitterMs: 5000,
	rankDelayMs: 30_000,
};

/** Appends snapshots to the log before the records that they cover expire. */
export type SnapshotWriter = {
	/** Whether the catalogue could not be restored from the log's retained records alone. */
	isAtRisk(): boolean;
	run(signal: AbortSignal): Promise<void>;
};

/**
 * Whether the log's retained records no longer include a usable snapshot. A node that has not read all of them assumes
 * that they do.
 */
const lacksSnapshot = ({firstOffset, newestSnapshot, seenFrom}: LogView): boolean =>
	newestSnapshot === undefined
		? firstOffset > 0 && firstOffset >= seenFrom.offset
		: firstOffset > newestSnapshot.firstPartOffset || firstOffset > newestSnapshot.offset + 1;

export const createSnapshotWriter = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	tail: LogTail;
	tree: RelayTree;
	append: PacedAppend;
	selfAddress: string;
	options?: Partial<SnapshotWriterOptions>;
}): SnapshotWriter => {
	const {store, tail, tree, append, selfAddress} = dependencies;
	const {clock, logger, random} = dependencies.ports;
	const options = {...DEFAULT_SNAPSHOT_WRITER_OPTIONS, ...dependencies.options};
	const backOff = createBackOff({random, firstMs: 500, limitMs: 30_000});

	const isDue = (): boolean => {
		const view = tail.view();
		if (!view || store.appliedOffset() < 0) {
			return false;
		}

		const {newestSnapshot, seenFrom} = view;
		const ageMs = clock.monotonicMs() - (newestSnapshot?.seenAtMs ?? seenFrom.atMs);
		const newerRecordCount = store.appliedOffset() - (newestSnapshot?.offset ?? seenFrom.offset - 1);
		return lacksSnapshot(view) || ageMs >= options.snapshotPeriodMs || newerRecordCount >= options.snapshotRecordCount;
	};

	const appendPart = async (part: domain.SnapshotPart, signal: AbortSignal): Promise<void> => {
		while (!signal.aborted) {
			const appended = await append({kind: domain.CatalogueRecordKind.Snapshot, part}, signal);
			if (appended.isOk()) {
				backOff.reset();
				return;
			}

			// A part whose reply was lost may be in the log already; readers ignore duplicates.
			await clock.sleep(backOff.nextMs(), signal);
		}
	};

	const writeSnapshot = async (signal: AbortSignal): Promise<void> => {
		const parts = splitSnapshot(store.takeSnapshot(), store.measureItem);
		for (const part of parts) {
			await appendPart(part, signal);
		}

		logger.info('catalogue snapshot appended to the log', {offset: parts[0]!.offset, partCount: parts.length});
	};

	return {
		isAtRisk() {
			const view = tail.view();
			return view !== undefined && lacksSnapshot(view);
		},
		async run(signal) {
			while (!signal.aborted) {
				await clock.sleep(options.checkPeriodMs * (0.5 + random.fraction()), signal);
				const rank = tree.listReaders().findIndex(node => node.address === selfAddress);
				if (rank === -1 || !isDue()) {
					continue;
				}

				await clock.sleep(rank * options.rankDelayMs + random.fraction() * options.jitterMs, signal);
				if (!signal.aborted && isDue()) {
					await writeSnapshot(signal);
				}
			}
		},
	};
};
