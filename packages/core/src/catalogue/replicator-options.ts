import type {RelayTreeOptions} from './relay-tree.js';
import type {SnapshotRecoveryOptions} from './snapshot-recovery.js';
import type {SnapshotWriterOptions} from './snapshot-writer.js';

export type CatalogueReplicatorOptions = {
	/** Most records in one read. */
	readonly readLimitCount: number;
	/** Longest time that a read of the log waits for a record, in ms. */
	readonly readWaitMs: number;
	/** Longest time that a pull waits at the relay for a record while this node's catalogue is not stale, in ms. */
	readonly pullWaitMs: number;
	/** The same while it is stale, in ms; shorter, so that this node soon tries another relay. */
	readonly stalePullWaitMs: number;
	/**
	 * Longest wait for a relay's reply beyond the wait that the pull asks for, in ms. The first unresponsive relay costs
	 * both waits and the next one only this, so two of them delay an edit by 3.4 s, under the bound of 5 s.
	 */
	readonly pullTimeoutMs: number;
	/** Time for which a node follows another relay before it tries its parent again, in ms. */
	readonly parentRetryMs: number;
	/**
	 * Pause of a reader after a failed read, in ms; doubled up to `retryLimitMs`, with jitter. The limit keeps the time
	 * from the end of an outage to the next read under the bound of 5 s.
	 */
	readonly retryMs: number;
	readonly retryLimitMs: number;
	/**
	 * Pause between log reads of a follower whose relays fail or are stale, in ms; doubled up to `fallbackLimitMs`,
	 * with jitter. The limit keeps the reads of 4,100 nodes in an outage under 100 a second.
	 */
	readonly fallbackMs: number;
	readonly fallbackLimitMs: number;
	/** Longest wait at start for the first members, in ms. Without members, every starting node would read the log. */
	readonly membershipWaitMs: number;
	readonly relayTree: Partial<RelayTreeOptions>;
	readonly recovery: Partial<SnapshotRecoveryOptions>;
	readonly snapshots: Partial<SnapshotWriterOptions>;
};

export const DEFAULT_CATALOGUE_REPLICATOR_OPTIONS: CatalogueReplicatorOptions = {
	readLimitCount: 64,
	readWaitMs: 1000,
	pullWaitMs: 2000,
	stalePullWaitMs: 1000,
	pullTimeoutMs: 700,
	parentRetryMs: 60_000,
	retryMs: 200,
	retryLimitMs: 1500,
	fallbackMs: 1000,
	fallbackLimitMs: 45_000,
	membershipWaitMs: 2000,
	relayTree: {},
	recovery: {},
	snapshots: {},
};
