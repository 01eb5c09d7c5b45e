import type {ZoneOptions} from './zone-options.js';

/** Result of a call at a target, as far as it tells something about crossing and occupancy. */
export type NearSample = {
	readonly isSameZone: boolean;
	/** Open calls of the target including this one when it was granted, divided by its slots. */
	readonly occupancy: number;
	/** Duration of the call, divided by its route's mean duration. */
	readonly relativeDuration: number;
	readonly usualDurationMs: number;
};

/** Learns what a near target saves, and what a fuller one costs. */
export type NearSaving = {
	record(sample: NearSample): void;
	/**
	 * What a target of the caller's own zone saves against one of another zone, in units of a target's full occupancy.
	 *
	 * @param bytes bytes of the call's bodies; undefined if they are not known
	 */
	read(usualDurationMs: number, bytes: number | undefined): number;
	/** Learned time of a crossing between zones, in ms. */
	crossingMs(): number;
	/** Learned part of its duration by which a call takes longer at a full target than at an empty one. */
	fullness(): number;
};

/** Weight of one more sample in the running sums: the last 1000 calls count, since durations vary by more than their mean. */
const FORGET_RATIO = 1 - 1 / 1000;

/** Samples beyond this are calls that hung, which say nothing about the place. */
const MAX_RELATIVE_DURATION = 2;

/** Extra duration at a full target that is assumed until it is learned, and the weight of this assumption in samples. */
const ASSUMED_FULLNESS = 0.4;
const ASSUMED_WEIGHT = 100;

/** Bounds of the learned values, so that a chance correlation neither pins all calls to a zone nor ignores it. */
const FULLNESS_RANGE = {minimum: 0.15, maximum: 1};
const CROSSING_RANGE_MS = {minimum: 0, maximum: 30};

/** Variance of the occupancy in samples that are spread evenly; weighs the assumption. */
const ASSUMED_VARIANCE = 1 / 12;

/** Calls at near and at far targets that are needed before the crossing time is learned. */
const MIN_SAMPLE_WEIGHT = 30;

/** Crossing time until it is learned, in ms. */
const ASSUMED_CROSSING_MS = 2;

/** Samples after which the learned values are computed anew; the choice of a target reads them once for each target. */
const UPDATE_COUNT = 16;

/** Bytes of heads, and of bodies of unknown length. */
const HEAD_BYTES = 1500;
const ASSUMED_BODY_BYTES = 3000;

const BYTES_PER_KB = 1000;

/** With at most this saving, a near target is preferred while it has up to two of four calls more than another. */
const SAVING_LIMIT = 0.6;

const limitTo = (value: number, {minimum, maximum}: {minimum: number; maximum: number}): number =>
	Math.min(maximum, Math.max(minimum, value));

type Sums = {weight: number; occupancy: number; duration: number; product: number; square: number; durationMs: number};

const createSums = (): Sums => ({weight: 0, occupancy: 0, duration: 0, product: 0, square: 0, durationMs: 0});

const addSample = (sums: Sums, {occupancy, relativeDuration, usualDurationMs}: NearSample): Sums => ({
	weight: sums.weight * FORGET_RATIO + 1,
	occupancy: sums.occupancy * FORGET_RATIO + occupancy,
	duration: sums.duration * FORGET_RATIO + relativeDuration,
	product: sums.product * FORGET_RATIO + occupancy * relativeDuration,
	square: sums.square * FORGET_RATIO + occupancy ** 2,
	durationMs: sums.durationMs * FORGET_RATIO + (relativeDuration - 1) * usualDurationMs,
});

/** Covariance of occupancy and duration within the samples of one distance, and variance of the occupancy, times their weight. */
const computeSpread = ({weight, occupancy, duration, product, square}: Sums) => ({
	covariance: weight === 0 ? 0 : product - (occupancy * duration) / weight,
	variance: weight === 0 ? 0 : square - occupancy ** 2 / weight,
});

export const createNearSaving = (options: Pick<ZoneOptions, 'zonePriceMsPerKb'>): NearSaving => {
	let near = createSums();
	let far = createSums();

	const computeFullness = (): number => {
		const spreads = [near, far].map(sums => computeSpread(sums));
		const assumedVariance = ASSUMED_WEIGHT * ASSUMED_VARIANCE;
		const covariance = spreads.reduce((sum, spread) => sum + spread.covariance, ASSUMED_FULLNESS * assumedVariance);
		const variance = spreads.reduce((sum, spread) => sum + spread.variance, assumedVariance);
		return limitTo(covariance / variance, FULLNESS_RANGE);
	};

	const computeCrossingMs = (): number =>
		Math.min(near.weight, far.weight) < MIN_SAMPLE_WEIGHT
			? ASSUMED_CROSSING_MS
			: limitTo(far.durationMs / far.weight - near.durationMs / near.weight, CROSSING_RANGE_MS);

	let learned = {fullness: ASSUMED_FULLNESS, crossingMs: ASSUMED_CROSSING_MS};
	let unusedCount = 0;

	return {
		fullness: () => learned.fullness,
		crossingMs: () => learned.crossingMs,
		record(sample) {
			if (sample.relativeDuration > MAX_RELATIVE_DURATION) {
				return;
			}

			if (sample.isSameZone) {
				near = addSample(near, sample);
			} else {
				far = addSample(far, sample);
			}

			unusedCount++;
			if (unusedCount >= UPDATE_COUNT) {
				unusedCount = 0;
				learned = {fullness: computeFullness(), crossingMs: computeCrossingMs()};
			}
		},
		read(usualDurationMs, bytes = ASSUMED_BODY_BYTES) {
			const {crossingMs, fullness} = learned;
			const savedMs = crossingMs + ((HEAD_BYTES + bytes) / BYTES_PER_KB) * options.zonePriceMsPerKb;
			return Math.min(SAVING_LIMIT, savedMs / (Math.max(1, usualDurationMs) * fullness));
		},
	};
};
