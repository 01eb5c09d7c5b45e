import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';

export enum EditVerdict {
	Accepted = 'accepted',
	/** The edit was based on a revision that is no longer current. */
	RejectedStaleRevision = 'rejected-stale-revision',
	/** The same edit had been applied before. */
	Repeated = 'repeated',
}

/** What became of an edit in the log. */
export type EditResult = {
	readonly editId: string;
	readonly service: string;
	readonly author: string;
	readonly offset: number;
	readonly verdict: EditVerdict;
	/** Revision of the entry after the edit. */
	readonly revision: number;
};

export type CatalogueListener = (service: string, entry: domain.CatalogueEntry | undefined) => void;

/** The catalogue in force on this node. The applied offset and all revisions only rise. */
export type CatalogueStore = {
	/** Offset of the last applied record; -1 before the first. */
	appliedOffset(): number;
	/** Applies a record. Records at or below the applied offset are ignored. */
	applyRecord(logged: domain.LoggedRecord): EditResult | undefined;
	/** Takes over a snapshot when it is newer than the applied offset and its digest is right. */
	applySnapshot(snapshot: domain.CatalogueSnapshot): boolean;
	takeSnapshot(): domain.CatalogueSnapshot;
	findItem(service: string): domain.CatalogueItem | undefined;
	listItems(): readonly domain.CatalogueItem[];
	/** Registers a listener, which is called for each changed entry. */
	subscribe(listener: CatalogueListener): void;
};

export const createCatalogueStore = (options: {
	authenticator: ports.Authenticator;
	codec: ports.CatalogueCodec;
}): CatalogueStore => {
	const items = new Map<string, domain.CatalogueItem>();
	const listeners: CatalogueListener[] = [];
	let appliedOffset = -1;

	const replaceItem = (item: domain.CatalogueItem): void => {
		items.set(item.service, item);
		listeners.forEach(listener => {
			listener(item.service, item.entry);
		});
	};

	const listItems = (): domain.CatalogueItem[] =>
		[...items.values()].toSorted((left, right) => (left.service < right.service ? -1 : 1));

	const digestItems = (offset: number, list: readonly domain.CatalogueItem[]): string =>
		options.authenticator.digest([String(offset), ...list.map(item => options.codec.serializeItem(item))]);

	const judgeEdit = (edit: domain.EditRecord): EditVerdict => {
		const current = items.get(edit.service);
		if (current?.editId === edit.editId) {
			return EditVerdict.Repeated;
		}

		return (current?.revision ?? 0) === edit.baseRevision ? EditVerdict.Accepted : EditVerdict.RejectedStaleRevision;
	};

	const applyEdit = (offset: number, edit: domain.EditRecord): EditResult => {
		const verdict = judgeEdit(edit);
		if (verdict === EditVerdict.Accepted) {
			const {service, editId, author, entry} = edit;
			replaceItem({service, revision: edit.baseRevision + 1, editId, author, entry});
		}

		const {service, editId, author} = edit;
		return {editId, service, author, offset, verdict, revision: items.get(service)?.revision ?? 0};
	};

	const store: CatalogueStore = {
		appliedOffset: () => appliedOffset,
		applyRecord({offset, record}) {
			if (offset <= appliedOffset) {
				return undefined;
			}

			appliedOffset = offset;
			return record.kind === domain.CatalogueRecordKind.Edit ? applyEdit(offset, record) : undefined;
		},
		applySnapshot(snapshot) {
			const isValid = digestItems(snapshot.offset, snapshot.items) === snapshot.digest;
			if (!isValid || snapshot.offset <= appliedOffset) {
				return false;
			}

			appliedOffset = snapshot.offset;
			snapshot.items.filter(item => item.revision > (items.get(item.service)?.revision ?? 0)).forEach(replaceItem);
			return true;
		},
		takeSnapshot() {
			const list = listItems();
			return {offset: appliedOffset, items: list, digest: digestItems(appliedOffset, list)};
		},
		findItem: service => items.get(service),
		listItems,
		subscribe(listener) {
			listeners.push(listener);
		},
	};
	return store;
};
