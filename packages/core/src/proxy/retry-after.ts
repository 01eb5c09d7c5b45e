import type {ProxyOptions} from './proxy-options.js';

export type RetryAfterOptions = Pick<ProxyOptions, 'retryAfterMinimumMs' | 'retryAfterMaximumMs'>;

/**
 * Time after which a refused caller should try again, in ms. Jitter of up to the predicted wait spreads the callers, so that they
 * do not return at the same time.
 *
 * @param fraction random number from 0 to 1
 */
export const computeRetryAfterMs = (
	predictedWaitMs: number,
	fraction: number,
	{retryAfterMinimumMs, retryAfterMaximumMs}: RetryAfterOptions,
): number => Math.min(retryAfterMaximumMs, Math.max(retryAfterMinimumMs, predictedWaitMs) * (1 + fraction));
