import type * as ports from '../ports/index.js';
import {updateMovingAverage} from '../shared/update-moving-average.js';
import {createRoundTripEstimate} from './round-trip-estimate.js';

/** Why a group in another region is not asked for now. */
export enum HoldReason {
	/** No dispatcher of the region replied. */
	Lost = 'lost',
	/** Its slots are in use, or kept for the calls of its own region. */
	Full = 'full',
	/** It has no target that may be used. */
	NoTarget = 'no-target',
	/** It has not replied yet, and a call has asked it. */
	Unproven = 'unproven',
	/** It has no retry left; other calls are not affected. */
	NoBudget = 'no-budget',
}

/** Reasons of holds that have a length of their own. */
export type HeldReason = Exclude<HoldReason, HoldReason.Unproven>;

/** Attempts over which the excess is averaged. */
const EXCESS_WINDOW_COUNT = 100;

type HoldRange = {readonly minimumMs: number; readonly maximumMs: number};

/** First and longest hold of each reason. Holds double with each refusal in a row. */
const HOLD_RANGES: Record<HeldReason, HoldRange> = {
	[HoldReason.Lost]: {minimumMs: 1000, maximumMs: 4000},
	// A slot of a busy group becomes free within some ms, so the hold must end while calls still have time.
	[HoldReason.Full]: {minimumMs: 100, maximumMs: 1500},
	[HoldReason.NoTarget]: {minimumMs: 500, maximumMs: 2000},
	[HoldReason.NoBudget]: {minimumMs: 250, maximumMs: 1000},
};

/** Longest hold for calls that no other region can serve, since they lose everything by not asking. */
const NEEDED_HOLD_MS = 250;

/** Part by which holds differ at random, so that the nodes of a region do not ask again together. */
const HOLD_JITTER = 0.5;

/** Round trip between regions until one was measured, in ms. */
export const DEFAULT_ROUND_TRIP_MS = 40;

/** Time constant with which a predicted wait without news is forgotten, in ms. */
const WAIT_MEMORY_MS = 1000;

/**
 * Longest time that calls wait for what one finds that asks a region without a known reply. It waits for the dispatcher and its
 * successor, for up to 1.6 s with the objectives of `zones-between-regions.test.ts`.
 */
const PROBE_LIMIT_MS = 2000;

type Hold = {
	readonly reason: HeldReason;
	readonly sinceMs: number;
	readonly untilMs: number;
	readonly lengthMs: number;
};

/** What this node knows about a service's group in another region. */
export type RegionOutlook = {
	recordGrant(roundTripMs: number, waitMs: number): void;
	/** Records a refusal; `reason` is undefined if it says nothing of other calls. */
	recordDenial(reason: HeldReason | undefined, roundTripMs: number, predictedWaitMs: number): void;
	recordLoss(): void;
	/**
	 * Why the group is not asked now; undefined if it may be. When a hold has ended, one call asks, and the others wait for what
	 * it finds.
	 *
	 * @param isNeeded whether no other region can serve the call
	 */
	readHold(attemptIndex: number, isNeeded: boolean): HoldReason | undefined;
	/** Records that a call asks the group now. */
	recordRequest(): void;
	/** Records by how much an attempt at a target of the group took longer than the mean duration that its dispatcher told. */
	recordExcess(excessMs: number): void;
	/** Round trip to the group's dispatcher, in ms. */
	roundTripMs(): number;
	/** Delay of a call that finds a free slot, in ms: the round trips to the dispatcher and to the target. */
	crossingMs(): number;
	/** Expected wait for a slot, in ms. */
	waitMs(): number;
	/** Whether any dispatcher of the group has replied since it was lost. */
	isLost(): boolean;
};

export const createRegionOutlook = (parts: {
	readonly clock: Pick<ports.Clock, 'monotonicMs'>;
	readonly random: ports.Random;
}): RegionOutlook => {
	const {clock, random} = parts;
	const roundTrip = createRoundTripEstimate();
	let hold: Hold | undefined;
	let lastWait = {waitMs: 0, atMs: 0};
	/** Mean excess of the attempts; undefined before the first. */
	let excessMs: number | undefined;
	/** Time until which a call that asks after a hold is waited for. */
	let probeUntilMs = 0;
	/** Whether the region has replied, or was found to be lost. */
	let isProven = false;

	const startHold = (reason: HeldReason, expectedMs: number): void => {
		const nowMs = clock.monotonicMs();
		const {minimumMs, maximumMs} = HOLD_RANGES[reason];
		const doubledMs = hold?.reason === reason ? hold.lengthMs * 2 : 0;
		const lengthMs = Math.min(maximumMs, Math.max(minimumMs, expectedMs, doubledMs));
		const jitter = 1 + HOLD_JITTER * (random.fraction() - 0.5);
		probeUntilMs = 0;
		hold = {reason, lengthMs, sinceMs: nowMs, untilMs: nowMs + lengthMs * jitter};
	};

	const readRoundTripMs = (): number => roundTrip.read(clock.monotonicMs()) ?? DEFAULT_ROUND_TRIP_MS;

	return {
		recordGrant(roundTripMs, waitMs) {
			const nowMs = clock.monotonicMs();
			isProven = true;
			roundTrip.record(nowMs, roundTripMs);
			lastWait = {waitMs, atMs: nowMs};
			hold = undefined;
			probeUntilMs = 0;
		},
		recordDenial(reason, roundTripMs, predictedWaitMs) {
			const nowMs = clock.monotonicMs();
			isProven = true;
			probeUntilMs = 0;
			roundTrip.record(nowMs, roundTripMs);
			lastWait = {waitMs: predictedWaitMs, atMs: nowMs};
			if (reason) {
				startHold(reason, predictedWaitMs);
			}
		},
		recordLoss() {
			isProven = true;
			startHold(HoldReason.Lost, 0);
		},
		readHold(attemptIndex, isNeeded) {
			if (!isProven) {
				return clock.monotonicMs() < probeUntilMs ? HoldReason.Unproven : undefined;
			}

			if (!hold || (hold.reason === HoldReason.NoBudget && attemptIndex === 0)) {
				return undefined;
			}

			const nowMs = clock.monotonicMs();
			const untilMs =
				isNeeded && hold.reason !== HoldReason.Lost
					? Math.min(hold.untilMs, hold.sinceMs + NEEDED_HOLD_MS)
					: hold.untilMs;
			return nowMs < untilMs || nowMs < probeUntilMs ? hold.reason : undefined;
		},
		recordRequest() {
			const isUnanswered = !isProven || hold?.reason === HoldReason.Lost;
			if (hold ?? !isProven) {
				const limitMs = isUnanswered || !hold ? PROBE_LIMIT_MS : HOLD_RANGES[hold.reason].minimumMs;
				probeUntilMs = clock.monotonicMs() + limitMs;
			}
		},
		recordExcess(sampleMs) {
			excessMs = updateMovingAverage(excessMs ?? readRoundTripMs(), sampleMs, EXCESS_WINDOW_COUNT);
		},
		roundTripMs: readRoundTripMs,
		// Durations vary far more than round trips, so their mean counts only where it shows slower targets.
		crossingMs: () => readRoundTripMs() + Math.max(readRoundTripMs(), excessMs ?? 0),
		waitMs: () => lastWait.waitMs * Math.exp((lastWait.atMs - clock.monotonicMs()) / WAIT_MEMORY_MS),
		isLost: () => hold?.reason === HoldReason.Lost,
	};
};
