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
	 * @param free targets with a free slot; a sample if there are many
	 * @param slots slots of all usable targets
	 */
	listPermitted<View extends SlotView>(
		request: ReserveRequest,
		free: readonly View[],
		slots: SlotCounts,
	): readonly View[];
};

/** Slots of usable targets: of one availability zone, or of all. */
export type SlotCounts = {
	free(availabilityZone?: string): number;
	total(availabilityZone?: string): number;
};

/** Time over which demand is measured, in ms. */
const DEMAND_WINDOW_MS = 2000;

/** Slots are kept for the calls that are expected within this time, in ms; by then others have become free. */
const RESERVE_HORIZON_MS = 50;

/** Pairs of zone and priority whose demand is kept. Both come from peers, so their number must have a bound. */
const DEMAND_LIMIT_COUNT = 256;

type Demand = {readonly availabilityZone: string; readonly priority: number; readonly count: DecayedCount};

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

	/** Whether more slots are free than are kept for the calls that are expected. */
	const isOpen = (slots: SlotCounts, zone: string | undefined, expectedCount: number, ratio: number): boolean =>
		expectedCount === 0 || slots.free(zone) > expectedCount || slots.free(zone) > Math.ceil(slots.total(zone) * ratio);

	/** A region's own callers come first: calls of other regions get no reserved slot, however long they wait. */
	const isOpenToOtherRegions = ({priority}: ReserveRequest, slots: SlotCounts): boolean =>
		isOpen(
			slots,
			undefined,
			expectCalls(priority, () => true),
			options.regionReserveRatio,
		);

	const isZoneOpen = ({priority}: ReserveRequest, zone: string, slots: SlotCounts): boolean => {
		const expectedCount = expectCalls(priority, ({availabilityZone}) => availabilityZone === zone);
		return isOpen(slots, zone, expectedCount, options.zoneReserveRatio);
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
		listPermitted(request, free, slots) {
			if (free.length === 0) {
				return free;
			}

			if (request.isFromOtherRegion) {
				return isOpenToOtherRegions(request, slots) ? free : [];
			}

			const zones = [...new Set(free.map(view => view.target().availabilityZone))];
			const closed = new Set(
				zones.filter(zone => zone !== request.availabilityZone && !isZoneOpen(request, zone, slots)),
			);
			if (closed.size === 0) {
				return free;
			}

			const permitted = free.filter(view => !closed.has(view.target().availabilityZone));
			return permitted.length === 0 && isHoldOver(request) ? free : permitted;
		},
	};
};
