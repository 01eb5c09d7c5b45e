/** Percentile of values by the nearest rank; `ratio` is from 0 to 1. */
export const calculatePercentile = (values: readonly number[], ratio: number): number => {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.max(0, Math.ceil(ratio * sorted.length) - 1)] ?? Number.NaN;
};
