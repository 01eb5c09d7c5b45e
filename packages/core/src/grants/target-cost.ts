import * as domain from '@bilberrydoor/domain';

/** A call that takes this many times its route's mean duration counts as overdue: longer than all but 2 in 100 calls. */
const OVERDUE_FACTOR = 4;

/** Time for which a node's idle connection to a target stays reusable. */
const CONNECTION_REUSE_MS = 4000;

/** Bounds of a target's relative slowness, so that a single very fast or very slow call does not dominate the cost. */
const SLOWNESS_RANGE = {minimum: 0.7, maximum: 4};

/** Costs in units of a target's full occupancy. The bonus reuses connections without uneven load. */
const OVERDUE_COST = 0.5;
const EVIDENCE_COST = 0.2;
const CONNECTION_BONUS = 0.1;

/**
 * Cost of a target without a recent success. Such a target may have turned gray undetected, and the first call to it would
 * fail, so calls that must not be repeated prefer targets with a recent success.
 */
const STALENESS_COSTS: Record<domain.Repeatability, number> = {
	[domain.Repeatability.Repeatable]: 0,
	[domain.Repeatability.Single]: 0.6,
};

/** Age at which the last success no longer lowers the cost. */
const STALE_SUCCESS_MS = 10_000;

/** A target that is warming up takes about twice as long for a call. */
const WARM_UP_FACTOR = 2;

/** Bonus of a target that has had no success and has no open call, so that new capacity is in use within seconds. */
const UNTRIED_BONUS = 1;

export type TargetCostInput = {
	readonly repeatability: domain.Repeatability;
	/** Open calls including the new one, divided by the target's slots. */
	readonly occupancy: number;
	/** Open calls without the new one. */
	readonly openCount: number;
	/** Open calls that already take far longer than their route's mean duration. */
	readonly overdueCount: number;
	/** Moving average of the calls' durations relative to the mean durations of their routes. */
	readonly slowness: number;
	/** Evidence against the target, in log odds above the prior. */
	readonly evidence: number;
	readonly isWarmingUp: boolean;
	/** What the target's availability zone saves for the requesting node, in units of a target's full occupancy. */
	readonly zoneSaving: number;
	/** Time since the requesting node last used the target, in ms. */
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
		input.zoneSaving
	);
};
