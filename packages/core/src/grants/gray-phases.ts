import * as domain from '@bilberrydoor/domain';
import {moveMean} from '../shared/move-mean.js';
import type {DispatcherOptions} from './dispatcher-options.js';

/** The estimate follows about this many phases, so that a deployment's own length shows within a minute. */
const WINDOW_COUNT = 6;

/**
 * Parts of a usual phase for which a target is first left out. Where work may be repeated a wrong return costs one retry,
 * so it comes early; where it may not, it costs a caller's call.
 */
const FIRST_ABSENCE_RATIOS: Record<domain.Repeatability, number> = {
	[domain.Repeatability.Repeatable]: 0.35,
	[domain.Repeatability.Single]: 0.5,
};

/** Learns how long the targets of a group stay gray, and from that how long to leave one out. */
export type GrayPhases = {
	/**
	 * How long to leave out a target, in ms.
	 *
	 * @param repeatability what a return may be tried with
	 * @param failedReturnCount returns that failed in this phase; each doubles the time
	 */
	absenceMs(repeatability: domain.Repeatability, failedReturnCount: number): number;
	/** The length of a phase as it is known now, in ms. */
	usualMs(): number;
	/** A target came back for good `durationMs` after it was found gray. */
	recordPhase(durationMs: number): void;
};

export const createGrayPhases = (options: Pick<DispatcherOptions, 'usualPhaseMs' | 'absenceRangeMs'>): GrayPhases => {
	const {minimum, maximum} = options.absenceRangeMs;
	let estimateMs = options.usualPhaseMs;
	return {
		absenceMs: (repeatability, failedReturnCount) =>
			Math.min(maximum, estimateMs * FIRST_ABSENCE_RATIOS[repeatability] * 2 ** failedReturnCount),
		usualMs: () => estimateMs,
		recordPhase(durationMs) {
			estimateMs = Math.min(maximum, Math.max(minimum, moveMean(estimateMs, durationMs, WINDOW_COUNT)));
		},
	};
};
