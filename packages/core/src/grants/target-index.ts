import type * as ports from '../ports/index.js';
import type {SlotCounts} from '../zones/slot-reserve.js';
import {createOrderedTree} from '../waiting/ordered-tree.js';
import {createSlotCounter} from './slot-counter.js';
import {createSampledSet, type SampledSet} from './sampled-set.js';
import {
	evaluateTarget,
	hasFreeSlot,
	LAST_RESORT_STANDINGS,
	USABLE_STANDINGS,
	POOLS,
	TargetPool,
	type TargetEntry,
} from './target-entry.js';
import {GrantStanding, type TargetLedger} from './target-ledger.js';

/** Candidates that are compared for a grant: from the requesting node's availability zone, and from all zones. */
const ZONE_SAMPLE_COUNT = 12;
const SAMPLE_COUNT = 24;

/** When an entry has to be evaluated again. */
type Due = {readonly atMs: number; readonly sequence: number; readonly ledger: TargetLedger};

export type TargetIndexParts = {
	readonly clock: Pick<ports.Clock, 'monotonicMs'>;
	readonly random: Pick<ports.Random, 'fraction'>;
	readonly listReady: () => readonly TargetLedger[];
};

/** Requesting node and the targets that its call has tried. */
export type TargetRequester = Pick<ports.AcquireGrantRequest, 'nodeId' | 'availabilityZone' | 'excludedTargetIds'>;

/**
 * A group's ready targets by standing and free slots, so that the cost of a decision does not grow with their number. A target is
 * evaluated again after a grant or a report, and when its standing changes with time.
 */
export type TargetIndex = {
	/** Slots of the targets that are sound or resting. */
	readonly usableSlots: SlotCounts;
	/** Evaluates a target again after a grant or a report. */
	update(ledger: TargetLedger): void;
	/** Whether a target that is neither set aside nor paused can take a call. */
	hasRoom(): boolean;
	/** Targets of a pool that the node can reach and the call has not tried; a sample if there are many. */
	listCandidates(pool: TargetPool, requester: TargetRequester): readonly TargetLedger[];
	/** The target for a last resort: the one whose last fault is the oldest. */
	findLastResort(requester: TargetRequester): TargetLedger | undefined;
	/** Open grants and slots of the sound targets that the call has not tried. */
	soundLoad(requester: Pick<TargetRequester, 'excludedTargetIds'>): {
		readonly openCount: number;
		readonly slotCount: number;
	};
	/** Targets that count as unused, and the number of those that do not pause. */
	unused(): {readonly ledgers: readonly TargetLedger[]; readonly availableCount: number};
	/** Whether there are targets and all of them pause. */
	isPaused(): boolean;
	countStandings(): ReadonlyMap<GrantStanding, number>;
};

const createPools = (): Record<TargetPool, SampledSet<TargetLedger>> => ({
	[TargetPool.FreeSound]: createSampledSet(),
	[TargetPool.FreeResting]: createSampledSet(),
	[TargetPool.Trial]: createSampledSet(),
});

