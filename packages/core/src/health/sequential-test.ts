/** Evidence that a target is unhealthy, as a log-likelihood ratio over its results. */
export type SequentialTest = {
	/** Never below zero. */
	evidence(): number;
	/**
	 * Adds one result.
	 *
	 * @param typicalBadRatio bad ratio of the group's typical target, 0 to 1
	 */
	observe(isBad: boolean, typicalBadRatio: number): void;
	/** Sets the evidence, as at the start of probation. */
	reset(evidence: number): void;
};

/** Lower bound of the bad ratio that the test assumes for an unhealthy target. */
const UNHEALTHY_BAD_RATIO_MIN = 0.5;

/** Least difference that the test assumes between the bad ratios of an unhealthy and a typical target. */
const UNHEALTHY_BAD_RATIO_MARGIN = 0.3;

/** Lower bound of the typical bad ratio. Estimates come from a few hundred results, too few for smaller ratios. */
export const TYPICAL_BAD_RATIO_MIN = 0.01;
export const TYPICAL_BAD_RATIO_MAX = 0.6;

const clampRatio = (ratio: number): number => Math.min(TYPICAL_BAD_RATIO_MAX, Math.max(TYPICAL_BAD_RATIO_MIN, ratio));

/** Log-likelihood ratio of one result: unhealthy target against typical target. */
export const computeLogLikelihoodRatio = (isBad: boolean, typicalBadRatio: number): number => {
	const typicalRatio = clampRatio(typicalBadRatio);
	const unhealthyRatio = Math.max(UNHEALTHY_BAD_RATIO_MIN, typicalRatio + UNHEALTHY_BAD_RATIO_MARGIN);
	return isBad ? Math.log(unhealthyRatio / typicalRatio) : Math.log((1 - unhealthyRatio) / (1 - typicalRatio));
};

/**
 * Creates Page's form of the sequential probability ratio test (CUSUM): the evidence is cut off at zero, so a fault is
 * detected as fast in a target that has been healthy for hours as in a new one.
 */
export const createSequentialTest = (options: {evidenceLimit: number}): SequentialTest => {
	let evidence = 0;
	return {
		evidence: () => evidence,
		observe(isBad, typicalBadRatio) {
			const sum = evidence + computeLogLikelihoodRatio(isBad, typicalBadRatio);
			evidence = Math.min(options.evidenceLimit, Math.max(0, sum));
		},
		reset(value) {
			evidence = value;
		},
	};
};
