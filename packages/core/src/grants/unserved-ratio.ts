import type * as ports from '../ports/index.js';

/** Half-life of the counts, short enough to detect failures that last a second or two. */
const HALF_LIFE_MS = 1500;

/** Below this number of recent calls the ratio is reported as 0, since it would not be meaningful. */
const MIN_CALL_COUNT = 3;

/** Ratio of a group's recent calls that failed or were refused. */
export type UnservedRatio = {
	record(isServed: boolean): void;
	read(): number;
};

export const createUnservedRatio = (clock: ports.Clock): UnservedRatio => {
	let totalCount = 0;
	let unservedCount = 0;
	let updatedAtMs = clock.monotonicMs();

	const decayCounts = (): void => {
		const nowMs = clock.monotonicMs();
		const decayFactor = 0.5 ** ((nowMs - updatedAtMs) / HALF_LIFE_MS);
		totalCount *= decayFactor;
		unservedCount *= decayFactor;
		updatedAtMs = nowMs;
	};

	return {
		record(isServed) {
			decayCounts();
			totalCount++;
			unservedCount += isServed ? 0 : 1;
		},
		read() {
			decayCounts();
			return totalCount < MIN_CALL_COUNT ? 0 : unservedCount / totalCount;
		},
	};
};