export const createTargetIndex = ({clock, random, listReady}: TargetIndexParts): TargetIndex => {
	let indexed: readonly TargetLedger[] | undefined;
	let entries = new Map<TargetLedger, TargetEntry>();
	let entriesById = new Map<string, TargetEntry>();
	let pools = createPools();
	let zones = new Map<string, SampledSet<TargetLedger>>();
	let unused = createSampledSet<TargetLedger>();
	let standingCounts = new Map<GrantStanding, number>();
	const slotCounter = createSlotCounter();
	let soundOpenCount = 0;
	let soundSlotCount = 0;
	let sequence = 0;
	let dueTimes = new Map<TargetLedger, Due>();

	const createLastResorts = () =>
		createOrderedTree<TargetEntry>({
			compare: (left, right) => left.lastFaultAtMs - right.lastFaultAtMs || left.sequence - right.sequence,
			readWorkMs: () => 0,
		});
	const createDues = () =>
		createOrderedTree<Due>({
			compare: (left, right) => left.atMs - right.atMs || left.sequence - right.sequence,
			readWorkMs: () => 0,
		});
	let lastResorts = createLastResorts();
	let dues = createDues();

	const zoneOf = (zone: string): SampledSet<TargetLedger> => {
		const set = zones.get(zone) ?? createSampledSet<TargetLedger>();
		zones.set(zone, set);
		return set;
	};

	/** Adds or removes what an entry contributes to the sums. */
	const count = ({standing, openCount, slotCount, zone}: TargetEntry, sign: 1 | -1): void => {
		standingCounts.set(standing, (standingCounts.get(standing) ?? 0) + sign);
		soundOpenCount += standing === GrantStanding.Sound ? sign * openCount : 0;
		soundSlotCount += standing === GrantStanding.Sound ? sign * slotCount : 0;
		if (USABLE_STANDINGS.has(standing)) {
			slotCounter.add(zone, sign * Math.max(0, slotCount - openCount), sign * slotCount);
		}
	};

	const setPool = (ledger: TargetLedger, zone: string, from?: TargetPool, to?: TargetPool): void => {
		if (from === to) {
			return;
		}

		if (from) {
			pools[from].delete(ledger);
		}

		if (to) {
			pools[to].add(ledger);
		}

		if (to === TargetPool.FreeSound) {
			zoneOf(zone).add(ledger);
		} else if (from === TargetPool.FreeSound) {
			zoneOf(zone).delete(ledger);
		}
	};

	/** Notes when the target changes with time. A later time than the noted one is found when that comes. */
	const schedule = (ledger: TargetLedger): void => {
		const atMs = ledger.nextChangeAtMs();
		const noted = dueTimes.get(ledger);
		if (noted && noted.atMs <= atMs) {
			return;
		}

		if (noted) {
			dues.remove(noted);
			dueTimes.delete(ledger);
		}

		if (Number.isFinite(atMs)) {
			const due = {atMs, sequence: sequence++, ledger};
			dues.add(due);
			dueTimes.set(ledger, due);
		}
	};

	const apply = (ledger: TargetLedger): void => {
		const previous = entries.get(ledger);
		const entry = evaluateTarget(ledger, sequence++);
		if (previous) {
			count(previous, -1);
		}

		count(entry, 1);
		setPool(ledger, entry.zone, previous?.pool, entry.pool);
		if (previous?.isLastResort) {
			lastResorts.remove(previous);
		}

		if (entry.isLastResort) {
			lastResorts.add(entry);
		}

		if (entry.isUnused) {
			unused.add(ledger);
		} else if (previous?.isUnused) {
			unused.delete(ledger);
		}

		entries.set(ledger, entry);
		entriesById.set(ledger.target().targetId, entry);
		schedule(ledger);
	};

	const rebuild = (ready: readonly TargetLedger[]): void => {
		indexed = ready;
		entries = new Map();
		entriesById = new Map();
		pools = createPools();
		zones = new Map();
		unused = createSampledSet();
		standingCounts = new Map();
		slotCounter.clear();
		soundOpenCount = 0;
		soundSlotCount = 0;
		lastResorts = createLastResorts();
		dues = createDues();
		dueTimes = new Map();
		ready.forEach(ledger => {
			apply(ledger);
		});
	};

	/** Takes over changed records and notices, and what has changed with time. */
	const refresh = (): void => {
		const ready = listReady();
		if (ready !== indexed) {
			rebuild(ready);
			return;
		}

		const nowMs = clock.monotonicMs();
		for (let due = dues.first(); due && due.atMs <= nowMs; due = dues.first()) {
			dues.remove(due);
			dueTimes.delete(due.ledger);
			apply(due.ledger);
		}
	};

	const isUsable = (ledger: TargetLedger, pool: TargetPool, {nodeId, excludedTargetIds}: TargetRequester): boolean =>
		!excludedTargetIds.includes(ledger.target().targetId) &&
		ledger.standingFor(nodeId) === POOLS[pool].standing &&
		POOLS[pool].isAvailable(ledger);

	return {
		update(ledger) {
			// A ledger that is no longer ready is not indexed.
			if (entries.has(ledger)) {
				apply(ledger);
			}
		},
		hasRoom() {
			refresh();
			return Object.values(pools).some(pool => pool.count() > 0);
		},
		listCandidates(pool, requester) {
			refresh();
			const members = pools[pool];
			const isWhole = members.count() <= SAMPLE_COUNT;
			const near = isWhole || pool !== TargetPool.FreeSound ? undefined : zones.get(requester.availabilityZone);
			const drawn = [...(near?.draw(ZONE_SAMPLE_COUNT, random) ?? []), ...members.draw(SAMPLE_COUNT, random)];
			const usable = drawn.filter(ledger => isUsable(ledger, pool, requester));
			return usable.length > 0 || isWhole ? usable : members.list().filter(ledger => isUsable(ledger, pool, requester));
		},
		findLastResort({nodeId, excludedTargetIds}) {
			refresh();
			const isAllowed = ({ledger}: TargetEntry): boolean =>
				!excludedTargetIds.includes(ledger.target().targetId) &&
				LAST_RESORT_STANDINGS.has(ledger.standingFor(nodeId)) &&
				hasFreeSlot(ledger);
			const found =
				lastResorts.listFirst(SAMPLE_COUNT).find(entry => isAllowed(entry)) ??
				lastResorts.listFirst(lastResorts.count()).find(entry => isAllowed(entry));
			return found?.ledger;
		},
		soundLoad({excludedTargetIds}) {
			refresh();
			const excluded = excludedTargetIds
				.map(targetId => entriesById.get(targetId))
				.filter(entry => entry?.standing === GrantStanding.Sound);
			return {
				openCount: excluded.reduce((left, entry) => left - entry!.openCount, soundOpenCount),
				slotCount: excluded.reduce((left, entry) => left - entry!.slotCount, soundSlotCount),
			};
		},
		usableSlots: slotCounter.counts,
		unused() {
			refresh();
			return {
				ledgers: unused.list(),
				availableCount: entries.size - (standingCounts.get(GrantStanding.Paused) ?? 0),
			};
		},
		isPaused() {
			refresh();
			return entries.size > 0 && standingCounts.get(GrantStanding.Paused) === entries.size;
		},
		countStandings() {
			refresh();
			return new Map([...standingCounts].filter(([, targetCount]) => targetCount > 0));
		},
	};
};
