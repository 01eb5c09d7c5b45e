import type * as domain from '@bilberrydoor/domain';

/** Targets of one service and region that one node schedules. */
export type TargetGroup = {
	/** `<service>/<region>/<index>`. */
	readonly groupId: string;
	readonly service: string;
	readonly region: string;
	readonly targets: readonly domain.TargetEntry[];
	readonly slotCount: number;
	/** Share of the service's floor; the shares of all groups add up to it. */
	readonly floorSlotCount: number;
	/** Fraction of the service's slots that are in this group, 0 to 1. Service-wide limits are scaled by it. */
	readonly slotRatio: number;
};

/** Maximum number of targets in a group. It bounds the queue and the connections of its scheduling node. */
export const GROUP_TARGET_LIMIT_COUNT = 64;

const sumSlots = (targets: readonly domain.TargetEntry[]): number =>
	targets.reduce((sum, target) => sum + target.slotCount, 0);

const splitIntoChunks = <T>(items: readonly T[], chunkCount: number): T[][] =>
	Array.from({length: chunkCount}, (_, chunk) => items.filter((_item, index) => index % chunkCount === chunk));

/** Divides `total` in proportion to `weights` with the largest-remainder method, so that the shares add up exactly. */
export const divideByLargestRemainder = (total: number, weights: readonly number[]): number[] => {
	const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
	if (weightSum === 0) {
		return weights.map(() => 0);
	}

	const exact = weights.map(weight => (total * weight) / weightSum);
	const roundedDown = exact.map(Math.floor);
	const missing = total - roundedDown.reduce((sum, share) => sum + share, 0);
	const roundedUpIndexes = exact
		.map((share, index) => ({index, remainder: share - Math.floor(share)}))
		.toSorted((left, right) => right.remainder - left.remainder || left.index - right.index)
		.slice(0, missing)
		.map(({index}) => index);
	const roundedUp = new Set(roundedUpIndexes);
	return roundedDown.map((share, index) => share + (roundedUp.has(index) ? 1 : 0));
};

/** Divides a service's targets into groups by region. Every node derives the same groups from the same entry. */
export const buildTargetGroups = (entry: domain.CatalogueEntry): TargetGroup[] => {
	const sorted = entry.targets.toSorted((left, right) => (left.targetId < right.targetId ? -1 : 1));
	const regions = [...new Set(sorted.map(target => target.region))].toSorted();
	const parts = regions.flatMap(region => {
		const targets = sorted.filter(target => target.region === region);
		const chunkCount = Math.ceil(targets.length / GROUP_TARGET_LIMIT_COUNT);
		return splitIntoChunks(targets, chunkCount).map((chunk, index) => ({region, targets: chunk, index}));
	});
	const slotCounts = parts.map(part => sumSlots(part.targets));
	const floorSlotCounts = divideByLargestRemainder(entry.floorSlotCount, slotCounts);
	const serviceSlotCount = sumSlots(sorted);
	return parts.map((part, index) => ({
		groupId: `${entry.service}/${part.region}/${part.index}`,
		service: entry.service,
		region: part.region,
		targets: part.targets,
		slotCount: slotCounts[index]!,
		floorSlotCount: floorSlotCounts[index]!,
		slotRatio: serviceSlotCount === 0 ? 0 : slotCounts[index]! / serviceSlotCount,
	}));
};
