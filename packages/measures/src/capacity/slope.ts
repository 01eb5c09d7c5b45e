import process from 'node:process';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';

/** Figure of one quantity at one size. */
export type SlopePoint = {readonly size: number; readonly figure: number};

const NANOSECONDS_PER_MILLISECOND = 1e6;
const TIMING_ROUND_COUNT = 5;

v8.setFlagsFromString('--expose-gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

const readHeapBytes = (): number => {
	collectGarbage();
	collectGarbage();
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
};

/** Memory of a structure of `size` items, in bytes per item. */
export const measureBytesPerItem = (size: number, build: (size: number) => unknown): number => {
	const before = readHeapBytes();
	const built = build(size);
	const after = readHeapBytes();
	// The reference keeps the structure alive until it has been measured.
	return built === undefined ? Number.NaN : (after - before) / size;
};

/** Median time of one call of `runOnce`, in ns, after one warm-up round. */
export const measureNs = async (count: number, runOnce: (index: number) => unknown): Promise<number> => {
	const rounds: number[] = [];
	for (let round = 0; round <= TIMING_ROUND_COUNT; round++) {
		const startedMs = performance.now();
		for (let index = 0; index < count; index++) {
			const result = runOnce(index);
			if (result instanceof Promise) {
				await result;
			}
		}

		rounds.push(((performance.now() - startedMs) * NANOSECONDS_PER_MILLISECOND) / count);
	}

	return rounds.slice(1).toSorted((left, right) => left - right)[Math.floor(TIMING_ROUND_COUNT / 2)]!;
};

/** Measures at each size, one after another. */
export const measurePoints = async (
	sizes: readonly number[],
	measure: (size: number) => number | Promise<number>,
): Promise<readonly SlopePoint[]> => {
	const points: SlopePoint[] = [];
	for (const size of sizes) {
		points.push({size, figure: Math.round((await measure(size)) * 100) / 100});
	}

	return points;
};
