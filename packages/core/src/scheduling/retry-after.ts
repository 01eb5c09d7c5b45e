import type * as ports from '../ports/index.js';

/** Lower bound of the expected time before it is randomized, in ms. */
const MIN_RETRY_AFTER_MS = 100;

/** Draws a time between 0.5 and 1.5 times `expectedMs`, so that refused callers do not all retry at the same time. */
export const drawRetryAfter = (random: ports.Random, expectedMs: number): number =>
	Math.round(Math.max(MIN_RETRY_AFTER_MS, expectedMs) * (0.5 + random.fraction()));
