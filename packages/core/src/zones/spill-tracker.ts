import {createRecentMap} from '../shared/recent-map.js';
import {createDecayedCount, type DecayedCount} from './decayed-count.js';

/** Time over which the share of calls that are sent away is measured, in ms. */
const SHARE_WINDOW_MS = 5000;

/** Calls in the window below which sending does not begin, so that a single call is no news. */
const MIN_AWAY_COUNT = 3;

/** Places whose share is kept. */
const PLACE_LIMIT_COUNT = 2048;

export type SpillRange = {
	/** Share of calls sent away at which sending begins. */
	readonly beginShare: number;
	/** Share below which it ends. */
	readonly endShare: number;
};

/** Change of whether a place sends calls away. */
export type SpillChange = {readonly isSending: boolean; readonly awayShare: number};

/** Tracks which places send a notable part of their calls away. Begins and ends at different shares, so that it does not flap. */
export type SpillTracker = {
	/** Records where a call goes, and returns the change that follows, if any. */
	record(place: string, isAway: boolean, nowMs: number): SpillChange | undefined;
	isSending(place: string): boolean;
	/** Share of the place's calls that were sent away lately. */
	awayShare(place: string, nowMs: number): number;
};

type SpillState = {readonly all: DecayedCount; readonly away: DecayedCount; isSending: boolean};

export const createSpillTracker = ({beginShare, endShare}: SpillRange): SpillTracker => {
	const states = createRecentMap<string, SpillState>(PLACE_LIMIT_COUNT);
	const readShare = ({all, away}: SpillState, nowMs: number): number => away.read(nowMs) / Math.max(1, all.read(nowMs));
	const ensureState = (place: string): SpillState => {
		const existing = states.get(place);
		if (existing) {
			return existing;
		}

		const all = createDecayedCount(SHARE_WINDOW_MS);
		const state = {all, away: createDecayedCount(SHARE_WINDOW_MS), isSending: false};
		states.set(place, state);
		return state;
	};

	return {
		record(place, isAway, nowMs) {
			const state = ensureState(place);
			state.all.add(nowMs);
			if (isAway) {
				state.away.add(nowMs);
			}

			const awayShare = readShare(state, nowMs);
			const begins = !state.isSending && awayShare >= beginShare && state.away.read(nowMs) >= MIN_AWAY_COUNT;
			const ends = state.isSending && awayShare < endShare;
			if (!begins && !ends) {
				return undefined;
			}

			state.isSending = begins;
			return {isSending: begins, awayShare};
		},
		isSending: place => states.get(place)?.isSending ?? false,
		awayShare(place, nowMs) {
			const state = states.get(place);
			return state ? readShare(state, nowMs) : 0;
		},
	};
};
