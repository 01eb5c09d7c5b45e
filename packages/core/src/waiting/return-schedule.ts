/**
 * Part of the slots' time that is allotted to callers that come back. A smaller part leaves slots unused after a burst, and a larger
 * one makes more callers come back in vain under steady overload (docs/design/waiting.md has the figures).
 */
const RETURN_SHARE = 0.75;

/** Part of its remaining time within which a caller comes back. With a longer time to wait it gives up. */
export const RETURN_TIME_RATIO = 1 / 3;

export type RefusedCall = {
	/** 0 is the highest. */
	readonly priority: number;
	/** Time until a slot is expected to be free for the call, in ms. */
	readonly predictedWaitMs: number;
	/** Time until the call can no longer be served in time, in ms. */
	readonly startLeftMs: number;
	/** Time left until the call's deadline, in ms. */
	readonly remainingMs: number;
	/** Usual duration of the call's route, in ms. */
	readonly workMs: number;
	/** Slots of the group's sound targets. */
	readonly slotCount: number;
};

/**
 * Times at which refused callers should come back. Each is allotted its own part of the slots' time after those before it, so that
 * callers who were refused together do not return together, and no more return than there will be room for.
 */
export type ReturnSchedule = {
	/** Time after which there will be room for a refused call, in ms. */
	allot(call: RefusedCall, nowMs: number): number;
};

export const createReturnSchedule = (): ReturnSchedule => {
	/** End of the time that is allotted to callers of each priority, on the monotonic clock, in ms. */
	let allottedUntilMs: ReadonlyMap<number, number> = new Map();

	return {
		allot({priority, predictedWaitMs, startLeftMs, remainingMs, workMs, slotCount}, nowMs) {
			const latestMs = remainingMs * RETURN_TIME_RATIO;
			// A call that could still be served after a longer wait may come back earlier and wait for the rest of the time.
			const earliestMs = predictedWaitMs <= startLeftMs ? Math.min(predictedWaitMs, latestMs) : predictedWaitMs;
			const current = [...allottedUntilMs].filter(([, untilMs]) => untilMs > nowMs);
			const earlierMs = current.filter(([other]) => other <= priority).map(([, untilMs]) => untilMs);
			const returnAtMs = Math.max(nowMs + earliestMs, ...earlierMs);
			const delayMs = returnAtMs - nowMs;
			const untilMs = returnAtMs + workMs / (Math.max(1, slotCount) * RETURN_SHARE);
			// Nothing is allotted to a caller that does not come back.
			allottedUntilMs = new Map(delayMs > latestMs ? current : [...current, [priority, untilMs]]);
			return delayMs;
		},
	};
};
