import type * as domain from '@bilberrydoor/domain';
import {EligibilityChangeKind} from '../membership/eligible-nodes.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as rendezvous from '../routing/rendezvous-ranking.js';

/** Rankings of nodes by key, updated incrementally from the membership changes of a region. */
export type RankingCache = {
	/** Returns the region's highest-ranked nodes for the key; empty when the region has no eligible node. */
	rank(key: string, region: string): readonly domain.NodeDescription[];
	/** Number of rankings computed from all nodes of a region so far. */
	fullRankingCount(): number;
};

type Ranking = ReadonlyArray<rendezvous.RankedCandidate<domain.NodeDescription>>;

type CachedRanking = {readonly version: number; readonly ranking: Ranking; readonly nodes: domain.NodeDescription[]};

/**
 * A membership change costs one comparison for each cached ranking. A ranking is recomputed only when one of its
 * `limitCount` nodes leaves.
 */
export const createRankingCache = (options: {
	directory: Pick<MemberDirectory, 'regionVersion' | 'listEligibleNodes' | 'listEligibleChanges'>;
	limitCount: number;
}): RankingCache => {
	const {directory, limitCount} = options;
	const cache = new Map<string, CachedRanking>();
	let fullRankingCount = 0;

	const containsNode = (ranking: Ranking, node: domain.NodeDescription): boolean =>
		ranking.some(({candidate}) => candidate.address === node.address);

	/** Applies one change; undefined when the ranking has to be recomputed. */
	const changeHandlers: Record<
		EligibilityChangeKind,
		(key: string, ranking: Ranking, node: domain.NodeDescription) => Ranking | undefined
	> = {
		[EligibilityChangeKind.Joined]: (key, ranking, node) =>
			containsNode(ranking, node)
				? ranking.map(ranked => (ranked.candidate.address === node.address ? {...ranked, candidate: node} : ranked))
				: rendezvous.insertRanked(
						ranking,
						{candidate: node, score: rendezvous.scoreRendezvous(key, node.address)},
						limitCount,
					),
		[EligibilityChangeKind.Left]: (_key, ranking, node) => (containsNode(ranking, node) ? undefined : ranking),
	};

	const applyChanges = (key: string, region: string, cached: CachedRanking): Ranking | undefined =>
		directory
			.listEligibleChanges(region, cached.version)
			?.reduce<
				Ranking | undefined
			>((ranking, change) => ranking && changeHandlers[change.kind](key, ranking, change.node), cached.ranking);

	const computeFullRanking = (key: string, region: string): Ranking => {
		fullRankingCount++;
		return rendezvous.rankWithScores(key, directory.listEligibleNodes(region), limitCount);
	};

	return {
		rank(key, region) {
			const version = directory.regionVersion(region);
			const cached = cache.get(key);
			if (cached?.version === version) {
				return cached.nodes;
			}

			const ranking = (cached && applyChanges(key, region, cached)) ?? computeFullRanking(key, region);
			const nodes = ranking.map(({candidate}) => candidate);
			cache.set(key, {version, ranking, nodes});
			return nodes;
		},
		fullRankingCount: () => fullRankingCount,
	};
};
