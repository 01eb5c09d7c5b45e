import * as ports from '../ports/index.js';

/** Refusals after which the same region does not serve the call either as a last resort. */
export const FINAL_REFUSALS: ReadonlySet<ports.GrantRefusal> = new Set([
	ports.GrantRefusal.NoBudget,
	ports.GrantRefusal.TooLate,
]);

/** Order of refusals by how likely their region serves the call later. */
const REFUSAL_ORDER: Record<ports.GrantRefusal, number> = {
	[ports.GrantRefusal.Busy]: 0,
	[ports.GrantRefusal.NoTarget]: 1,
	[ports.GrantRefusal.TooLate]: 2,
	[ports.GrantRefusal.NoBudget]: 3,
};

/**
 * Compares the denials of two regions, the one that says most about when the call can be served first. A region without targets
 * or budget predicts a short wait because nothing waits there.
 */
export const compareDenials = (left: ports.GrantDenial, right: ports.GrantDenial): number =>
	REFUSAL_ORDER[left.refusal] - REFUSAL_ORDER[right.refusal] || left.predictedWaitMs - right.predictedWaitMs;
