/** Default time between two heartbeats of a target, in ms. */
export const DEFAULT_TARGET_HEARTBEAT_MS = 1500;

/** Heartbeats within which no registration expires: it does after three, and the last one may be one interval old. */
const SAFE_HEARTBEAT_COUNT = 2;

/** Heartbeats do not come at exact intervals. */
const HEARTBEAT_JITTER_MS = 500;

/** Longest pause between two answers of the store that this node learns of while the store serves any node of the fleet. */
const CALM_PAUSE_LIMIT_MS = 2500;

/**
 * How long after the end of an outage a removal may be a lapse. The platform guarantees that registrations that expired in an
 * outage are renewed within 2 s of its end; the rest is a margin. A target that left is used for no longer than that.
 */
const LAPSE_WINDOW_MS = 2200;

/** A pause between two answers of the store that is long enough for registrations to expire. */
export type EndedOutage = {
	/** Time between the two answers, in ms. */
	readonly pauseMs: number;
};

/**
 * Detects outages of the store, in which registrations expire although their targets live. Its input is when the store last
 * answered any node of the chain from which this one gets its records. A node that loses the store alone follows others
 * meanwhile, so that the answers that they got show it that there was no outage.
 */
export type LapseWindow = {
	/** Records that the store answered a read of the targets at `atMs`. Returns the outage that it ended, if there was one. */
	recordAnswer(atMs: number): EndedOutage | undefined;
	/** Monotonic time until which a removal may be a lapse, in ms; in the past if there was no outage lately. */
	endsAtMs(): number;
};

export const createLapseWindow = (targetHeartbeatMs: number): LapseWindow => {
	const outageMs = Math.max(CALM_PAUSE_LIMIT_MS, SAFE_HEARTBEAT_COUNT * targetHeartbeatMs - HEARTBEAT_JITTER_MS);
	let lastAnswerAtMs: number | undefined;
	let endsAtMs = Number.NEGATIVE_INFINITY;
	return {
		recordAnswer(atMs) {
			const pauseMs = atMs - (lastAnswerAtMs ?? atMs);
			const isAfterOutage = pauseMs >= outageMs;
			endsAtMs = isAfterOutage ? atMs + LAPSE_WINDOW_MS : endsAtMs;
			lastAnswerAtMs = Math.max(lastAnswerAtMs ?? atMs, atMs);
			return isAfterOutage ? {pauseMs} : undefined;
		},
		endsAtMs: () => endsAtMs,
	};
};
