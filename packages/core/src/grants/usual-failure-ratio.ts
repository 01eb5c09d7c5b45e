import {updateMovingAverage} from '../shared/update-moving-average.js';

/** Size of the moving average in results; large enough to distinguish a failure ratio of 1% from 5%. */
const WINDOW_COUNT = 200;

/** Below the minimum a single failure would always be conclusive; above the maximum failures would hardly be evidence. */
const RATIO_RANGE = {minimum: 0.005, maximum: 0.2};

const INITIAL_RATIO = 0.02;

/** Failure ratio of a group's calls at targets that have not been found gray. */
export type UsualFailureRatio = {
	read(): number;
	recordSuccess(): void;
	recordFailure(): void;
};

export const createUsualFailureRatio = (): UsualFailureRatio => {
	let ratio = INITIAL_RATIO;
	const addSample = (sample: number): void => {
		ratio = Math.min(
			RATIO_RANGE.maximum,
			Math.max(RATIO_RANGE.minimum, updateMovingAverage(ratio, sample, WINDOW_COUNT)),
		);
	};

	return {
		read: () => ratio,
		recordSuccess() {
			addSample(0);
		},
		recordFailure() {
			addSample(1);
		},
	};
};
