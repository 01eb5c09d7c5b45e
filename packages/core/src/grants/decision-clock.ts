import type * as ports from '../ports/index.js';

/** A clock that stands still during a decision. */
export type DecisionClock = Pick<ports.Clock, 'monotonicMs'> & {
	/** Runs a synchronous decision, during which all reads of the clock return the same time. */
	decide<Result>(decision: () => Result): Result;
};

/**
 * A decision compares all targets of a group, and each comparison reads the time several times. Without this clock, reading it
 * took a quarter of the time of a decision among 131 targets.
 */
export const createDecisionClock = (clock: Pick<ports.Clock, 'monotonicMs'>): DecisionClock => {
	let heldMs: number | undefined;
	return {
		monotonicMs: () => heldMs ?? clock.monotonicMs(),
		decide(decision) {
			if (heldMs !== undefined) {
				return decision();
			}

			heldMs = clock.monotonicMs();
			try {
				return decision();
			} finally {
				heldMs = undefined;
			}
		},
	};
};
