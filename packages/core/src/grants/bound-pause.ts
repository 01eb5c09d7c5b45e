import {PAUSE_LIMIT_MS} from './target-notices.js';

/** Pause used in place of one that cannot be read, in ms. */
export const DEFAULT_PAUSE_MS = 1000;

export type BoundedPause = {
	readonly pauseMs: number;
	/** Whether the pause differs from the one that the target asked for. */
	readonly isChanged: boolean;
};

/** Bounds the pause that a target asks for: a negative one or one that is no number becomes the default one. */
export const boundPause = (requestedMs: number): BoundedPause => {
	const isReadable = !Number.isNaN(requestedMs) && requestedMs >= 0;
	const pauseMs = isReadable ? Math.min(requestedMs, PAUSE_LIMIT_MS) : DEFAULT_PAUSE_MS;
	return {pauseMs, isChanged: pauseMs !== requestedMs};
};
