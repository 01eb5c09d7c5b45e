import type * as ports from '../ports/index.js';

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

/** Longest time between the first answers that two nodes get after the same outage: the pauses of readers after failed reads. */
const FIRST_ANSWER_SPREAD_MS = 1500;

/** A time over which the store answered without an outage, on the monotonic clock of this node, in ms. */
export type AnswerRun = {
	readonly startedAtMs: number;
	/** Time of the last answer. */
	readonly endedAtMs: number;
};

/** An outage of the store that has ended, in which registrations may have expired although their targets live. */
export type EndedOutage = {
	/** Time between the answers before and after the outage, in ms. */
	readonly pauseMs: number;
};

/**
 * Detects outages of the store, in which registrations expire although their targets live. Its input is when the store answered
 * any node of which this one knows. A node that lost the store, was cut off or was suspended sees a pause that the others did
 * not: their answers show it that there was no outage.
 */
export type LapseWindow = {
	/**
	 * Records that the store answered this node or another one in the given time. Returns the outage that ended with it, if it
	 * shows one.
	 */
	recordRun(run: AnswerRun): EndedOutage | undefined;
	/** The latest run; undefined before the first answer. */
	latestRun(): AnswerRun | undefined;
	/** Monotonic time until which a removal may be a lapse, in ms; in the past if there was no outage lately. */
	endsAtMs(): number;
};

/** @param readTargetHeartbeatMs returns the time between two heartbeats of a target, in ms, which may change */
export const createLapseWindow = (readTargetHeartbeatMs: () => number): LapseWindow => {
	const outageMs = (): number =>
		Math.max(CALM_PAUSE_LIMIT_MS, SAFE_HEARTBEAT_COUNT * readTargetHeartbeatMs() - HEARTBEAT_JITTER_MS);
	let latest: AnswerRun | undefined;
	let isAfterOutage = false;

	const isJoined = (left: AnswerRun, right: AnswerRun): boolean =>
		right.startedAtMs - left.endedAtMs < outageMs() && left.startedAtMs - right.endedAtMs < outageMs();

	/** After an outage, other nodes' first answers may be a little earlier, and the time for renewals stays as it is. */
	const join = (known: AnswerRun, run: AnswerRun): AnswerRun => {
		const isSameOutage = isAfterOutage && known.startedAtMs - run.startedAtMs <= FIRST_ANSWER_SPREAD_MS;
		return {
			startedAtMs: isSameOutage ? known.startedAtMs : Math.min(known.startedAtMs, run.startedAtMs),
			endedAtMs: Math.max(known.endedAtMs, run.endedAtMs),
		};
	};

	return {
		recordRun(run) {
			if (latest === undefined || isJoined(latest, run)) {
				latest = latest ? join(latest, run) : run;
				return undefined;
			}

			if (run.endedAtMs < latest.endedAtMs) {
				return undefined;
			}

			const pauseMs = run.startedAtMs - latest.endedAtMs;
			latest = run;
			isAfterOutage = true;
			return {pauseMs};
		},
		latestRun: () => latest,
		endsAtMs: () => (latest && isAfterOutage ? latest.startedAtMs + LAPSE_WINDOW_MS : Number.NEGATIVE_INFINITY),
	};
};

/** What peers are told of the latest run. */
export const describeStoreAnswers = (run: AnswerRun | undefined, nowMs: number): ports.StoreAnswers | undefined =>
	run && {ageMs: Math.round(nowMs - run.endedAtMs), runMs: Math.round(run.endedAtMs - run.startedAtMs)};
