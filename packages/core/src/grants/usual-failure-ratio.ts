import {updateMovingAverage} from '../shared/update-moving-average.js';

/** Size of the moving average in results; large enough to distinguish a failure ratio of 1% from 5%. */
const WINDOW_COUNT = 200;

/** Below the minimum a single failure would always be conclusive; above the maximum failures would hardly be evidence. */
const RANGE = {minimum: 0.005, maximum: 0.2};

const INITIAL_RATIO = 0.02;

/** Failure ratio of a group's calls at targets that have not been found gray. */
export type UsualFailureRatio = {
	read(): number;
	recordSuccess(): void;
	recordFailure(): void;
};

export const createUsualFailureRatio = (): UsualFailureRatio => {
	let ratio = INITIAL_RATIO;
	const move = (sample: number): void => {
		ratio = Math.min(RANGE.maximum, Math.max(RANGE.minimum, updateMovingAverage(ratio, sample, WINDOW_COUNT)));
	};

	return {
		read: () => ratio,
		recordSuccess() {
			move(0);
		},
		recordFailure() {
			move(1);
		},
	};
};
