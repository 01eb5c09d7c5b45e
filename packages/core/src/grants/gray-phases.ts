import type {DispatcherOptions} from './dispatcher-options.js';

/** The estimate follows about this many phases, so that a deployment's own length shows within a minute. */
const WINDOW_COUNT = 6;

/** A failed return shows that phases are longer than was thought, by an unknown time. */
const FAILED_RETURN_FACTOR = 1.15;

/** Learns how long the targets of a group stay gray, and from that how long to leave one out. */
export type GrayPhases = {
	/** How long to leave out a target that was just found gray, in ms. */
	absenceMs(): number;
	/** A target came back for good `durationMs` after it was found gray. */
	recordPhase(durationMs: number): void;
	recordFailedReturn(): void;
};

export const createGrayPhases = (
	options: Pick<DispatcherOptions, 'firstAbsenceMs' | 'absenceRangeMs'>,
): GrayPhases => {
	const {minimum, maximum} = options.absenceRangeMs;
	let estimateMs = options.firstAbsenceMs;
	const setEstimate = (valueMs: number): void => {
		estimateMs = Math.min(maximum, Math.max(minimum, valueMs));
	};

	return {
		absenceMs: () => estimateMs,
		recordPhase(durationMs) {
			setEstimate(estimateMs + (durationMs - estimateMs) / WINDOW_COUNT);
		},
		recordFailedReturn() {
			setEstimate(estimateMs * FAILED_RETURN_FACTOR);
		},
	};
};
