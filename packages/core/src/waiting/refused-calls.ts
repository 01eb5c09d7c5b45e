import {createRecentMap} from '../shared/recent-map.js';

/** Spans of time for which refused calls are kept; the oldest are evicted. */
const BUCKET_LIMIT_COUNT = 4096;

/** Difference of a call's deadline between two visits, through rounding to ms and different paths to the dispatcher. */
const DEADLINE_TOLERANCE_MS = 40;

/** What is the same in a call that was refused and in the one with which its caller comes back. */
export type CallTraits = {
	readonly routeId: string;
	readonly workspace: string;
	/** Deadline on the monotonic clock, in ms. */
	readonly deadlineAtMs: number;
};

/**
 * Refused calls whose callers were told when to come back. A caller's next request has an id of its own, and tells only by its
 * route, its workspace and its deadline that it has come before. A new call is not taken for one: its deadline is later by the time
 * that has passed since the refusal, unless its caller has less time from the start.
 */
export type RefusedCalls = {
	record(call: CallTraits, times: RefusedTimes): void;
	/** When the objective of the call's first visit is missed, on the monotonic clock, in ms; undefined if there was none. */
	findObjectiveAtMs(call: CallTraits, nowMs: number): number | undefined;
};

/** Times on the monotonic clock, in ms. */
export type RefusedTimes = {
	/** When the objective of the call's first visit is missed. */
	readonly objectiveAtMs: number;
	/** When the caller was told to come back. */
	readonly returnAtMs: number;
};

export const createRefusedCalls = (): RefusedCalls => {
	/** Times by route, workspace and span of the deadline. Calls of one span are so close that one objective does for all. */
	const refusedTimes = createRecentMap<string, RefusedTimes>(BUCKET_LIMIT_COUNT);
	const spanOf = (deadlineAtMs: number): number => Math.floor(deadlineAtMs / DEADLINE_TOLERANCE_MS);
	const buildKey = ({routeId, workspace}: CallTraits, span: number): string =>
		`${span} ${routeId.length} ${routeId} ${workspace}`;

	return {
		record(call, {objectiveAtMs, returnAtMs}) {
			const key = buildKey(call, spanOf(call.deadlineAtMs));
			const known = refusedTimes.get(key);
			refusedTimes.set(key, {objectiveAtMs, returnAtMs: Math.min(returnAtMs, known?.returnAtMs ?? returnAtMs)});
		},
		findObjectiveAtMs(call, nowMs) {
			const span = spanOf(call.deadlineAtMs);
			return [span, span - 1, span + 1]
				.map(candidate => refusedTimes.get(buildKey(call, candidate)))
				.find(times => times !== undefined && times.returnAtMs <= nowMs + DEADLINE_TOLERANCE_MS)?.objectiveAtMs;
		},
	};
};
