import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {rankByRendezvous} from '../routing/rendezvous-ranking.js';
import {createRecentMap} from '../shared/recent-map.js';

export type NodeRankingOptions = {
	readonly clock: ports.Clock;
	/** What a node's place follows from. */
	readonly identify: (node: domain.RegisteredNode) => string;
	/** Nodes of a region as they are known now. */
	readonly listNodes: (region: string) => readonly domain.RegisteredNode[];
	/** Rises whenever the known nodes change. */
	readonly readRevision: () => number;
	/** Whether a node may be chosen at the moment. */
	readonly isUsable: (node: domain.RegisteredNode) => boolean;
};

/** Ranks nodes for keys; keeps the rankings until the nodes change. */
export type NodeRanking = {
	/** Usable nodes of the region, best first for the key. */
	rank(key: string, region: string, limitCount: number): readonly domain.RegisteredNode[];
};

/** Best nodes that are kept for a key. With more of them unusable than this leaves over, all nodes are ranked again. */
const KEPT_COUNT = 16;

/** Keys whose rankings are kept; the least recently used go first. A node of the planned size asks for 7,300 groups. */
const KEY_LIMIT_COUNT = 8192;

/**
 * Rankings are built anew after this time, since removals of nodes may take effect later than their records, in ms. At 410
 * nodes a ranking takes 0.6 ms, and a node of the planned size may use 560 groups in that time.
 */
const RANKING_AGE_LIMIT_MS = 10_000;

type KeptRanking = {
	readonly revision: number;
	readonly builtAtMs: number;
	readonly isWhole: boolean;
	readonly nodes: readonly domain.RegisteredNode[];
};

export const createNodeRanking = (options: NodeRankingOptions): NodeRanking => {
	const {clock, identify, listNodes, readRevision, isUsable} = options;
	const rankings = createRecentMap<string, KeptRanking>(KEY_LIMIT_COUNT);

	const rankNodes = (key: string, nodes: readonly domain.RegisteredNode[], limitCount: number) =>
		rankByRendezvous(
			key,
			nodes.map(node => ({node, address: identify(node)})),
			limitCount,
		).map(({node}) => node);

	const isCurrent = (ranking: KeptRanking): boolean =>
		ranking.revision === readRevision() && clock.monotonicMs() - ranking.builtAtMs < RANKING_AGE_LIMIT_MS;

	const buildRanking = (key: string, region: string): KeptRanking => {
		const nodes = listNodes(region);
		return {
			revision: readRevision(),
			builtAtMs: clock.monotonicMs(),
			isWhole: nodes.length <= KEPT_COUNT,
			nodes: rankNodes(key, nodes, KEPT_COUNT),
		};
	};

	const readRanking = (key: string, region: string): KeptRanking => {
		const id = `${region} ${key}`;
		const kept = rankings.get(id);
		const ranking = kept && isCurrent(kept) ? kept : buildRanking(key, region);
		rankings.set(id, ranking);
		return ranking;
	};

	return {
		rank(key, region, limitCount) {
			const ranking = readRanking(key, region);
			const usable = ranking.nodes.filter(isUsable).slice(0, limitCount);
			return usable.length === limitCount || ranking.isWhole
				? usable
				: rankNodes(key, listNodes(region).filter(isUsable), limitCount);
		},
	};
};
