import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {rankByRendezvous} from '../routing/rendezvous-ranking.js';
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
};

/** Ranks nodes for keys; caches the rankings until the nodes change. */
export type NodeRanking = {
	/** Usable nodes of the region, best first for the key. */
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

type CachedRanking = {
	readonly revision: number;
	readonly builtAtMs: number;
	readonly hasAllNodes: boolean;
	readonly nodes: readonly domain.RegisteredNode[];
};

export const createNodeRanking = (options: NodeRankingOptions): NodeRanking => {
	const {clock, readRankingId, listNodes, readRevision, isUsable} = options;
	const rankings = createRecentMap<string, CachedRanking>(CACHED_KEY_LIMIT_COUNT);

	const rankNodes = (key: string, nodes: readonly domain.RegisteredNode[], limitCount: number) =>
		rankByRendezvous(
			key,
			nodes.map(node => ({node, address: readRankingId(node)})),
			limitCount,
		).map(({node}) => node);

	const isCurrent = (ranking: CachedRanking): boolean =>
		ranking.revision === readRevision() && clock.monotonicMs() - ranking.builtAtMs < RANKING_AGE_LIMIT_MS;

	const buildRanking = (key: string, region: string): CachedRanking => {
		const nodes = listNodes(region);
		return {
			revision: readRevision(),
			builtAtMs: clock.monotonicMs(),
			hasAllNodes: nodes.length <= CACHED_NODE_COUNT,
			nodes: rankNodes(key, nodes, CACHED_NODE_COUNT),
		};
	};

	const readRanking = (key: string, region: string): CachedRanking => {
		const id = `${region} ${key}`;
		const cached = rankings.get(id);
		const ranking = cached && isCurrent(cached) ? cached : buildRanking(key, region);
		rankings.set(id, ranking);
		return ranking;
	};

	return {
		rank(key, region, limitCount) {
			const ranking = readRanking(key, region);
			const usable = ranking.nodes.filter(isUsable).slice(0, limitCount);
			return usable.length === limitCount || ranking.hasAllNodes
				? usable
				: rankNodes(key, listNodes(region).filter(isUsable), limitCount);
		},
	};
};
