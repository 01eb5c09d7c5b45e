import type * as core from '@bilberrydoor/core';

/** Draws the parts of a random schedule. */
export type Draws = {
	chance(probability: number): boolean;
	pick<T>(values: readonly T[]): T;
	/** A time in ms, below `limitMs`. */
	timeMs(limitMs: number): number;
};

/** Distance of the times that are drawn on a grid, in ms. */
const GRID_MS = 50;

/** Fraction of the times that are drawn on a grid. */
const GRID_RATIO = 0.5;

export const createDraws = (random: core.Random): Draws => {
	const chance = (probability: number): boolean => random.fraction() < probability;
	return {
		chance,
		pick: values => values[Math.floor(random.fraction() * values.length)]!,
		timeMs(limitMs) {
			const timeMs = random.fraction() * limitMs;
			// Events that are due at the same time happen in any order.
			return chance(GRID_RATIO) ? Math.floor(timeMs / GRID_MS) * GRID_MS : Math.floor(timeMs);
		},
	};
};
