import type * as ports from '../ports/index.js';
import type {DispatcherOptions} from './dispatcher-options.js';

export type FleetRetryBudgetOptions = Pick<DispatcherOptions, 'retryRatio' | 'retrySavingMs'>;

/**
 * Retry budget of one dispatcher; the sum over all dispatchers keeps within the fleet's limit in any window. It starts empty
 * and grows only with calls: any node can become a dispatcher, so a fixed allowance for each would add up without a bound.
 */
export type FleetRetryBudget = {
	/** Adds the retry allowance of a call that no other dispatcher has counted. */
	recordCall(): void;
	/** Whether a retry is available that no waiting call has reserved. */
	hasRetry(): boolean;
	/**
	 * Reserves a retry for a call that waits for a slot, so that a later one is refused instead of waiting in vain. The reservation
	 * does not charge the budget and does not keep what expires.
	 */
	reserveRetry(): void;
	releaseRetry(): void;
	/** Whether a retry is available for a call that has reserved one. */
	hasReservedRetry(): boolean;
	consumeRetry(): void;
};

/** Lower bound of the number of retries that may be saved up; below 1, a dispatcher with few calls could never retry. */
const MIN_SAVED_RETRY_LIMIT = 1;

export const createFleetRetryBudget = (
	options: FleetRetryBudgetOptions,
	clock: Pick<ports.Clock, 'monotonicMs'>,
): FleetRetryBudget => {
	let availableRetryCount = 0;
	let reservedRetryCount = 0;
	/** Retries that recent calls allow. Caps the available ones, so that unused retries do not accumulate. */
	let recentAllowance = 0;
	let updatedAtMs = clock.monotonicMs();
	const addRetries = (count: number): void => {
		const nowMs = clock.monotonicMs();
		recentAllowance = recentAllowance * Math.exp((updatedAtMs - nowMs) / options.retrySavingMs) + count;
		availableRetryCount = Math.min(availableRetryCount + count, Math.max(MIN_SAVED_RETRY_LIMIT, recentAllowance));
		updatedAtMs = nowMs;
	};

	return {
		recordCall() {
			addRetries(options.retryRatio);
		},
		hasRetry() {
			addRetries(0);
			return availableRetryCount - reservedRetryCount >= 1;
		},
		reserveRetry() {
			reservedRetryCount++;
		},
		releaseRetry() {
			reservedRetryCount--;
		},
		hasReservedRetry() {
			addRetries(0);
			return availableRetryCount >= 1;
		},
		consumeRetry() {
			availableRetryCount--;
		},
	};
};
