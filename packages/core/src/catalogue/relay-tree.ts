import type * as domain from '@bilberrydoor/domain';
import type {MemberDirectory} from '../membership/member-directory.js';
import {rankByRendezvous} from '../routing/rendezvous-ranking.js';

export type RelayTreeOptions = {
	/** Nodes of each region that read the log themselves. */
	readonly readerCount: number;
	/**
	 * Followers of each node. With 2, a node sends each change twice and stays under its limit of 5 KB/s at 11,000 changes
	 * of 5 KB a day. No node of a region of 410 is more than nine hops from the log.
	 */
	readonly followerCount: number;
};

export const DEFAULT_RELAY_TREE_OPTIONS: RelayTreeOptions = {readerCount: 3, followerCount: 2};

/**
 * The trees through which records are relayed. The nodes of a region form trees below its readers, by a rank that
 * depends on addresses only. A follower pulls only from nodes of a better rank, so no two followers wait for each other,
 * even while their views of the membership differ.
 */
export type RelayTree = {
	/** Whether this node reads the log itself. */
	isReader(): boolean;
	/** Nodes to follow, in order of preference: the parent, its ancestors, the other readers of the region. */
	listRelays(): readonly domain.NodeDescription[];
	/** Readers of all regions, in one rank order for the whole fleet. */
	listReaders(): readonly domain.NodeDescription[];
};

const RANK_KEY = 'catalogue-relay';

export const createRelayTree = (directory: MemberDirectory, given: Partial<RelayTreeOptions> = {}): RelayTree => {
	const options = {...DEFAULT_RELAY_TREE_OPTIONS, ...given};
	const {self} = directory;

	const rankRegion = (region: string): domain.NodeDescription[] => {
		const nodes = directory.listEligibleNodes(region);
		const isSelfMissing = region === self.region && !nodes.some(node => node.address === self.address);
		return rankByRendezvous(RANK_KEY, isSelfMissing ? [self, ...nodes] : nodes, Number.POSITIVE_INFINITY);
	};

	const listAncestors = (position: number): number[] => {
		if (position < options.readerCount) {
			return [];
		}

		const parent = Math.floor((position - options.readerCount) / options.followerCount);
		return [parent, ...listAncestors(parent)];
	};

	const derivePlacement = () => {
		const ranked = rankRegion(self.region);
		const position = ranked.findIndex(node => node.address === self.address);
		const readers = ranked.slice(0, options.readerCount);
		const ancestors = listAncestors(position).map(index => ranked[index]!);
		const relays = [...new Set([...ancestors, ...readers])].filter(node => node.address !== self.address);
		return {version: directory.version(), isReader: position < options.readerCount, relays};
	};

	let cachedPlacement: ReturnType<typeof derivePlacement> | undefined;
	const getPlacement = () => {
		cachedPlacement = cachedPlacement?.version === directory.version() ? cachedPlacement : derivePlacement();
		return cachedPlacement;
	};

	return {
		isReader: () => getPlacement().isReader,
		listRelays: () => getPlacement().relays,
		listReaders() {
			const regions = [...new Set([self, ...directory.listLiveNodes()].map(node => node.region))];
			const readers = regions.flatMap(region => rankRegion(region).slice(0, options.readerCount));
			return rankByRendezvous(RANK_KEY, readers, Number.POSITIVE_INFINITY);
		},
	};
};
