import {moveMean} from '../shared/move-mean.js';

/** The ratio is averaged over about this many results, enough to tell 1 in 100 from 5 in 100. */
const WINDOW_COUNT = 200;

/** Below the minimum one failure would always be proof; above the maximum none would be evidence. */
const RANGE = {minimum: 0.005, maximum: 0.2};

const INITIAL_RATIO = 0.02;

/** Share of a group's calls that fails at targets that are not suspected. */
export type UsualFailureRatio = {
	read(): number;
	recordSuccess(): void;
	recordFailure(): void;
};

export const createUsualFailureRatio = (): UsualFailureRatio => {
	let ratio = INITIAL_RATIO;
	const move = (sample: number): void => {
		ratio = Math.min(RANGE.maximum, Math.max(RANGE.minimum, moveMean(ratio, sample, WINDOW_COUNT)));
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
