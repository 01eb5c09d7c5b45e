import type * as ports from '../ports/index.js';

/** Rate of one bucket. */
export type BucketRate = {
	readonly ratePerSecond: number;
	/** Capacity of the bucket in tokens, at least 1. */
	readonly burstCount: number;
};

/** Token buckets by key. Buckets that have filled up again are dropped, so memory use depends only on active keys. */
export type TokenBuckets = {
	/** Number of buckets in memory. */
	readonly size: () => number;
	/** Takes one token. Returns 0, or the time until one is available, in ms. */
	take(key: string, rate: BucketRate): number;
	/** Sets how long an unused bucket is kept: the time in which the slowest bucket fills, in ms. */
	setRetention(retentionMs: number): void;
};

type Bucket = {tokenCount: number; updatedAtMs: number};

const MS_PER_SECOND = 1000;

/** Keeps buckets in two generations. A bucket that was not used for a whole retention period is full and is dropped. */
export const createTokenBuckets = (dependencies: {clock: ports.Clock}): TokenBuckets => {
	const {clock} = dependencies;
	let retentionMs = MS_PER_SECOND;
	let current = new Map<string, Bucket>();
	let previous = new Map<string, Bucket>();
	let rotatedAtMs = clock.monotonicMs();

	const rotate = (nowMs: number): void => {
		const elapsedMs = nowMs - rotatedAtMs;
		if (elapsedMs >= retentionMs) {
			previous = elapsedMs >= 2 * retentionMs ? new Map<string, Bucket>() : current;
			current = new Map<string, Bucket>();
			rotatedAtMs = nowMs;
		}
	};

	const openBucket = (key: string, rate: BucketRate, nowMs: number): Bucket => {
		const bucket = current.get(key) ?? previous.get(key) ?? {tokenCount: rate.burstCount, updatedAtMs: nowMs};
		previous.delete(key);
		current.set(key, bucket);
		return bucket;
	};

	return {
		take(key, rate) {
			const nowMs = clock.monotonicMs();
			rotate(nowMs);
			const bucket = openBucket(key, rate, nowMs);
			const refill = ((nowMs - bucket.updatedAtMs) * rate.ratePerSecond) / MS_PER_SECOND;
			bucket.tokenCount = Math.min(rate.burstCount, bucket.tokenCount + refill);
			bucket.updatedAtMs = nowMs;
			if (bucket.tokenCount < 1) {
				return ((1 - bucket.tokenCount) * MS_PER_SECOND) / rate.ratePerSecond;
			}

			bucket.tokenCount--;
			return 0;
		},
		size: () => current.size + previous.size,
		setRetention(newRetentionMs) {
			retentionMs = Math.max(MS_PER_SECOND, newRetentionMs);
		},
	};
};
