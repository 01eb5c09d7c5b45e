import type * as ports from '../ports/index.js';

/** Shortest time that callers are asked to wait, in ms. */
const RETRY_AFTER_FLOOR_MS = 100;

/** Draws a time from half to one and a half of `expectedMs`, so that refused callers do not come back together. */
export const drawRetryAfter = (random: ports.Random, expectedMs: number): number =>
	Math.round(Math.max(RETRY_AFTER_FLOOR_MS, expectedMs) * (0.5 + random.fraction()));
