/** When a node that stops takes its last work. Monotonic times in ms. */
export type StopPlan = {
	/** Attempts start until then, whatever their deadline. */
	readonly lastStartAtMs: number;
	/** Calls that go on then are cut off. */
	readonly endsAtMs: number;
};

/**
 * Share of the time until the end in which attempts start. The rest, 2 s of the users' 5, is for the work: several times as
 * long as most calls take.
 */
const START_SHARE = 0.6;

export const planStop = (nowMs: number, endsAtMs: number): StopPlan => ({
	lastStartAtMs: nowMs + (endsAtMs - nowMs) * START_SHARE,
	endsAtMs,
});

/** Whether an attempt may start now: early enough, or surely over before the end. */
export const mayStart = (plan: StopPlan | undefined, nowMs: number, remainingMs: number): boolean =>
	plan === undefined || nowMs <= plan.lastStartAtMs || nowMs + remainingMs <= plan.endsAtMs;
