import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {createRevisionContents, type RevisionContents} from './revision-contents.js';

export type CatalogueStoreOptions = {
	/** Decisions that are kept to detect repeated edit ids. All nodes of a fleet need the same value. */
	readonly recentEditLimitCount: number;
	/** Accepted edits listed for each entry. All nodes of a fleet need the same value. */
	readonly historyLimitCount: number;
	/** Replaced entries whose content this node keeps for `history` and `revert`. */
	readonly contentLimitCount: number;
};

export const DEFAULT_CATALOGUE_STORE_OPTIONS: CatalogueStoreOptions = {
	recentEditLimitCount: 2048,
	historyLimitCount: 8,
	contentLimitCount: 512,
};

/** Result of applying an edit. */
export type EditResult = {
	/** Decision on the first record with this edit id. */
	readonly decision: domain.EditDecision;
	/** Whether an earlier record has the same edit id. */
	readonly isRepeated: boolean;
};

export type CatalogueListener = (service: string, entry: domain.CatalogueEntry | undefined) => void;

/** The catalogue in force on this node. The applied offset and all revisions never decrease. */
export type CatalogueStore = {
	/** Offset of the last applied record; -1 before the first. */
	appliedOffset(): number;
	/** Applies a record. Records at or below the applied offset are ignored. */
	applyRecord(logged: domain.LoggedRecord): EditResult | undefined;
	/** Raises the applied offset past records that contain no edits. A lower offset is ignored. */
	advanceTo(offset: number): void;
	/** Whether the digest of a snapshot matches its content. */
	verifySnapshot(snapshot: domain.CatalogueSnapshot): boolean;
	/** Applies a snapshot if it is newer than the applied offset and its digest is right. Returns whether it did. */
	applySnapshot(snapshot: domain.CatalogueSnapshot): boolean;
	takeSnapshot(): domain.CatalogueSnapshot;
	/** Size of an item in characters of canonical text. Also caches the item's digest for a later verification. */
	measureItem(item: domain.CatalogueItem): number;
	findItem(service: string): domain.CatalogueItem | undefined;
	listItems(): readonly domain.CatalogueItem[];
	/** Decision on a recent edit; undefined when the id is unknown or too old. */
	findDecision(editId: string): domain.EditDecision | undefined;
	/** Content of a revision; undefined when this node no longer holds it. */
	findContent(service: string, revision: number): domain.CatalogueItem | undefined;
	/** Registers a listener, which is called for each changed entry. */
	subscribe(listener: CatalogueListener): void;
};

const serializeDecision = (decision: domain.EditDecision): string =>
	[decision.offset, decision.editId, decision.service, decision.author, decision.verdict, decision.revision].join(
		'\u0000',
	);

/** Decisions on the latest edits. Above the limit the oldest is dropped in log order, so all nodes drop the same ones. */
const createDecisionCache = (limitCount: number) => {
	let decisions = new Map<string, domain.EditDecision>();
	return {
		find: (editId: string) => decisions.get(editId),
		list: () => [...decisions.values()],
		add(decision: domain.EditDecision) {
			decisions.set(decision.editId, decision);
			if (decisions.size > limitCount) {
				decisions.delete(decisions.keys().next().value!);
			}
		},
		replace(list: readonly domain.EditDecision[]) {
			decisions = new Map(list.map(decision => [decision.editId, decision]));
		},
	};
};

/** Builds the item that results from an accepted edit. */
const buildItem = (
	logged: {offset: number; edit: domain.EditRecord},
	current: domain.CatalogueItem | undefined,
	historyLimitCount: number,
): domain.CatalogueItem => {
	const {service, editId, author, baseRevision, entry} = logged.edit;
	const revision = baseRevision + 1;
	const summary = {revision, editId, author, offset: logged.offset, isRemoval: entry === undefined};
	const history = [...(current?.history ?? []), summary].slice(-historyLimitCount);
	return {service, revision, editId, author, ...(entry && {entry}), history};
};

/** Digest and size of an item. */
type ItemMeasure = {readonly digest: string; readonly sizeCharacters: number};

/**
 * Measures each item once, when it arrives. Serializing 54 MB of items at once would block the node for about 2.5 s.
 */
const createItemMeasurer = ({
	authenticator,
	codec,
}: {
	authenticator: ports.Authenticator;
	codec: ports.CatalogueCodec;
}): ((item: domain.CatalogueItem) => ItemMeasure) => {
	const measures = new WeakMap<domain.CatalogueItem, ItemMeasure>();
	return item => {
		const known = measures.get(item);
		if (known) {
			return known;
		}

		const text = codec.serializeItem(item);
		const measure = {digest: authenticator.digest([text]), sizeCharacters: text.length};
		measures.set(item, measure);
		return measure;
	};
};

