import type * as domain from '@bilberrydoor/domain';
import type {CatalogueStore} from './catalogue-store.js';

/**
 * Size limit of a part in characters of canonical text. A part crosses a region link of 30 Mbit/s in less than 0.1 s,
 * and a catalogue of 40 MB takes about 160 appends.
 */
export const SNAPSHOT_PART_LIMIT_CHARACTERS = 262_144;

/** Most decisions in one part; each takes about 200 bytes. */
const PART_EDIT_LIMIT_COUNT = 1024;

/** Splits a list into chunks up to a weight limit; an item above the limit gets a chunk of its own. */
const chunkByWeight = <T>(list: readonly T[], weigh: (item: T) => number, limit: number): T[][] => {
	const chunks: T[][] = [];
	let weight = Number.POSITIVE_INFINITY;
	list.forEach(item => {
		const itemWeight = weigh(item);
		if (weight + itemWeight > limit) {
			chunks.push([]);
			weight = 0;
		}

		chunks.at(-1)!.push(item);
		weight += itemWeight;
	});
	return chunks;
};

/** Splits a snapshot into at least one part of limited size. */
export const splitSnapshot = (
	snapshot: domain.CatalogueSnapshot,
	measureItem: CatalogueStore['measureItem'],
	limitCharacters = SNAPSHOT_PART_LIMIT_CHARACTERS,
): domain.SnapshotPart[] => {
	const itemChunks = chunkByWeight(snapshot.items, measureItem, limitCharacters);
	const editChunks = chunkByWeight(snapshot.recentEdits, () => 1, PART_EDIT_LIMIT_COUNT);
	const contents = [
		...itemChunks.map(items => ({items, recentEdits: []})),
		...editChunks.map(recentEdits => ({items: [], recentEdits})),
	];
	const parts = contents.length > 0 ? contents : [{items: [], recentEdits: []}];
	const {offset, digest} = snapshot;
	return parts.map((part, partIndex) => ({offset, digest, partIndex, partCount: parts.length, ...part}));
};

/** Joins the parts of one snapshot; undefined while some are missing. */
export const joinSnapshotParts = (
	parts: ReadonlyArray<domain.SnapshotPart | undefined>,
): domain.CatalogueSnapshot | undefined => {
	const [first] = parts;
	const present = parts.filter(part => part !== undefined);
	if (first?.partCount !== present.length) {
		return undefined;
	}

	return {
		offset: first.offset,
		digest: first.digest,
		items: present.flatMap(part => part.items),
		recentEdits: present.flatMap(part => part.recentEdits),
	};
};

/** A snapshot whose parts are all in the log. */
export type LoggedSnapshot = {
	readonly snapshot: domain.CatalogueSnapshot;
	/** Log offset of its earliest part. */
	readonly firstPartOffset: number;
};

/** Collects snapshot parts as they are read from the log. Duplicates and parts of several writers are handled. */
export type SnapshotCollector = {
	/** Adds a part. Returns the snapshot if this part completes it. */
	add(logged: {offset: number; part: domain.SnapshotPart}): LoggedSnapshot | undefined;
};

/** Incomplete snapshots that are kept; older ones are assumed to be abandoned by their writers. */
const INCOMPLETE_SNAPSHOT_LIMIT_COUNT = 2;

export const createSnapshotCollector = (): SnapshotCollector => {
	const incompleteSnapshots = new Map<
		string,
		{firstPartOffset: number; parts: Array<domain.SnapshotPart | undefined>}
	>();
	return {
		add({offset, part}) {
			const key = `${part.offset} ${part.digest} ${part.partCount}`;
			const incomplete = incompleteSnapshots.get(key) ?? {
				firstPartOffset: offset,
				parts: Array.from<domain.SnapshotPart | undefined>({length: part.partCount}),
			};
			incompleteSnapshots.set(key, incomplete);
			incomplete.parts[part.partIndex] ??= part;
			if (incompleteSnapshots.size > INCOMPLETE_SNAPSHOT_LIMIT_COUNT) {
				incompleteSnapshots.delete(incompleteSnapshots.keys().next().value!);
			}

			const snapshot = joinSnapshotParts(incomplete.parts);
			if (snapshot) {
				incompleteSnapshots.delete(key);
			}

			return snapshot && {snapshot, firstPartOffset: incomplete.firstPartOffset};
		},
	};
};
