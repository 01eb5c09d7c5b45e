import * as domain from '@bilberrydoor/domain';

/** What answers normally take in the group, by class of work. */
export type LatencyBaseline = {
	observe(workClass: domain.WorkClass, latencyMs: number): void;
	/** Latency from which an answer counts as slow, in ms. Absent until enough answers have been seen. */
	limitMs(workClass: domain.WorkClass): number | undefined;
	/** Forgets all answers, as after a change that moved the whole group. */
	reset(): void;
};

const SAMPLE_COUNT = 128;
const MIN_SAMPLE_COUNT = 64;
/** The limit is computed anew after this many answers, which keeps the cost of an answer constant. */
const REFRESH_COUNT = 16;

/** Turns the median absolute deviation into a standard deviation under a normal distribution. */
const DEVIATION_FACTOR = 1.4826;
/** Robust standard deviations of the logarithm above the median from which an answer is slow. */
const SPREAD_LIMIT = 2;
/** An answer is never slow below this multiple of the median, however narrow the spread. */
const MIN_SLOW_FACTOR = 2.5;
/** An answer is never slow within this distance of the median: scheduling delays of a busy VM reach 10 ms. */
const MIN_SLOW_MARGIN_MS = 10;
const MIN_LATENCY_MS = 0.01;

const findMedian = (values: readonly number[]): number => {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)]!;
};

const computeLimitMs = (logarithms: readonly number[]): number => {
	const median = findMedian(logarithms);
	const deviation = DEVIATION_FACTOR * findMedian(logarithms.map(value => Math.abs(value - median)));
	const medianMs = Math.exp(median);
	const factor = Math.max(MIN_SLOW_FACTOR, Math.exp(SPREAD_LIMIT * deviation));
	return Math.max(medianMs * factor, medianMs + MIN_SLOW_MARGIN_MS);
};

type ClassSamples = {
	logarithms: number[];
	nextIndex: number;
	freshCount: number;
	limitMs: number | undefined;
};

const createClassSamples = (): ClassSamples => ({logarithms: [], nextIndex: 0, freshCount: 0, limitMs: undefined});

const createAllSamples = (): Record<domain.WorkClass, ClassSamples> => ({
	[domain.WorkClass.Short]: createClassSamples(),
	[domain.WorkClass.Long]: createClassSamples(),
	[domain.WorkClass.Bulk]: createClassSamples(),
});

/**
 * Creates a baseline over the group's last answers of each class. Median and median absolute deviation of the logarithm
 * are used because a few sick targets among the samples do not move them.
 */
export const createLatencyBaseline = (): LatencyBaseline => {
	let samplesByClass = createAllSamples();
	return {
		observe(workClass, latencyMs) {
			const samples = samplesByClass[workClass];
			samples.logarithms[samples.nextIndex] = Math.log(Math.max(MIN_LATENCY_MS, latencyMs));
			samples.nextIndex = (samples.nextIndex + 1) % SAMPLE_COUNT;
			samples.freshCount++;
			const isDue = samples.limitMs === undefined || samples.freshCount >= REFRESH_COUNT;
			if (isDue && samples.logarithms.length >= MIN_SAMPLE_COUNT) {
				samples.freshCount = 0;
				samples.limitMs = computeLimitMs(samples.logarithms);
			}
		},
		limitMs: workClass => samplesByClass[workClass].limitMs,
		reset() {
			samplesByClass = createAllSamples();
		},
	};
};
