/** Value below which the fraction `quantile` of the values lies; 0 for an empty list. */
export const calculateQuantile = (values: readonly number[], quantile: number): number => {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
};

/** Jain's fairness index: 1 when all values are equal, 1/n when all but one are 0. */
export const calculateJainIndex = (values: readonly number[]): number => {
	const sum = values.reduce((total, value) => total + value, 0);
	const squares = values.reduce((total, value) => total + value * value, 0);
	return squares === 0 ? 0 : (sum * sum) / (values.length * squares);
};

/** Divides a capacity by max-min fairness: no share exceeds its demand, and the others get equal shares of the remainder. */
export const divideMaxMin = (capacity: number, demands: readonly number[]): number[] => {
	const sortedDemands = demands
		.map((demand, index) => ({demand, index}))
		.toSorted((left, right) => left.demand - right.demand);
	const shares = demands.map(() => 0);
	let remaining = capacity;
	sortedDemands.forEach(({demand, index}, position) => {
		shares[index] = Math.min(demand, remaining / (sortedDemands.length - position));
		remaining -= shares[index];
	});
	return shares;
};

/** Rounds a figure to four decimal places for the result line. */
export const roundFigure = (value: number): number => Number(value.toFixed(4));
