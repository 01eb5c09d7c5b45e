/** Estimates how many calls a second arrive. */
export type UseEstimate = {
	record(nowMs: number): void;
	ratePerSecond(nowMs: number): number;
};

/** Time constant of the mean. After a burst, a shorter one would lease many tokens ahead that other nodes need. */
const MEAN_TIME_MS = 2000;

const MS_PER_SECOND = 1000;

export const createUseEstimate = (): UseEstimate => {
	let weight = 0;
	let updatedAtMs = 0;

	const decay = (nowMs: number): void => {
		weight *= Math.exp(-(nowMs - updatedAtMs) / MEAN_TIME_MS);
		updatedAtMs = nowMs;
	};

	return {
		record(nowMs) {
			decay(nowMs);
			weight += 1;
		},
		ratePerSecond(nowMs) {
			decay(nowMs);
			return (weight * MS_PER_SECOND) / MEAN_TIME_MS;
		},
	};
};
