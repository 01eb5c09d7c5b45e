import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {hashString, mixHashes} from '../routing/rendezvous-ranking.js';
import {SHARE_LIMIT_COUNT} from './share-plan.js';

/** Registered nodes as this node knows them. */
export type RegisteredNodes = {
	/** Rises with each change. */
	revision(): number;
	values(): ReadonlyMap<string, domain.RegisteredNode>;
};

/** A share of all workspaces of a partition. It has one holder. */
export type Slot = {readonly partition: number; readonly share: number};

/** The two nodes that rank first for a slot: its holder, and the node that holds it without the first one. */
export type SlotRanking = {readonly first?: domain.RegisteredNode; readonly second?: domain.RegisteredNode};

/** Assigns slots to registered nodes. Nodes with the same records agree, whether or not they reach each other. */
export type ShareRanking = {
	rank(slot: Slot): SlotRanking;
	/** Since when this node's records show the node, in ms; undefined if they do not. */
	seenSinceMs(nodeId: string): number | undefined;
	/** Whether this node's records showed the node and no longer do. */
	isRemoved(nodeId: string): boolean;
	/** When this node became first for the slot in its own records, in ms; undefined if it is not. */
	firstSinceMs(slot: Slot): number | undefined;
	/** Rises whenever a node is added or removed. */
	generation(): number;
	/** Number of registered nodes. */
	countNodes(): number;
	node(nodeId: string): domain.RegisteredNode | undefined;
};

/** Workspaces are assigned to partitions by their names, which bounds the rankings that a node keeps and confirms. */
export const PARTITION_COUNT = 1024;

/** Nodes of a ranking: the holder and its confirmer. */
const RANKED_COUNT = 2;

/** Removed nodes that are remembered. An older removal counts for all slots. */
const REMOVAL_LIMIT_COUNT = 64;

export const partitionOf = (workspaceName: string): number => hashString(workspaceName) % PARTITION_COUNT;

export const slotIdOf = ({partition, share}: Slot): number => partition * SHARE_LIMIT_COUNT + share;

type KnownNode = {readonly node: domain.RegisteredNode; readonly hash: number; readonly sinceMs: number};
type Scored = {readonly nodeId: string; readonly score: number};

/** The first two nodes of a slot. */
type CachedRanking = {readonly slotHash: number; readonly scored: readonly Scored[]};

type Removal = {readonly nodeId: string; readonly hash: number; readonly atMs: number};

export const createShareRanking = (options: {
	readonly selfId: string;
	readonly nodes: RegisteredNodes;
	readonly clock: ports.Clock;
}): ShareRanking => {
	const {selfId, nodes, clock} = options;
	const known = new Map<string, KnownNode>();
	const rankings = new Map<number, CachedRanking>();
	let removals: readonly Removal[] = [];
	let forgottenRemovalAtMs = Number.NEGATIVE_INFINITY;
	let revision = -1;
	let generation = 0;

	const isBefore = (left: Scored, right: Scored): boolean =>
		left.score > right.score || (left.score === right.score && left.nodeId < right.nodeId);

	const hashSlot = (slotId: number): number => hashString(`quota share ${slotId}`);

	const forget = (nodeId: string, nowMs: number): void => {
		const removed = known.get(nodeId)!;
		known.delete(nodeId);
		const all = [...removals, {nodeId, hash: removed.hash, atMs: nowMs}];
		removals = all.slice(-REMOVAL_LIMIT_COUNT);
		forgottenRemovalAtMs = all.length > REMOVAL_LIMIT_COUNT ? all[0]!.atMs : forgottenRemovalAtMs;
	};

	/** Inserts a known node into a ranking, if it is one of the first two. */
	const insert = (ranking: CachedRanking, nodeId: string): CachedRanking => {
		const {slotHash, scored} = ranking;
		const score = mixHashes(known.get(nodeId)!.hash, slotHash);
		// Nearly all nodes end here; a large fleet has thousands of them for each slot.
		if (scored.length === RANKED_COUNT && score < scored[RANKED_COUNT - 1]!.score) {
			return ranking;
		}

		const added = {nodeId, score};
		const place = scored.findIndex(other => isBefore(added, other));
		return {
			slotHash,
			scored: scored.toSpliced(place === -1 ? scored.length : place, 0, added).slice(0, RANKED_COUNT),
		};
	};

	/** Changes the cached rankings in place: building them anew takes too long in large fleets, where nodes change every second. */
	const updateRankings = (removedIds: ReadonlySet<string>, addedIds: readonly string[]): void => {
		[...rankings].forEach(([slotId, ranking]) => {
			if (ranking.scored.some(({nodeId}) => removedIds.has(nodeId))) {
				rankings.delete(slotId);
			} else {
				rankings.set(slotId, addedIds.reduce(insert, ranking));
			}
		});
	};

	const refresh = (): void => {
		if (nodes.revision() === revision) {
			return;
		}

		revision = nodes.revision();
		const nowMs = clock.monotonicMs();
		const values = nodes.values();
		const removedIds = [...known.keys()].filter(nodeId => !values.has(nodeId));
		const addedIds = [...values.keys()].filter(nodeId => !known.has(nodeId));
		removedIds.forEach(nodeId => {
			forget(nodeId, nowMs);
		});
		values.forEach((node, nodeId) => {
			const previous = known.get(nodeId);
			known.set(nodeId, {node, hash: previous?.hash ?? hashString(nodeId), sinceMs: previous?.sinceMs ?? nowMs});
		});
		if (removedIds.length + addedIds.length > 0) {
			generation++;
			updateRankings(new Set(removedIds), addedIds);
		}
	};

	const buildRanking = (slotId: number): CachedRanking => {
		const empty: CachedRanking = {slotHash: hashSlot(slotId), scored: []};
		return [...known.keys()].reduce(insert, empty);
	};

	const readRanking = (slot: Slot): CachedRanking => {
		refresh();
		const slotId = slotIdOf(slot);
		const ranking = rankings.get(slotId) ?? buildRanking(slotId);
		rankings.set(slotId, ranking);
		return ranking;
	};

	return {
		rank(slot) {
			const [firstId = '', secondId = ''] = readRanking(slot).scored.map(({nodeId}) => nodeId);
			return {first: known.get(firstId)?.node, second: known.get(secondId)?.node};
		},
		seenSinceMs(nodeId) {
			refresh();
			return known.get(nodeId)?.sinceMs;
		},
		isRemoved(nodeId) {
			refresh();
			return !known.has(nodeId) && removals.some(removal => removal.nodeId === nodeId);
		},
		firstSinceMs(slot) {
			const {slotHash, scored} = readRanking(slot);
			const [first] = scored;
			const self = known.get(selfId);
			if (first?.nodeId !== selfId || !self) {
				return undefined;
			}

			const removedAtMs = removals
				.filter(({nodeId, hash}) => isBefore({nodeId, score: mixHashes(hash, slotHash)}, first))
				.map(({atMs}) => atMs);
			return Math.max(self.sinceMs, forgottenRemovalAtMs, ...removedAtMs);
		},
		generation() {
			refresh();
			return generation;
		},
		countNodes() {
			refresh();
			return known.size;
		},
		node(nodeId) {
			refresh();
			return known.get(nodeId)?.node;
		},
	};
};
