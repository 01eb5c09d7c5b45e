import type * as domain from '@bilberrydoor/domain';

export enum EligibilityChangeKind {
	Joined = 'joined',
	Left = 'left',
}

/** A node joining or leaving the set of nodes that may schedule groups in a region. */
export type EligibilityChange = {
	readonly kind: EligibilityChangeKind;
	readonly node: domain.NodeDescription;
};

/** Nodes of each region that may schedule groups, with version counters and a bounded history of changes. */
export type EligibleNodes = {
	version(): number;
	regionVersion(region: string): number;
	list(region: string): readonly domain.NodeDescription[];
	/** Changes after the given version of the region; undefined when some of them are no longer kept. */
	listChanges(region: string, sinceVersion: number): readonly EligibilityChange[] | undefined;
	add(node: domain.NodeDescription): void;
	remove(node: domain.NodeDescription): void;
};

/**
 * Changes that remain of each region when older ones are dropped. They cover several minutes of restarts at 4,100 nodes.
 */
const RETAINED_CHANGE_COUNT = 256;

type Region = {
	readonly nodes: Map<string, domain.NodeDescription>;
	version: number;
	changes: EligibilityChange[];
	list?: readonly domain.NodeDescription[];
};

export const createEligibleNodes = (): EligibleNodes => {
	const regions = new Map<string, Region>();
	let version = 0;

	const getOrCreateRegion = (name: string): Region => {
		const region = regions.get(name) ?? {nodes: new Map(), version: 0, changes: []};
		regions.set(name, region);
		return region;
	};

	const recordChange = (region: Region, change: EligibilityChange): void => {
		version++;
		region.version++;
		region.list = undefined;
		region.changes.push(change);
		if (region.changes.length > 2 * RETAINED_CHANGE_COUNT) {
			region.changes = region.changes.slice(-RETAINED_CHANGE_COUNT);
		}
	};

	return {
		version: () => version,
		regionVersion: name => regions.get(name)?.version ?? 0,
		list(name) {
			const region = regions.get(name);
			if (!region) {
				return [];
			}

			region.list ??= [...region.nodes.values()];
			return region.list;
		},
		listChanges(name, sinceVersion) {
			const region = getOrCreateRegion(name);
			const missedCount = region.version - sinceVersion;
			return missedCount > region.changes.length
				? undefined
				: region.changes.slice(region.changes.length - missedCount);
		},
		add(node) {
			const region = getOrCreateRegion(node.region);
			if (region.nodes.get(node.address)?.incarnationId !== node.incarnationId) {
				region.nodes.set(node.address, node);
				recordChange(region, {kind: EligibilityChangeKind.Joined, node});
			}
		},
		remove(node) {
			const region = getOrCreateRegion(node.region);
			if (region.nodes.delete(node.address)) {
				recordChange(region, {kind: EligibilityChangeKind.Left, node});
			}
		},
	};
};
