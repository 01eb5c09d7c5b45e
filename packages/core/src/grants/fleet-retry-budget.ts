import type * as ports from '../ports/index.js';

export type FleetRetryBudgetOptions = {
	/** Retries allowed as a fraction of first attempts. */
	readonly ratio: number;
	/** Retries that may be saved up, and that a new budget starts with. */
	readonly burstCount: number;
	/** Retries that are allowed whatever the traffic, a second. */
	readonly refillPerSecond: number;
};

/** This dispatcher's part of the retries that the fleet may make in any window. */
export type FleetRetryBudget = {
	recordFirstAttempt(): void;
	hasRetry(): boolean;
	takeRetry(): void;
	/** Retries that may be made now, for the log. */
	leftCount(): number;
};

const MS_PER_SECOND = 1000;

export const createFleetRetryBudget = (options: FleetRetryBudgetOptions, clock: ports.Clock): FleetRetryBudget => {
	let leftCount = options.burstCount;
	let updatedAtMs = clock.monotonicMs();
	const add = (count: number): void => {
		leftCount = Math.min(options.burstCount, leftCount + count);
	};

	const refill = (): void => {
		const nowMs = clock.monotonicMs();
		add(((nowMs - updatedAtMs) / MS_PER_SECOND) * options.refillPerSecond);
		updatedAtMs = nowMs;
	};

	return {
		recordFirstAttempt() {
			add(options.ratio);
		},
		hasRetry() {
			refill();
			return leftCount >= 1;
		},
		takeRetry() {
			leftCount--;
		},
		leftCount: () => leftCount,
	};
};
