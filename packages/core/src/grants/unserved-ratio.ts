import type * as ports from '../ports/index.js';

/** Half of what was seen is forgotten in this time, so that trouble of a second or two shows. */
const HALF_LIFE_MS = 1500;

/** Fewer ends than this say nothing. */
const COUNT_MINIMUM = 3;

/** Share of a group's calls that recently failed or were refused. */
export type UnservedRatio = {
	record(isServed: boolean): void;
	read(): number;
};

export const createUnservedRatio = (clock: ports.Clock): UnservedRatio => {
	let totalCount = 0;
	let unservedCount = 0;
	let updatedAtMs = clock.monotonicMs();

	const forget = (): void => {
		const nowMs = clock.monotonicMs();
		const keptRatio = 0.5 ** ((nowMs - updatedAtMs) / HALF_LIFE_MS);
		totalCount *= keptRatio;
		unservedCount *= keptRatio;
		updatedAtMs = nowMs;
	};

	return {
		record(isServed) {
			forget();
			totalCount++;
			unservedCount += isServed ? 0 : 1;
		},
		read() {
			forget();
			return totalCount < COUNT_MINIMUM ? 0 : unservedCount / totalCount;
		},
	};
};
