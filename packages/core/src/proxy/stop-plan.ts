/** Time limits of a node's graceful shutdown. Monotonic times in ms. */
export type StopPlan = {
	/** Time until which attempts start regardless of their deadline. */
	readonly lastStartAtMs: number;
	/** Time at which calls that are still running are cut off. */
	readonly endsAtMs: number;
};

/**
 * Fraction of the shutdown time in which attempts start regardless of their deadline. The rest, 2 s of the 5 s that the users
 * allow, is for finishing them: several times as long as most calls take.
 */
const START_WINDOW_RATIO = 0.6;

export const planStop = (nowMs: number, endsAtMs: number): StopPlan => ({
	lastStartAtMs: nowMs + (endsAtMs - nowMs) * START_WINDOW_RATIO,
	endsAtMs,
});

/** Whether an attempt may start now: within the start window, or with a deadline before the end of the shutdown. */
export const mayStart = (plan: StopPlan | undefined, nowMs: number, remainingMs: number): boolean =>
	plan === undefined || nowMs <= plan.lastStartAtMs || nowMs + remainingMs <= plan.endsAtMs;
