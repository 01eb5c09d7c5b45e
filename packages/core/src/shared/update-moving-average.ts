/** Updates an exponential moving average that covers about the last `windowCount` samples. */
export const updateMovingAverage = (mean: number, sample: number, windowCount: number): number =>
	mean + (sample - mean) / windowCount;
