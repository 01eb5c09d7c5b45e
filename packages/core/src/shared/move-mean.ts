/** Moves a mean towards a sample, so that it follows about the last `windowCount` samples. */
export const moveMean = (mean: number, sample: number, windowCount: number): number =>
	mean + (sample - mean) / windowCount;
