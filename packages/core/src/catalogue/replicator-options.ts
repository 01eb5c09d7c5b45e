import type {RelayTreeOptions} from './relay-tree.js';
import type {SnapshotRecoveryOptions} from './snapshot-recovery.js';
import type {SnapshotWriterOptions} from './snapshot-writer.js';

export type CatalogueReplicatorOptions = {
	/** Records read at once. */
	readonly readLimitCount: number;
	/** How long a read of the log may wait for a record, in ms. */
	readonly readWaitMs: number;
	/** How long a relay may hold a pull while the way to the log is open, in ms. */
	readonly pullWaitMs: number;
	/** The same while it is not, so that another relay's news is not waited for too long, in ms. */
	readonly stalePullWaitMs: number;
	/**
	 * Longest wait for a relay's reply beyond the wait that the pull asks for, in ms. The first silent relay costs both
	 * waits and the next one only this, so that two silent relays keep an edit from a node for 3.4 s,
	 * under the bound of 5 s.
	 */
	readonly pullTimeoutMs: number;
	/** How long a node stays with another relay before it tries its parent again, in ms. */
	readonly parentRetryMs: number;
	/**
	 * Pause of a reader after a failed read, in ms; doubled up to `retryLimitMs`, with jitter. The limit keeps the time
	 * to the next read after an outage under the bound of 5 s.
	 */
	readonly retryMs: number;
	readonly retryLimitMs: number;
	/**
	 * Pause between log reads of a node that is no reader but has no relay with a way to the log, in ms. The limit keeps
	 * the reads of 4,100 nodes in an outage under 100 a second.
	 */
	readonly fallbackMs: number;
	readonly fallbackLimitMs: number;
	/** Longest wait for the first membership at start, in ms, so that not every starting node reads the log. */
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
