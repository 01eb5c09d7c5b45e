import type * as ports from '../ports/index.js';
import {createDecayedCount} from './decayed-count.js';
import type {ZoneOptions} from './zone-options.js';

/** Time over which the share of calls that go to other regions is measured, in ms. */
const SHARE_WINDOW_MS = 10_000;

/** Calls that may go before the share counts. */
const SHARE_BURST_COUNT = 5;

/** Bounds the share of a node's calls that go to other regions although their own could serve them. */
export type ShareBound = {
	record(isAway: boolean): void;
	/** Whether one more call may go. */
	isLeft(): boolean;
};

export const createShareBound = (parts: {
	readonly clock: Pick<ports.Clock, 'monotonicMs'>;
	readonly options: Pick<ZoneOptions, 'shareLimit'>;
}): ShareBound => {
	const {clock, options} = parts;
	const all = createDecayedCount(SHARE_WINDOW_MS);
	const away = createDecayedCount(SHARE_WINDOW_MS);
	return {
		record(isAway) {
			const nowMs = clock.monotonicMs();
			all.add(nowMs);
			away.add(nowMs, isAway ? 1 : 0);
		},
		isLeft() {
			const nowMs = clock.monotonicMs();
			return away.read(nowMs) < all.read(nowMs) * options.shareLimit + SHARE_BURST_COUNT;
		},
	};
};
