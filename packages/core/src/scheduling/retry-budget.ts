/** Limits the retries of a group to a fraction of its recent first attempts. */
export type RetryBudget = {
	recordFirstAttempt(): void;
	/** Takes one retry; false when the budget is used up. */
	take(): boolean;
	hasRetry(): boolean;
	setBudgetRatio(budgetRatio: number): void;
};

/**
 * Creates a budget that starts empty, so that targets never receive more than (1 + ratio) attempts for each call.
 *
 * @param options.burstCount maximum number of unused retries; bounds the effect of older first attempts
 */
export const createRetryBudget = (options: {budgetRatio: number; burstCount: number}): RetryBudget => {
	let {budgetRatio} = options;
	let tokenCount = 0;
	return {
		recordFirstAttempt() {
			tokenCount = Math.min(options.burstCount, tokenCount + budgetRatio);
		},
		take() {
			if (tokenCount < 1) {
				return false;
			}

			tokenCount--;
			return true;
		},
		hasRetry: () => tokenCount >= 1,
		setBudgetRatio(newBudgetRatio) {
			budgetRatio = newBudgetRatio;
		},
	};
};
