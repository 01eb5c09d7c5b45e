import type {CatalogueEntry} from './catalogue-entry.js';

/** Kind of a record in the log's catalogue stream. */
export enum CatalogueRecordKind {
	Edit = 'edit',
	Snapshot = 'snapshot',
}

/** An operator's edit of one entry. */
export type EditRecord = {
	readonly kind: CatalogueRecordKind.Edit;
	/** Chosen by the editor; repeating an append with the same id is harmless. */
	readonly editId: string;
	readonly service: string;
	readonly author: string;
	/** Revision of the entry that the edit is based on; 0 for a new entry. */
	readonly baseRevision: number;
	/** New content; absent removes the entry. */
	readonly entry?: CatalogueEntry;
};

/** One entry as it stands in force. */
export type CatalogueItem = {
	readonly service: string;
	/** Rises by one with each accepted edit; also kept for removed entries. */
	readonly revision: number;
	readonly editId: string;
	readonly author: string;
	/** Absent when the entry has been removed. */
	readonly entry?: CatalogueEntry;
};

/** The whole catalogue as it stood after the record at `offset`. */
export type CatalogueSnapshot = {
	readonly offset: number;
	/** Sorted by service. */
	readonly items: readonly CatalogueItem[];
	/** Digest of offset and items, to detect corruption and divergence. */
	readonly digest: string;
};

/** A snapshot re-appended to the log before the records that it covers expire. */
export type SnapshotRecord = {
	readonly kind: CatalogueRecordKind.Snapshot;
	readonly snapshot: CatalogueSnapshot;
};

export type CatalogueRecord = EditRecord | SnapshotRecord;

/** A record with its place in the log. */
export type LoggedRecord = {
	readonly offset: number;
	readonly record: CatalogueRecord;
};
