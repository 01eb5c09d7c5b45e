import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {createChangeNotifier} from '../shared/change-notifier.js';
import type {CatalogueStore, EditResult} from './catalogue-store.js';
import {createRecordBuffer} from './record-buffer.js';
import {splitSnapshot} from './snapshot-parts.js';

/** Records from one reply of the log or of a peer. */
export type RecordBatch = {
	readonly records: readonly domain.LoggedRecord[];
	/** Offset of the next record to read. */
	readonly nextOffset: number;
};

/** Applies records and snapshots to the store, and serves them to this node's followers. */
export type CatalogueFeed = {
	applyBatch(batch: RecordBatch): void;
	/** Applies a newer snapshot; false when it is not newer or its digest is wrong. */
	applySnapshot(snapshot: domain.CatalogueSnapshot): boolean;
	/** Skips the records before `nextOffset`, which expired before any node had read them. */
	skipTo(nextOffset: number): void;
	freshness(): ports.RelayFreshness;
	setFreshness(freshness: ports.RelayFreshness): void;
	subscribeToResults(listener: (result: EditResult) => void): void;
	pullRecords(request: ports.PullRecordsRequest, signal: AbortSignal): Promise<ports.PullRecordsReply>;
	pullSnapshot(request: ports.PullSnapshotRequest): ports.PullSnapshotReply;
};

/** Snapshots kept for peers that are pulling their parts. They share the items of the store. */
const SERVED_SNAPSHOT_LIMIT_COUNT = 3;

const VERDICT_LABELS: Record<domain.EditVerdict, string> = {
	[domain.EditVerdict.Accepted]: 'accepted',
	[domain.EditVerdict.RejectedStaleRevision]: 'rejected-stale-revision',
};

/** Caches split snapshots, so that each is split only once for all peers that pull it. */
const createSnapshotCache = (store: CatalogueStore) => {
	let cachedSnapshots: Array<{readonly parts: readonly domain.SnapshotPart[]}> = [];
	const getNewestParts = (): readonly domain.SnapshotPart[] => {
		const cached = cachedSnapshots.find(({parts}) => parts[0]!.offset === store.appliedOffset());
		if (cached) {
			return cached.parts;
		}

		const parts = splitSnapshot(store.takeSnapshot(), store.measureItem);
		cachedSnapshots = [{parts}, ...cachedSnapshots].slice(0, SERVED_SNAPSHOT_LIMIT_COUNT);
		return parts;
	};

	return (request: ports.PullSnapshotRequest): domain.SnapshotPart | undefined => {
		const {snapshot, partIndex} = request;
		if (!snapshot) {
			return store.appliedOffset() < 0 ? undefined : getNewestParts()[partIndex];
		}

		return cachedSnapshots
			.map(({parts}) => parts[partIndex])
			.find(part => part?.offset === snapshot.offset && part.digest === snapshot.digest);
	};
};

export const createCatalogueFeed = (dependencies: {ports: ports.NodePorts; store: CatalogueStore}): CatalogueFeed => {
	const {store} = dependencies;
	const {clock, catalogueCodec, metrics} = dependencies.ports;
	const buffer = createRecordBuffer(catalogueCodec);
	const notifier = createChangeNotifier(clock);
	const findPart = createSnapshotCache(store);
	const listeners: Array<(result: EditResult) => void> = [];
	let freshness = ports.RelayFreshness.Stale;

	const announceProgress = (): void => {
		metrics.set(ports.GaugeName.AppliedOffset, {}, store.appliedOffset());
		notifier.notifyAll();
	};

	const reportResult = (result: EditResult): void => {
		const verdict = result.isRepeated ? 'repeated' : VERDICT_LABELS[result.decision.verdict];
		metrics.increment(ports.CounterName.CatalogueEdits, {verdict});
		listeners.forEach(listener => {
			listener(result);
		});
	};

	const restartAt = (nextOffset: number): void => {
		buffer.restart(nextOffset);
		announceProgress();
	};

	return {
		applyBatch({records, nextOffset}) {
			if (nextOffset - 1 <= store.appliedOffset()) {
				return;
			}

			const results = records.map(logged => store.applyRecord(logged)).filter(result => result !== undefined);
			store.advanceTo(nextOffset - 1);
			buffer.extend(records, nextOffset);
			results.forEach(reportResult);
			announceProgress();
		},
		applySnapshot(snapshot) {
			const isApplied = store.applySnapshot(snapshot);
			if (isApplied) {
				restartAt(snapshot.offset + 1);
			}

			return isApplied;
		},
		skipTo(nextOffset) {
			store.advanceTo(nextOffset - 1);
			restartAt(nextOffset);
		},
		freshness: () => freshness,
		setFreshness(next) {
			if (next !== freshness) {
				freshness = next;
				notifier.notifyAll();
			}
		},
		subscribeToResults(listener) {
			listeners.push(listener);
		},
		async pullRecords({fromOffset, limitCount, waitMs}, signal) {
			if (waitMs > 0 && buffer.read(fromOffset, limitCount)?.nextOffset === fromOffset) {
				await notifier.wait(waitMs, signal);
			}

			const found = buffer.read(fromOffset, limitCount);
			return {
				records: found?.records ?? [],
				nextOffset: found?.nextOffset ?? fromOffset,
				appliedOffset: store.appliedOffset(),
				isTruncated: found === undefined,
				freshness,
			};
		},
		pullSnapshot: request => ({part: findPart(request), appliedOffset: store.appliedOffset()}),
	};
};
