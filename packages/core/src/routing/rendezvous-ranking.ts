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

/** A candidate with its score for a key. */
export type RankedCandidate<T> = {readonly candidate: T; readonly score: number};

/** Score of an address for a key. The highest score ranks first. */
export const scoreRendezvous = (key: string, address: string): number =>
	mixHashes(hashString(address), hashString(key));

const isRankedBefore = <T extends {readonly address: string}>(
	left: RankedCandidate<T>,
	right: RankedCandidate<T>,
): boolean =>
	left.score > right.score || (left.score === right.score && left.candidate.address < right.candidate.address);

/** Inserts a candidate into a ranking by its score. The ranking keeps at most `limitCount` candidates. */
export const insertRanked = <T extends {readonly address: string}>(
	ranking: ReadonlyArray<RankedCandidate<T>>,
	added: RankedCandidate<T>,
	limitCount: number,
): ReadonlyArray<RankedCandidate<T>> => {
	const last = ranking.at(-1);
	if (last && ranking.length >= limitCount && !isRankedBefore(added, last)) {
		return ranking;
	}

	const place = ranking.findIndex(existing => isRankedBefore(added, existing));
	return ranking.toSpliced(place === -1 ? ranking.length : place, 0, added).slice(0, limitCount);
};

/** Ranks candidates for a key, with their scores. */
export const rankWithScores = <T extends {readonly address: string}>(
	key: string,
	candidates: readonly T[],
	limitCount: number,
): ReadonlyArray<RankedCandidate<T>> => {
	let ranking: ReadonlyArray<RankedCandidate<T>> = [];
	candidates.forEach(candidate => {
		ranking = insertRanked(ranking, {candidate, score: scoreRendezvous(key, candidate.address)}, limitCount);
	});
	return ranking;
};

/** Number of 32-bit hashes. */
const HASH_COUNT = 2 ** 32;

/**
 * Ranks candidates for a key by weighted rendezvous hashing: each ranks first for a share of the keys in proportion to its
 * weight. With equal weights the order is that of {@link rankByRendezvous}.
 */
export const rankByWeightedRendezvous = <T extends {readonly address: string; readonly weight: number}>(
	key: string,
	candidates: readonly T[],
	limitCount: number,
): T[] => {
	let ranking: ReadonlyArray<RankedCandidate<T>> = [];
	candidates.forEach(candidate => {
		const fraction = (scoreRendezvous(key, candidate.address) + 0.5) / HASH_COUNT;
		ranking = insertRanked(ranking, {candidate, score: -candidate.weight / Math.log(fraction)}, limitCount);
	});
	return ranking.map(({candidate}) => candidate);
};

/**
 * Ranks candidates for a key by rendezvous hashing. Removing a candidate reassigns only the keys for which it ranked
 * first.
 *
 * @param limitCount how many of the best candidates to return
 */
export const rankByRendezvous = <T extends {readonly address: string}>(
	key: string,
	candidates: readonly T[],
	limitCount: number,
): T[] => rankWithScores(key, candidates, limitCount).map(({candidate}) => candidate);
