import type * as ports from '../ports/index.js';

/** Pauses between attempts, with jitter so that nodes do not return from an outage together. */
export type BackOff = {
	/** The next pause in ms: the current one times 0.5 to 1.5. Doubles the current one up to the limit. */
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
