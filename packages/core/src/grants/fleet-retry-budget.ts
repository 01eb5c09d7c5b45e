import type * as ports from '../ports/index.js';
import type {DispatcherOptions} from './dispatcher-options.js';

export type FleetRetryBudgetOptions = Pick<DispatcherOptions, 'retryRatio' | 'retrySavingMs'>;

/**
 * This dispatcher's part of the retries that the fleet may make in any window. It starts empty and grows with calls only:
 * any node can become a dispatcher, so an allowance for each dispatcher has no bound over the fleet.
 */
export type FleetRetryBudget = {
	/** Counts a call that no dispatcher has counted. */
	recordCall(): void;
	hasRetry(): boolean;
	takeRetry(): void;
};

/** Retries that a dispatcher with few calls may save up; with less it would never have one. */
const SAVED_MINIMUM = 1;

export const createFleetRetryBudget = (
	options: FleetRetryBudgetOptions,
	clock: Pick<ports.Clock, 'monotonicMs'>,
): FleetRetryBudget => {
	let leftCount = 0;
	/** Retries that recent calls allow; it bounds what is left, so that those of a calm time do not pile up. */
	let recentCount = 0;
	let updatedAtMs = clock.monotonicMs();
	const add = (count: number): void => {
		const nowMs = clock.monotonicMs();
		recentCount = recentCount * Math.exp((updatedAtMs - nowMs) / options.retrySavingMs) + count;
		leftCount = Math.min(leftCount + count, Math.max(SAVED_MINIMUM, recentCount));
		updatedAtMs = nowMs;
	};

	return {
		recordCall() {
			add(options.retryRatio);
		},
		hasRetry() {
			add(0);
			return leftCount >= 1;
		},
		takeRetry() {
			leftCount--;
		},
	};
};
