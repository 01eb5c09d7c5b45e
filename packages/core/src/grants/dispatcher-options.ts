/** Settings of a group's dispatcher. */
export type DispatcherOptions = {
	/** Retries allowed as a fraction of calls. */
	readonly retryRatio: number;
	/** Time whose calls' retries may be saved up, in ms. */
	readonly retrySavingMs: number;
	/** Share of a target's calls that fails while it is gray, as the judgement assumes it. */
	readonly grayFailureRatio: number;
	/** Share of targets that is gray at a time, as the judgement assumes it before it has seen anything. */
	readonly grayPrior: number;
	/** How long targets stay gray, before the group's own phases are known, in ms. */
	readonly usualPhaseMs: number;
	/** Bounds of the absence that is learned from the group's phases, in ms. */
	readonly absenceRangeMs: {readonly minimum: number; readonly maximum: number};
	/** Successes in a row that end a trial. */
	readonly trialSuccessCount: number;
	/** Time after which a target on trial counts as sound again without a success, in ms. */
	readonly trialLimitMs: number;
	/** How long a node avoids a target that it failed to reach, in ms. */
	readonly pathAbsenceMs: number;
	/** How long a target that refused a call for lack of room is spared, in ms. */
	readonly shedPauseMs: number;
	/** Share of the sound targets' slots in use from which targets on trial get work that may not be repeated. */
	readonly trialOccupancyRatio: number;
	/** Share of the targets that get calls, gray or not, while the floor is enforced. */
	readonly floorRatio: number;
	/** Share of unserved calls from which the floor is enforced. Below it the targets that are not set aside carry the load. */
	readonly floorUnservedRatio: number;
	/** Time beyond a call's deadline after which its grant is forgotten, in ms. */
	readonly grantSlackMs: number;
};

export const DEFAULT_DISPATCHER_OPTIONS: DispatcherOptions = {
	// The platform allows 0.2 in any 10 s over the whole fleet. With the retries that are saved for a tenth of that time,
	// 0.18 stays below it.
	retryRatio: 0.18,
	retrySavingMs: 1000,
	grayFailureRatio: 0.5,
	grayPrior: 0.05,
	usualPhaseMs: 6000,
	absenceRangeMs: {minimum: 1500, maximum: 15_000},
	// A target that fails three of four calls passes two in a row once in sixteen times.
	trialSuccessCount: 2,
	trialLimitMs: 10_000,
	pathAbsenceMs: 4000,
	shedPauseMs: 150,
	trialOccupancyRatio: 0.5,
	floorRatio: 0.7,
	// The platform checks the floor from a tenth on, and failures are known only when calls end.
	floorUnservedRatio: 0.06,
	grantSlackMs: 500,
};
