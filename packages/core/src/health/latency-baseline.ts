import * as domain from '@bilberrydoor/domain';

/** Normal answer latency of the group, by class of work. */
export type LatencyBaseline = {
	observe(workClass: domain.WorkClass, latencyMs: number): void;
	/** Latency from which an answer counts as slow, in ms. Absent until there are enough answers. */
	limitMs(workClass: domain.WorkClass): number | undefined;
	/** Discards all samples, as after a change that affected the latency of the whole group. */
	reset(): void;
};

const SAMPLE_COUNT = 128;
const MIN_SAMPLE_COUNT = 64;
/** The limit is recomputed after this many answers, which keeps the amortized cost per answer constant. */
const REFRESH_SAMPLE_COUNT = 16;

/** Converts the median absolute deviation of a normal distribution to its standard deviation. */
const DEVIATION_FACTOR = 1.4826;
/** An answer is slow when its log-latency exceeds the median by this many (robust) standard deviations. */
const SLOW_DEVIATION_COUNT = 2;
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
	const factor = Math.max(MIN_SLOW_FACTOR, Math.exp(SLOW_DEVIATION_COUNT * deviation));
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
 * are used because samples from a few unhealthy targets hardly change them.
 */
export const createLatencyBaseline = (): LatencyBaseline => {
	let samplesByClass = createAllSamples();
	return {
		observe(workClass, latencyMs) {
			const samples = samplesByClass[workClass];
			samples.logarithms[samples.nextIndex] = Math.log(Math.max(MIN_LATENCY_MS, latencyMs));
			samples.nextIndex = (samples.nextIndex + 1) % SAMPLE_COUNT;
			samples.freshCount++;
			const isDue = samples.limitMs === undefined || samples.freshCount >= REFRESH_SAMPLE_COUNT;
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
