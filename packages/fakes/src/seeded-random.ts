import type * as core from '@bilberrydoor/core';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

const RANGE = 2 ** 32;

/** Random numbers that a seed determines. */
export const createSeededRandom = (seed: number): core.Random => {
	const generator = xoroshiro.xoroshiro128plus(seed);
	const nextWord = (): number => generator.next() >>> 0;
	return {
		fraction: () => nextWord() / RANGE,
		token: () => Array.from({length: 4}, () => nextWord().toString(16).padStart(8, '0')).join(''),
	};
};
