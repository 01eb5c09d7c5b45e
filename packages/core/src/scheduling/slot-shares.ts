import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';

/** Which share of the slots a call uses. */
export enum SlotUse {
	/** The share of its own class. */
	Own = 'own',
	/** The share of another class that does not need it at the moment. */
	Borrowed = 'borrowed',
}

/** Number of calls by class of work. */
export type ClassCounts = Readonly<Record<domain.WorkClass, number>>;

/** Divides the slots of a group between short work and heavy work, which is long and bulk work together. */
export type SlotShares = {
	/** Classes in the order in which they may take the next free slot. */
	listClassesByPriority(): readonly domain.WorkClass[];
	/** Share that a call of the class would use now; undefined when the call has to wait. */
	findSlotUse(workClass: domain.WorkClass, mayBorrow: boolean): SlotUse | undefined;
	/** Estimated number of slots that the class can use, given the calls that wait and run now; at least 1. */
	countUsableSlots(workClass: domain.WorkClass): number;
	/** Whether calls are waiting for the share that `workClass` borrows from. */
	isLenderWaiting(workClass: domain.WorkClass): boolean;
	busyCountOf(workClass: domain.WorkClass): number;
	recordStart(workClass: domain.WorkClass): void;
	recordFinish(workClass: domain.WorkClass): void;
	/** Records the number of slots that short work uses or waits for. Slots within the recent peak are not lent. */
	recordDemand(): void;
};

export type SlotSharesOptions = {
	readonly longShareRatio: number;
	readonly bulkShareRatio: number;
	readonly lendingWindowMs: number;
};

/** Approximates the highest value in a sliding window by one maximum for each half of the window. */
const createWindowMaximum = (clock: ports.Clock, windowMs: number) => {
	let startedAtMs = clock.monotonicMs();
	let previous = 0;
	let current = 0;
	const rotate = (): void => {
		const elapsedMs = clock.monotonicMs() - startedAtMs;
		if (elapsedMs >= windowMs / 2) {
			previous = elapsedMs >= windowMs ? 0 : current;
			current = 0;
			startedAtMs = clock.monotonicMs();
		}
	};

	return {
		record(value: number): void {
			rotate();
			current = Math.max(current, value);
		},
		read(): number {
			rotate();
			return Math.max(previous, current);
		},
	};
};

export const createSlotShares = (dependencies: {
	clock: ports.Clock;
	options: SlotSharesOptions;
	/** Slots that are open now. */
	openSlotCount: () => number;
	waitingCounts: () => ClassCounts;
	shortReserveRatio: () => number;
}): SlotShares => {
	const {options, openSlotCount, waitingCounts} = dependencies;
	const busy = {[domain.WorkClass.Short]: 0, [domain.WorkClass.Long]: 0, [domain.WorkClass.Bulk]: 0};
	const shortDemand = createWindowMaximum(dependencies.clock, options.lendingWindowMs);
	let lastHeavyClass = domain.WorkClass.Bulk;

	const heavyBusyCount = (): number => busy[domain.WorkClass.Long] + busy[domain.WorkClass.Bulk];
	const heavyWaitingCount = (): number =>
		waitingCounts()[domain.WorkClass.Long] + waitingCounts()[domain.WorkClass.Bulk];

	/** The last slot of a group is never reserved, so that a group with one slot serves all classes. */
	const reservedSlotCount = (openCount: number): number =>
		Math.min(openCount - 1, Math.max(1, Math.ceil(dependencies.shortReserveRatio() * openCount)));

	const heavyShareCount = (openCount: number): number =>
		Math.min(openCount - 1, Math.max(1, Math.floor(options.longShareRatio * openCount)));

	/** Slots that short work has needed recently are not lent, because long work would hold them for too long. */
	const lendableSlotCount = (openCount: number): number =>
		openCount - Math.max(reservedSlotCount(openCount), shortDemand.read());

	const findShortUse = (): SlotUse | undefined => {
		const openCount = openSlotCount();
		if (busy[domain.WorkClass.Short] < openCount - heavyShareCount(openCount)) {
			return SlotUse.Own;
		}

		return heavyWaitingCount() === 0 || heavyBusyCount() >= heavyShareCount(openCount) ? SlotUse.Borrowed : undefined;
	};

	const findHeavyUse = (mayBorrow: boolean): SlotUse | undefined => {
		const openCount = openSlotCount();
		if (heavyBusyCount() < Math.max(openCount === 1 ? 1 : 0, heavyShareCount(openCount))) {
			return SlotUse.Own;
		}

		const isLent = waitingCounts()[domain.WorkClass.Short] === 0 && heavyBusyCount() < lendableSlotCount(openCount);
		return mayBorrow && isLent ? SlotUse.Borrowed : undefined;
	};

	const findBulkUse = (mayBorrow: boolean): SlotUse | undefined => {
		const shareCount = Math.max(1, Math.floor(options.bulkShareRatio * (heavyBusyCount() + 1)));
		const isOverShare = waitingCounts()[domain.WorkClass.Long] > 0 && busy[domain.WorkClass.Bulk] >= shareCount;
		return isOverShare ? undefined : findHeavyUse(mayBorrow);
	};

	const findSlotUseByClass: Record<domain.WorkClass, (mayBorrow: boolean) => SlotUse | undefined> = {
		[domain.WorkClass.Short]: findShortUse,
		[domain.WorkClass.Long]: findHeavyUse,
		[domain.WorkClass.Bulk]: findBulkUse,
	};

	const countShortSlots = (): number => {
		const openCount = openSlotCount();
		const guaranteedCount = heavyWaitingCount() > 0 ? heavyShareCount(openCount) : 0;
		return Math.max(1, openCount - Math.max(guaranteedCount, heavyBusyCount()));
	};

	const countHeavySlots = (): number => {
		const openCount = openSlotCount();
		return Math.max(
			1,
			heavyShareCount(openCount),
			waitingCounts()[domain.WorkClass.Short] > 0 ? 0 : lendableSlotCount(openCount),
		);
	};

	return {
		listClassesByPriority() {
			const heavyClasses =
				lastHeavyClass === domain.WorkClass.Bulk
					? [domain.WorkClass.Long, domain.WorkClass.Bulk]
					: [domain.WorkClass.Bulk, domain.WorkClass.Long];
			const isHeavyFirst = heavyBusyCount() < heavyShareCount(openSlotCount());
			return isHeavyFirst ? [...heavyClasses, domain.WorkClass.Short] : [domain.WorkClass.Short, ...heavyClasses];
		},
		findSlotUse: (workClass, mayBorrow) => findSlotUseByClass[workClass](mayBorrow),
		countUsableSlots: workClass => (workClass === domain.WorkClass.Short ? countShortSlots() : countHeavySlots()),
		isLenderWaiting: workClass =>
			workClass === domain.WorkClass.Short
				? heavyWaitingCount() > 0 && heavyBusyCount() < heavyShareCount(openSlotCount())
				: waitingCounts()[domain.WorkClass.Short] > 0,
		busyCountOf: workClass => busy[workClass],
		recordStart(workClass) {
			busy[workClass]++;
			lastHeavyClass = workClass === domain.WorkClass.Short ? lastHeavyClass : workClass;
		},
		recordFinish(workClass) {
			busy[workClass]--;
		},
		recordDemand() {
			shortDemand.record(busy[domain.WorkClass.Short] + waitingCounts()[domain.WorkClass.Short]);
		},
	};
};
