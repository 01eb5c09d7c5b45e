import {GrantStanding, type TargetLedger} from './target-ledger.js';

/** Id of no node. A target's standing for it does not depend on the paths that single nodes have lost. */
export const NO_NODE_ID = '';

/** Sets of targets that are equal for a decision. */
export enum TargetPool {
	/** Sound, with a free slot. */
	FreeSound = 'free-sound',
	/** Resting, with a free slot. */
	FreeResting = 'free-resting',
	/** On trial, without an open grant. */
	Trial = 'trial',
}

/** What the index of targets holds of one. Replaced as a whole when the target changes. */
export type TargetEntry = {
	readonly ledger: TargetLedger;
	readonly standing: GrantStanding;
	readonly pool: TargetPool | undefined;
	/** Whether it may be granted as a last resort. */
	readonly isLastResort: boolean;
	readonly isUnused: boolean;
	readonly zone: string;
	readonly openCount: number;
	readonly slotCount: number;
	readonly lastFaultAtMs: number;
	/** Makes the order of entries with the same time total. */
	readonly sequence: number;
};

type StandingPool = {readonly standing: GrantStanding; readonly isAvailable: (ledger: TargetLedger) => boolean};

export const hasFreeSlot = (ledger: TargetLedger): boolean => ledger.openCount() < ledger.slotCount();

export const POOLS: Record<TargetPool, StandingPool> = {
	[TargetPool.FreeSound]: {standing: GrantStanding.Sound, isAvailable: hasFreeSlot},
	[TargetPool.FreeResting]: {standing: GrantStanding.Resting, isAvailable: hasFreeSlot},
	[TargetPool.Trial]: {standing: GrantStanding.OnTrial, isAvailable: ledger => ledger.openCount() === 0},
};

export const LAST_RESORT_STANDINGS: ReadonlySet<GrantStanding> = new Set([
	GrantStanding.OnTrial,
	GrantStanding.SetAside,
]);

/** Standings of the targets that get calls, save trials and last resorts. */
export const USABLE_STANDINGS: ReadonlySet<GrantStanding> = new Set([GrantStanding.Sound, GrantStanding.Resting]);

/** Evaluates a target; the sequence orders it among others. */
export const evaluateTarget = (ledger: TargetLedger, sequence: number): TargetEntry => {
	const standing = ledger.standingFor(NO_NODE_ID);
	return {
		ledger,
		standing,
		pool: Object.values(TargetPool).find(pool => POOLS[pool].standing === standing && POOLS[pool].isAvailable(ledger)),
		isLastResort: LAST_RESORT_STANDINGS.has(standing) && hasFreeSlot(ledger),
		isUnused: standing !== GrantStanding.Paused && ledger.isUnused(),
		zone: ledger.target().availabilityZone,
		openCount: ledger.openCount(),
		slotCount: ledger.slotCount(),
		lastFaultAtMs: ledger.lastFaultAtMs(),
		sequence,
	};
};
