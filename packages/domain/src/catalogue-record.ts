import type {CatalogueEntry} from './catalogue-entry.js';

/** Kind of a record in the log's catalogue stream. */
export enum CatalogueRecordKind {
	Edit = 'edit',
	Snapshot = 'snapshot',
}

/** An operator's edit of one entry. */
export type EditRecord = {
	readonly kind: CatalogueRecordKind.Edit;
	/** Chosen by the editor. Appending the same edit again under the same id has no further effect. */
	readonly editId: string;
	readonly service: string;
	readonly author: string;
	/** Revision of the entry that the edit is based on; 0 for a new entry. */
	readonly baseRevision: number;
	/** New content; absent removes the entry. */
	readonly entry?: CatalogueEntry;
};

/** Verdict on an edit in the log. */
export enum EditVerdict {
	Accepted = 'accepted',
	/** The base revision of the edit was not the current revision at its place in the log. */
	RejectedStaleRevision = 'rejected-stale-revision',
}

/** An edit with its verdict, which is the same on every node. */
export type EditDecision = {
	readonly editId: string;
	readonly service: string;
	readonly author: string;
	/** Log offset of the first record with this edit id. */
	readonly offset: number;
	readonly verdict: EditVerdict;
	/** Revision of the entry after the verdict. */
	readonly revision: number;
};

/** One accepted edit of an entry, without its content. */
export type RevisionSummary = {
	readonly revision: number;
	readonly editId: string;
	readonly author: string;
	readonly offset: number;
	readonly isRemoval: boolean;
};

/** Current state of one entry. */
export type CatalogueItem = {
	readonly service: string;
	/** Rises by one with each accepted edit; also kept for removed entries. */
	readonly revision: number;
	readonly editId: string;
	readonly author: string;
	/** Absent when the entry has been removed. */
	readonly entry?: CatalogueEntry;
	/** The latest accepted edits, oldest first, including the one in force. */
	readonly history: readonly RevisionSummary[];
};

/** The whole catalogue after applying the record at `offset`. */
export type CatalogueSnapshot = {
	readonly offset: number;
	/** Sorted by service. */
	readonly items: readonly CatalogueItem[];
	/** Decisions on the latest edits, oldest first, so that a repeated edit is recognized after a recovery. */
	readonly recentEdits: readonly EditDecision[];
	/** Digest of offset, items and recent edits, to detect corruption and divergence. */
	readonly digest: string;
};

/** Part of a snapshot, of bounded size. Every node splits the same snapshot into the same parts. */
export type SnapshotPart = {
	/** Offset and digest of the whole snapshot. */
	readonly offset: number;
	readonly digest: string;
	/** From 0 to below `partCount`. */
	readonly partIndex: number;
	readonly partCount: number;
	readonly items: readonly CatalogueItem[];
	readonly recentEdits: readonly EditDecision[];
};

/** Part of a snapshot, appended to the log before the records that the snapshot covers expire. */
export type SnapshotRecord = {
	readonly kind: CatalogueRecordKind.Snapshot;
	readonly part: SnapshotPart;
};

export type CatalogueRecord = EditRecord | SnapshotRecord;

/** A record with its offset in the log. */
export type LoggedRecord = {
	readonly offset: number;
	readonly record: CatalogueRecord;
};
