/** Evidence that a target is sick, as a log-likelihood ratio over its results. */
export type SequentialTest = {
	/** Never below zero. */
	evidence(): number;
	/**
	 * Adds one result.
	 *
	 * @param expectedBadRatio share of bad results of the group's typical target, 0 to 1
	 */
	observe(isBad: boolean, expectedBadRatio: number): void;
	/** Sets the evidence, as at the start of probation. */
	reset(evidence: number): void;
};

/** Share of bad results that a sick target is taken to have at least. */
const SICK_BAD_RATIO = 0.5;

/** How far a sick target's bad ratio is taken to lie above the group's. */
const SICK_MARGIN_RATIO = 0.3;

/** Below this a typical target's bad ratio is not trusted, because it comes from a few hundred results. */
export const EXPECTED_BAD_RATIO_MIN = 0.01;
export const EXPECTED_BAD_RATIO_MAX = 0.6;

const clampRatio = (ratio: number): number => Math.min(EXPECTED_BAD_RATIO_MAX, Math.max(EXPECTED_BAD_RATIO_MIN, ratio));

/** Log-likelihood ratio of one result between a sick and a typical target. */
export const weighResult = (isBad: boolean, expectedBadRatio: number): number => {
	const healthy = clampRatio(expectedBadRatio);
	const sick = Math.max(SICK_BAD_RATIO, healthy + SICK_MARGIN_RATIO);
	return isBad ? Math.log(sick / healthy) : Math.log((1 - sick) / (1 - healthy));
};

/**
 * Creates Page's form of the sequential probability ratio test: the evidence is cut off at zero, so a target that has
 * been well for hours shows a fault as fast as a new one.
 */
export const createSequentialTest = (options: {evidenceLimit: number}): SequentialTest => {
	let evidence = 0;
	return {
		evidence: () => evidence,
		observe(isBad, expectedBadRatio) {
			const sum = evidence + weighResult(isBad, expectedBadRatio);
			evidence = Math.min(options.evidenceLimit, Math.max(0, sum));
		},
		reset(value) {
			evidence = value;
		},
	};
};
