import type {SlotCounts} from '../zones/slot-reserve.js';

type Sums = {free: number; total: number};

/** Sums of slots by availability zone, so that reading them does not depend on the number of targets. */
export type SlotCounter = {
	readonly counts: SlotCounts;
	add(availabilityZone: string, freeCount: number, slotCount: number): void;
	clear(): void;
};

export const createSlotCounter = (): SlotCounter => {
	const byZone = new Map<string, Sums>();
	const all: Sums = {free: 0, total: 0};
	const read = (availabilityZone: string | undefined): Sums =>
		availabilityZone === undefined ? all : (byZone.get(availabilityZone) ?? {free: 0, total: 0});

	return {
		add(availabilityZone, freeCount, slotCount) {
			const zone = byZone.get(availabilityZone) ?? {free: 0, total: 0};
			byZone.set(availabilityZone, zone);
			[zone, all].forEach(sums => {
				sums.free += freeCount;
				sums.total += slotCount;
			});
		},
		clear() {
			byZone.clear();
			all.free = 0;
			all.total = 0;
		},
		counts: {
			free: availabilityZone => read(availabilityZone).free,
			total: availabilityZone => read(availabilityZone).total,
		},
	};
};