export const createCatalogueStore = (dependencies: {
	authenticator: ports.Authenticator;
	codec: ports.CatalogueCodec;
	options?: Partial<CatalogueStoreOptions>;
}): CatalogueStore => {
	const options = {...DEFAULT_CATALOGUE_STORE_OPTIONS, ...dependencies.options};
	const items = new Map<string, domain.CatalogueItem>();
	const decisions = createDecisionCache(options.recentEditLimitCount);
	const contents: RevisionContents = createRevisionContents(options.contentLimitCount);
	const listeners: CatalogueListener[] = [];
	const getMeasure = createItemMeasurer(dependencies);
	let appliedOffset = -1;

	const digestSnapshot = (snapshot: Omit<domain.CatalogueSnapshot, 'digest'>): string =>
		dependencies.authenticator.digest([
			String(snapshot.offset),
			...snapshot.items.map(item => getMeasure(item).digest),
			...snapshot.recentEdits.map(serializeDecision),
		]);

	const replaceItem = (item: domain.CatalogueItem): void => {
		const replaced = items.get(item.service);
		if (replaced) {
			contents.add(replaced);
		}

		getMeasure(item);
		items.set(item.service, item);
		listeners.forEach(listener => {
			listener(item.service, item.entry);
		});
	};

	const listItems = (): domain.CatalogueItem[] =>
		[...items.values()].toSorted((left, right) => (left.service < right.service ? -1 : 1));

	const applyEdit = (offset: number, edit: domain.EditRecord): EditResult => {
		const known = decisions.find(edit.editId);
		if (known) {
			return {decision: known, isRepeated: true};
		}

		const {editId, service, author} = edit;
		const current = items.get(service);
		const isAccepted = (current?.revision ?? 0) === edit.baseRevision;
		if (isAccepted) {
			replaceItem(buildItem({offset, edit}, current, options.historyLimitCount));
		}

		const verdict = isAccepted ? domain.EditVerdict.Accepted : domain.EditVerdict.RejectedStaleRevision;
		const decision = {editId, service, author, offset, verdict, revision: items.get(service)?.revision ?? 0};
		decisions.add(decision);
		return {decision, isRepeated: false};
	};

	/** Snapshot records are ignored, because a node that reads them has applied the edits that they cover. */
	const recordHandlers: {
		readonly [Kind in domain.CatalogueRecordKind]: (
			offset: number,
			record: Extract<domain.CatalogueRecord, {kind: Kind}>,
		) => EditResult | undefined;
	} = {
		[domain.CatalogueRecordKind.Edit]: applyEdit,
		[domain.CatalogueRecordKind.Snapshot]: () => undefined,
	};

	const verifySnapshot = (snapshot: domain.CatalogueSnapshot): boolean => digestSnapshot(snapshot) === snapshot.digest;

	return {
		appliedOffset: () => appliedOffset,
		applyRecord({offset, record}) {
			if (offset <= appliedOffset) {
				return undefined;
			}

			appliedOffset = offset;
			const handle = recordHandlers[record.kind] as (
				offset: number,
				record: domain.CatalogueRecord,
			) => EditResult | undefined;
			return handle(offset, record);
		},
		advanceTo(offset) {
			appliedOffset = Math.max(appliedOffset, offset);
		},
		verifySnapshot,
		applySnapshot(snapshot) {
			if (snapshot.offset <= appliedOffset || !verifySnapshot(snapshot)) {
				return false;
			}

			appliedOffset = snapshot.offset;
			decisions.replace(snapshot.recentEdits);
			snapshot.items.filter(item => item.revision > (items.get(item.service)?.revision ?? 0)).forEach(replaceItem);
			return true;
		},
		takeSnapshot() {
			const content = {offset: appliedOffset, items: listItems(), recentEdits: decisions.list()};
			return {...content, digest: digestSnapshot(content)};
		},
		measureItem: item => getMeasure(item).sizeCharacters,
		findItem: service => items.get(service),
		listItems,
		findDecision: decisions.find,
		findContent(service, revision) {
			const current = items.get(service);
			return current?.revision === revision ? current : contents.find(service, revision);
		},
		subscribe(listener) {
			listeners.push(listener);
		},
	};
};
