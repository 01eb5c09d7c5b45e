/** Rates are averaged over about this many results, enough to tell 1 in 100 from 5 in 100. */
const FAILURE_WINDOW_COUNT = 200;

/** Durations are averaged over about this many results, so that a change of load shows within seconds. */
const DURATION_WINDOW_COUNT = 30;

/** Bounds of the usual failure ratio: below, one failure would always be proof; above, none would be evidence. */
const FAILURE_RATIO_RANGE = {minimum: 0.005, maximum: 0.2};

const INITIAL_FAILURE_RATIO = 0.02;

/** What is usual for a group's calls at targets that are not suspected. */
export type UsualRates = {
	failureRatio(): number;
	/** Mean duration of successful calls in ms; undefined before the first. */
	durationMs(): number | undefined;
	recordSuccess(durationMs: number): void;
	recordFailure(): void;
};

export const createUsualRates = (): UsualRates => {
	let failureRatio = INITIAL_FAILURE_RATIO;
	let meanDurationMs: number | undefined;
	const moveFailureRatio = (sample: number): void => {
		const moved = failureRatio + (sample - failureRatio) / FAILURE_WINDOW_COUNT;
		failureRatio = Math.min(FAILURE_RATIO_RANGE.maximum, Math.max(FAILURE_RATIO_RANGE.minimum, moved));
	};

	return {
		failureRatio: () => failureRatio,
		durationMs: () => meanDurationMs,
		recordSuccess(durationMs) {
			moveFailureRatio(0);
			meanDurationMs =
				meanDurationMs === undefined
					? durationMs
					: meanDurationMs + (durationMs - meanDurationMs) / DURATION_WINDOW_COUNT;
		},
		recordFailure() {
			moveFailureRatio(1);
		},
	};
};
