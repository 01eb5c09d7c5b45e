import * as domain from '@bilberrydoor/domain';

/** A call that takes this many times the usual duration counts as overdue: longer than all but 2 in 100 calls. */
const OVERDUE_FACTOR = 4;

/** A target's connection of a node is reused for about this time. */
const CONNECTION_REUSE_MS = 4000;

/** Bounds of a target's relative slowness, so that neither one lucky nor one stuck call decides. */
const SLOWNESS_RANGE = {minimum: 0.7, maximum: 4};

/**
 * Costs relative to a target whose slots are all in use. A near target is preferred while it has up to one call more than
 * another, which keeps bodies in their zone and connections in use without uneven load.
 */
const OVERDUE_COST = 0.5;
const EVIDENCE_COST = 0.2;
const CONNECTION_BONUS = 0.1;
const ZONE_BONUS = 0.15;

/**
 * A target that has just served is hardly gray, and one that has not served for a while may be. Work that may not be
 * repeated goes where the last success is recent, and so spares the first failure of targets that turned gray unseen.
 */
const STALENESS_COSTS: Record<domain.Repeatability, number> = {
	[domain.Repeatability.Repeatable]: 0,
	[domain.Repeatability.Single]: 0.6,
};

/** Age of a success at which it says nothing about the target any more. */
const STALE_SUCCESS_MS = 10_000;

/** A target that is warming up takes about twice its usual time. */
const WARM_UP_FACTOR = 2;

/** A target that has never served is tried before the others, so that new capacity is in use within seconds. */
const UNTRIED_BONUS = 1;

/** What the cost of one more call at a target depends on. */
export type TargetCostInput = {
	readonly repeatability: domain.Repeatability;
	/** Calls of the target with the new one, over its slots. */
	readonly occupancy: number;
	/** Calls that the target has now. */
	readonly openCount: number;
	/** Calls that have taken far longer than usual. */
	readonly overdueCount: number;
	/** Mean of its calls' durations relative to their routes' usual ones. */
	readonly slowness: number;
	/** Evidence against the target, in log odds above the prior. */
	readonly evidence: number;
	readonly isWarmingUp: boolean;
	/** Whether the target is in the asking node's availability zone. */
	readonly isSameZone: boolean;
	/** Time since the asking node last used the target, in ms. */
	readonly sinceUseMs: number;
	/** Time since the target's last success, in ms; undefined before the first. */
	readonly sinceSuccessMs: number | undefined;
};

export const isOverdue = (runningMs: number, usualMs: number | undefined): boolean =>
	usualMs !== undefined && runningMs > usualMs * OVERDUE_FACTOR;

/** Relative cost of one more call at a target; the lowest is the best choice. */
export const computeTargetCost = (input: TargetCostInput): number => {
	const relativeDuration = Math.min(SLOWNESS_RANGE.maximum, Math.max(SLOWNESS_RANGE.minimum, input.slowness));
	const warmUpFactor = input.isWarmingUp ? WARM_UP_FACTOR : 1;
	const staleness = Math.min(1, (input.sinceSuccessMs ?? 0) / STALE_SUCCESS_MS);
	const isUntried = input.sinceSuccessMs === undefined && input.openCount === 0 && !input.isWarmingUp;
	return (
		input.occupancy * relativeDuration * warmUpFactor +
		staleness * STALENESS_COSTS[input.repeatability] +
		input.overdueCount * OVERDUE_COST -
		(isUntried ? UNTRIED_BONUS : 0) +
		Math.max(0, input.evidence) * EVIDENCE_COST -
		(input.sinceUseMs < CONNECTION_REUSE_MS ? CONNECTION_BONUS : 0) -
		(input.isSameZone ? ZONE_BONUS : 0)
	);
};
