const FNV_OFFSET_BASIS = 0x81_1c_9d_c5;
const FNV_PRIME = 0x01_00_01_93;

/** 32-bit FNV-1a hash of a string. */
export const hashString = (text: string): number => {
	let hash = FNV_OFFSET_BASIS;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.codePointAt(index)!, FNV_PRIME);
	}

	return hash >>> 0;
};

/** Mixes two hashes with the finalizer of MurmurHash3, so that close inputs give unrelated scores. */
export const mixHashes = (left: number, right: number): number => {
	let mixed = left ^ Math.imul(right, 0x9e_37_79_b1);
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_eb_ca_6b);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2_b2_ae_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
};

/**
 * Ranks candidates for a key by rendezvous hashing. When a candidate goes, only the keys that it held move.
 *
 * @param limitCount how many of the best candidates to return
 */
export const rankByRendezvous = <T extends {readonly address: string}>(
	key: string,
	candidates: readonly T[],
	limitCount: number,
): T[] => {
	const keyHash = hashString(key);
	return candidates
		.map(candidate => ({candidate, score: mixHashes(hashString(candidate.address), keyHash)}))
		.toSorted((left, right) => right.score - left.score || (left.candidate.address < right.candidate.address ? -1 : 1))
		.slice(0, limitCount)
		.map(({candidate}) => candidate);
};
