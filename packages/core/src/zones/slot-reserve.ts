import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {createDecayedCount, type DecayedCount} from './decayed-count.js';
import type {ZoneOptions} from './zone-options.js';

/** Slots of one target. */
export type SlotView = {
	target(): Pick<domain.RegisteredTarget, 'availabilityZone'>;
	openCount(): number;
	slotCount(): number;
};

export type ReserveRequest = Pick<
	ports.AcquireGrantRequest,
	'availabilityZone' | 'isFromOtherRegion' | 'priority' | 'waitLimitMs' | 'isLastResort'
>;

/** Keeps some free slots of a zone for the callers of that zone, and some of the group for the callers of its region. */
export type SlotReserve = {
	/** Records that a call of this zone or region wants a slot. */
	recordDemand(request: ReserveRequest): void;
	/**
	 * The free targets that the request may get.
	 *
	 * @param free targets with a free slot, of those that are usable
	 * @param usable all usable targets
	 */
	listPermitted<View extends SlotView>(
		request: ReserveRequest,
		free: readonly View[],
		usable: readonly SlotView[],
	): readonly View[];
};

/** Time over which demand is measured, in ms. */
const DEMAND_WINDOW_MS = 2000;

/** Slots are kept for the calls that are expected within this time, in ms; by then others have become free. */
const RESERVE_HORIZON_MS = 50;

/** Pairs of zone and priority whose demand is kept. Both come from peers, so their number must have a bound. */
const DEMAND_LIMIT_COUNT = 256;

type Demand = {readonly availabilityZone: string; readonly priority: number; readonly count: DecayedCount};

const countFree = (views: readonly SlotView[]): number =>
	views.reduce((sum, view) => sum + Math.max(0, view.slotCount() - view.openCount()), 0);

const countSlots = (views: readonly SlotView[]): number => views.reduce((sum, view) => sum + view.slotCount(), 0);

export const createSlotReserve = (parts: {
	readonly clock: Pick<ports.Clock, 'monotonicMs'>;
	readonly options: Pick<ZoneOptions, 'regionReserveRatio' | 'zoneReserveRatio' | 'zoneReserveHoldMs'>;
}): SlotReserve => {
	const {clock, options} = parts;
	const demands = new Map<string, Demand>();
	/** When each waiting request was first kept from a reserved slot. */
	const heldSinceMs = new WeakMap<ReserveRequest, number>();

	/** Calls of at least the given priority that are expected within the horizon. */
	const expectCalls = (priority: number, isCounted: (demand: Demand) => boolean): number => {
		const nowMs = clock.monotonicMs();
		const count = [...demands.values()]
			.filter(demand => demand.priority <= priority && isCounted(demand))
			.reduce((sum, demand) => sum + demand.count.read(nowMs), 0);
		return Math.round((count * RESERVE_HORIZON_MS) / DEMAND_WINDOW_MS);
	};

	const removeUnused = (): void => {
		const nowMs = clock.monotonicMs();
		[...demands]
			.filter(([, {count}]) => count.read(nowMs) < 0.01)
			.forEach(([key]) => {
				demands.delete(key);
			});
	};

	/** Whether more slots are free than are kept for the calls that are expected. Counts all slots only if that may matter. */
	const isOpen = (
		free: readonly SlotView[],
		expectedCount: number,
		listUsable: () => readonly SlotView[],
		ratio: number,
	) => {
		const freeCount = expectedCount === 0 ? Number.POSITIVE_INFINITY : countFree(free);
		return freeCount > expectedCount || freeCount > Math.ceil(countSlots(listUsable()) * ratio);
	};

	/** A region's own callers come first: calls of other regions get no reserved slot, however long they wait. */
	const isOpenToOtherRegions = (
		{priority}: ReserveRequest,
		free: readonly SlotView[],
		usable: readonly SlotView[],
	): boolean =>
		isOpen(
			free,
			expectCalls(priority, () => true),
			() => usable,
			options.regionReserveRatio,
		);

	const isZoneOpen = (
		{priority}: ReserveRequest,
		zone: string,
		free: readonly SlotView[],
		usable: readonly SlotView[],
	): boolean => {
		const isOfZone = (view: SlotView): boolean => view.target().availabilityZone === zone;
		const expectedCount = expectCalls(priority, ({availabilityZone}) => availabilityZone === zone);
		return isOpen(free.filter(isOfZone), expectedCount, () => usable.filter(isOfZone), options.zoneReserveRatio);
	};

	/** Whether the request may take a reserved slot of another zone, since it has waited or cannot wait. */
	const isHoldOver = (request: ReserveRequest): boolean => {
		const nowMs = clock.monotonicMs();
		const sinceMs = heldSinceMs.get(request) ?? nowMs;
		heldSinceMs.set(request, sinceMs);
		return request.isLastResort || request.waitLimitMs <= 0 || nowMs - sinceMs >= options.zoneReserveHoldMs;
	};

	return {
		recordDemand({availabilityZone, isFromOtherRegion, priority}) {
			const key = `${availabilityZone}/${priority}`;
			const existing = isFromOtherRegion ? undefined : demands.get(key);
			if (existing) {
				existing.count.add(clock.monotonicMs());
				return;
			}

			if (demands.size >= DEMAND_LIMIT_COUNT) {
				removeUnused();
			}

			if (!isFromOtherRegion && demands.size < DEMAND_LIMIT_COUNT) {
				const count = createDecayedCount(DEMAND_WINDOW_MS);
				count.add(clock.monotonicMs());
				demands.set(key, {availabilityZone, priority, count});
			}
		},
		listPermitted(request, free, usable) {
			if (free.length === 0) {
				return free;
			}

			if (request.isFromOtherRegion) {
				return isOpenToOtherRegions(request, free, usable) ? free : [];
			}

			const zones = [...new Set(free.map(view => view.target().availabilityZone))];
			const closed = new Set(
				zones.filter(zone => zone !== request.availabilityZone && !isZoneOpen(request, zone, free, usable)),
			);
			if (closed.size === 0) {
				return free;
			}

			const permitted = free.filter(view => !closed.has(view.target().availabilityZone));
			return permitted.length === 0 && isHoldOver(request) ? free : permitted;
		},
	};
};
