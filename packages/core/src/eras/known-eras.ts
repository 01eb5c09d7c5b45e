import type * as ports from '../ports/index.js';

/** A new era that a node has learned of. */
export type EraChange = {
	/** Undefined for the first era that the node knows of. */
	readonly previousEra: number | undefined;
	readonly era: number;
};

/** What a node knows of the store's eras. The store enters a new one each time it continues from an older copy. */
export type KnownEras = {
	/** Newest known era; 0 before the first one. */
	newest(): number;
	/** Era of a peer's message. Older peers omit it; it then counts as the lowest known era. */
	resolve(era: number | undefined): number;
	/**
	 * Records an era. Returns the change if the era is newer than all known ones.
	 *
	 * @param ageMs time since a node first learned of the era, in ms
	 */
	record(era: number, ageMs?: number): EraChange | undefined;
	/** What peers are told; undefined before the first era. */
	describe(): ports.StoreEra | undefined;
	/** Monotonic time until which records that the rollback lost may be written again, in ms; in the past without a rollback. */
	renewalEndsAtMs(): number;
};

/**
 * How long after a rollback its lost records stay in use. Targets write theirs again within 2 s of the store's return; the rest
 * is for the reader's next read of the targets, whose interval is shorter meanwhile, and for the way to its followers.
 */
const RENEWAL_WINDOW_MS = 2500;

export const createKnownEras = (clock: ports.Clock): KnownEras => {
	let lowest: number | undefined;
	let newest: number | undefined;
	let startedAtMs = 0;
	let hasChanged = false;
	return {
		newest: () => newest ?? 0,
		resolve: era => era ?? lowest ?? 0,
		record(era, ageMs = 0) {
			const atMs = clock.monotonicMs() - ageMs;
			lowest = Math.min(lowest ?? era, era);
			if (newest !== undefined && era <= newest) {
				startedAtMs = era === newest ? Math.min(startedAtMs, atMs) : startedAtMs;
				return undefined;
			}

			const previousEra = newest;
			newest = era;
			startedAtMs = atMs;
			hasChanged = previousEra !== undefined;
			return {previousEra, era};
		},
		describe: () =>
			newest === undefined ? undefined : {era: newest, ageMs: Math.round(clock.monotonicMs() - startedAtMs)},
		renewalEndsAtMs: () => (hasChanged ? startedAtMs + RENEWAL_WINDOW_MS : Number.NEGATIVE_INFINITY),
	};
};
