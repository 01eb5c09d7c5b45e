/** Settings of a group's dispatcher. A target is called gray while it is registered as ready but fails many of its calls. */
export type DispatcherOptions = {
	/** Retries allowed as a fraction of calls. */
	readonly retryRatio: number;
	/** Time constant of the window whose unused retries may be saved up, in ms. */
	readonly retrySavingMs: number;
	/** Assumed failure ratio of a target while it is gray. */
	readonly grayFailureRatio: number;
	/** Assumed fraction of targets that are gray at a time; the prior before any evidence. */
	readonly grayPrior: number;
	/** Initial estimate of how long a target stays gray, until the group has observations of its own, in ms. */
	readonly usualPhaseMs: number;
	/** Bounds of the estimated gray phase, and upper bound of the time for which a target is set aside, in ms. */
	readonly absenceRangeMs: {readonly minimum: number; readonly maximum: number};
	/** Consecutive successes that end a trial. */
	readonly trialSuccessCount: number;
	/** Time after which a target on trial counts as sound again even without enough successes, in ms. */
	readonly trialLimitMs: number;
	/** How long a node avoids a target that it failed to reach, in ms. */
	readonly pathAbsenceMs: number;
	/** How long a target that shed a call is used only if no sound target has a free slot, in ms. */
	readonly shedPauseMs: number;
	/** Slot occupancy of the sound targets from which targets on trial also get calls that must not be repeated. */
	readonly trialOccupancyRatio: number;
	/** Fraction of all targets, gray ones included, that must get calls while the floor is enforced. */
	readonly floorRatio: number;
	/**
	 * Ratio of failed or refused calls from which the floor is enforced. Below it, the targets that are not set aside carry the
	 * load.
	 */
	readonly floorUnservedRatio: number;
	/** Time after a call's deadline at which its grant expires, in ms. */
	readonly grantSlackMs: number;
};

export const DEFAULT_DISPATCHER_OPTIONS: DispatcherOptions = {
	// The platform allows 0.2 in any 10 s over the whole fleet. 0.18 stays below it, including the retries that are saved up
	// for a tenth of that time.
	retryRatio: 0.18,
	retrySavingMs: 1000,
	grayFailureRatio: 0.5,
	grayPrior: 0.05,
	usualPhaseMs: 6000,
	absenceRangeMs: {minimum: 1500, maximum: 15_000},
	// A target that fails three of four calls succeeds twice in a row with a probability of 1/16.
	trialSuccessCount: 2,
	trialLimitMs: 10_000,
	pathAbsenceMs: 4000,
	shedPauseMs: 150,
	trialOccupancyRatio: 0.5,
	floorRatio: 0.7,
	// The platform checks the floor from a ratio of 0.1 on; the margin is for failures of calls that have not ended yet.
	floorUnservedRatio: 0.06,
	grantSlackMs: 500,
};
