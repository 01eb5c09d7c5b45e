import type * as domain from '@bilberrydoor/domain';

/** Picks a service in proportion to the weights; `fraction` is uniform from 0 to below 1. */
export const pickService = (shares: readonly domain.ServiceShare[], fraction: number): string => {
	const totalWeight = shares.reduce((sum, {weight}) => sum + weight, 0);
	let remainingWeight = fraction * totalWeight;
	const picked = shares.find(({weight}) => {
		remainingWeight -= weight;
		return remainingWeight < 0;
	});
	return (picked ?? shares.at(-1)!).service;
};
