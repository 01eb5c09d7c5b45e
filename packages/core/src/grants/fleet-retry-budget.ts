import type * as ports from '../ports/index.js';
import type {DispatcherOptions} from './dispatcher-options.js';

export type FleetRetryBudgetOptions = Pick<
	DispatcherOptions,
	'retryRatio' | 'retryBurstCount' | 'retryRefillPerSecond'
>;

/** This dispatcher's part of the retries that the fleet may make in any window. */
export type FleetRetryBudget = {
	recordFirstAttempt(): void;
	hasRetry(): boolean;
	takeRetry(): void;
};

const MS_PER_SECOND = 1000;

export const createFleetRetryBudget = (options: FleetRetryBudgetOptions, clock: ports.Clock): FleetRetryBudget => {
	let leftCount = options.retryBurstCount;
	let updatedAtMs = clock.monotonicMs();
	const add = (count: number): void => {
		leftCount = Math.min(options.retryBurstCount, leftCount + count);
	};

	const refill = (): void => {
		const nowMs = clock.monotonicMs();
		add(((nowMs - updatedAtMs) / MS_PER_SECOND) * options.retryRefillPerSecond);
		updatedAtMs = nowMs;
	};

	return {
		recordFirstAttempt() {
			add(options.retryRatio);
		},
		hasRetry() {
			refill();
			return leftCount >= 1;
		},
		takeRetry() {
			leftCount--;
		},
	};
};
