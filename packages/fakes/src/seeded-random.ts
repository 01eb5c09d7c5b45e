import type * as core from '@bilberrydoor/core';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

const WORD_RANGE = 2 ** 32;

/** Creates a deterministic random number generator. */
export const createSeededRandom = (seed: number): core.Random => {
	const generator = xoroshiro.xoroshiro128plus(seed);
	const nextWord = (): number => generator.next() >>> 0;
	return {
		fraction: () => nextWord() / WORD_RANGE,
		token: () => Array.from({length: 4}, () => nextWord().toString(16).padStart(8, '0')).join(''),
	};
};
