import type * as ports from '../ports/index.js';

/** Exponential backoff with jitter, so that nodes do not all retry at the same time after an outage. */
export type BackOff = {
	/** Returns the next pause in ms, the base pause times 0.5 to 1.5, and doubles the base pause up to the limit. */
	nextMs(): number;
	reset(): void;
};

export const createBackOff = (options: {random: ports.Random; firstMs: number; limitMs: number}): BackOff => {
	let currentMs = options.firstMs;
	return {
		nextMs() {
			const pauseMs = currentMs * (0.5 + options.random.fraction());
			currentMs = Math.min(currentMs * 2, options.limitMs);
			return pauseMs;
		},
		reset() {
			currentMs = options.firstMs;
		},
	};
};
