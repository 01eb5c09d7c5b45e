import * as domain from '@bilberrydoor/domain';
import {updateMovingAverage} from '../shared/update-moving-average.js';
import type {DispatcherOptions} from './dispatcher-options.js';

/** Size of the moving average in phases; small enough to adapt to a deployment's own phase length within a minute. */
const WINDOW_COUNT = 6;

/**
 * First set-aside time as a fraction of the estimated gray phase. A trial that starts too early costs one retry if its call
 * may be repeated, and otherwise fails a caller's call. Trials with repeatable calls therefore start sooner.
 */
const FIRST_SET_ASIDE_RATIOS: Record<domain.Repeatability, number> = {
	[domain.Repeatability.Repeatable]: 0.35,
	[domain.Repeatability.Single]: 0.5,
};

/** Estimates how long the targets of a group stay gray, and from that how long to set one aside. */
export type GrayPhaseEstimator = {
	/**
	 * How long to set a target aside, in ms.
	 *
	 * @param repeatability whether calls for the following trial may be repeated
	 * @param failedTrialCount trials that failed since the target was found gray; each doubles the time
	 */
	setAsideMs(repeatability: domain.Repeatability, failedTrialCount: number): number;
	/** Current estimate of the length of a gray phase, in ms. */
	usualMs(): number;
	/** Adds the phase of a target that passed its trial `durationMs` after it was found gray. */
	recordPhase(durationMs: number): void;
};

export const createGrayPhaseEstimator = (
	options: Pick<DispatcherOptions, 'usualPhaseMs' | 'absenceRangeMs'>,
): GrayPhaseEstimator => {
	const {minimum, maximum} = options.absenceRangeMs;
	let estimateMs = options.usualPhaseMs;
	return {
		setAsideMs: (repeatability, failedTrialCount) =>
			Math.min(maximum, estimateMs * FIRST_SET_ASIDE_RATIOS[repeatability] * 2 ** failedTrialCount),
		usualMs: () => estimateMs,
		recordPhase(durationMs) {
			estimateMs = Math.min(maximum, Math.max(minimum, updateMovingAverage(estimateMs, durationMs, WINDOW_COUNT)));
		},
	};
};
