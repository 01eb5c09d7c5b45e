import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {rankByWeightedRendezvous} from '../routing/rendezvous-ranking.js';
import {createRecentMap} from '../shared/recent-map.js';

export type NodeRankingOptions = {
	readonly clock: ports.Clock;
	/** The node's identity in the rendezvous hash, which decides its rank. */
	readonly readRankingId: (node: domain.RegisteredNode) => string;
	/** Currently known nodes of a region. */
	readonly listNodes: (region: string) => readonly domain.RegisteredNode[];
	/** Increases whenever the known nodes change. */
	readonly readRevision: () => number;
	/** Whether a node may be chosen at the moment. */
	readonly isUsable: (node: domain.RegisteredNode) => boolean;
	/** Processor cores that the work for a key takes, according to the registry. */
	readonly readNeededCores: (key: string, region: string) => number;
};

/** Ranks nodes for keys; caches the rankings until the nodes change. */
export type NodeRanking = {
	/**
	 * Usable nodes of the region, best first for the key. Nodes that are too small for the key's work come last; among the
	 * others, a node ranks first for a share of the keys in proportion to its capacity.
	 */
	rank(key: string, region: string, limitCount: number): readonly domain.RegisteredNode[];
};

/** Nodes cached for each key. When too few of them are usable, all usable nodes of the region are ranked instead. */
const CACHED_NODE_COUNT = 16;

/** Cached rankings; the least recently used are evicted. A node of the planned size uses 7,300 groups. */
const CACHED_KEY_LIMIT_COUNT = 8192;

/**
 * Age at which a cached ranking is rebuilt, since a node's removal may take effect later than its record. A ranking of 410
 * nodes takes 0.6 ms to build, and a node of the planned size may use 560 groups in this time.
 */
const RANKING_AGE_LIMIT_MS = 10_000;

/**
 * Nodes that are never too small for a key, the largest ones of the region. Without them, one large node would get the work of
 * all keys that the others are too small for.
 */
const LARGEST_NODE_COUNT = 4;

/** Rounds up to a power of two, so that ranks do not change with each small change of the work. */
const roundToStep = (cores: number): number => (cores <= 0 ? 0 : 2 ** Math.ceil(Math.log2(cores)));

/** Divides nodes into those that are large enough for the work and the others. */
const splitBySize = (
	nodes: readonly domain.RegisteredNode[],
	neededCores: number,
): readonly [domain.RegisteredNode[], domain.RegisteredNode[]] => {
	const capacities = nodes.map(({capacityCores}) => capacityCores).toSorted((left, right) => right - left);
	const thresholdCores = Math.min(neededCores, capacities[LARGEST_NODE_COUNT - 1] ?? 0);
	return [
		nodes.filter(({capacityCores}) => capacityCores >= thresholdCores),
		nodes.filter(({capacityCores}) => capacityCores < thresholdCores),
	];
};

type CachedRanking = {
	readonly neededCores: number;
	readonly revision: number;
	readonly builtAtMs: number;
	readonly hasAllNodes: boolean;
	readonly nodes: readonly domain.RegisteredNode[];
};

export const createNodeRanking = (options: NodeRankingOptions): NodeRanking => {
	const {clock, readRankingId, listNodes, readRevision, isUsable} = options;
	const rankings = createRecentMap<string, CachedRanking>(CACHED_KEY_LIMIT_COUNT);

	const readStep = (key: string, region: string): number => roundToStep(options.readNeededCores(key, region));

	/** Ranks the nodes that are large enough by capacity, and the others after them. */
	const rankNodes = (
		key: string,
		nodes: readonly domain.RegisteredNode[],
		{neededCores, limitCount}: {neededCores: number; limitCount: number},
	): readonly domain.RegisteredNode[] =>
		splitBySize(nodes, neededCores)
			.flatMap(group =>
				rankByWeightedRendezvous(
					key,
					group.map(node => ({node, address: readRankingId(node), weight: node.capacityCores})),
					limitCount,
				),
			)
			.slice(0, limitCount)
			.map(({node}) => node);

	const isCurrent = (ranking: CachedRanking, neededCores: number): boolean =>
		ranking.revision === readRevision() &&
		ranking.neededCores === neededCores &&
		clock.monotonicMs() - ranking.builtAtMs < RANKING_AGE_LIMIT_MS;

	const buildRanking = (key: string, region: string, neededCores: number): CachedRanking => {
		const nodes = listNodes(region);
		return {
			neededCores,
			revision: readRevision(),
			builtAtMs: clock.monotonicMs(),
			hasAllNodes: nodes.length <= CACHED_NODE_COUNT,
			nodes: rankNodes(key, nodes, {neededCores, limitCount: CACHED_NODE_COUNT}),
		};
	};

	const readRanking = (key: string, region: string): CachedRanking => {
		const id = `${region} ${key}`;
		const cached = rankings.get(id);
		const neededCores = readStep(key, region);
		const ranking = cached && isCurrent(cached, neededCores) ? cached : buildRanking(key, region, neededCores);
		rankings.set(id, ranking);
		return ranking;
	};

	return {
		rank(key, region, limitCount) {
			const ranking = readRanking(key, region);
			const usable = ranking.nodes.filter(isUsable).slice(0, limitCount);
			return usable.length === limitCount || ranking.hasAllNodes
				? usable
				: rankNodes(key, listNodes(region).filter(isUsable), {neededCores: ranking.neededCores, limitCount});
		},
	};
};
