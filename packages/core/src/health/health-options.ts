/** Options of the judgement of targets. Evidence is a log-likelihood ratio in nats. */
export type HealthOptions = {
	/** Pause between checks of work in flight and of times that have passed, in ms. */
	readonly tickMs: number;
	/** Evidence at which a target becomes suspect and loses weight. */
	readonly suspectEvidence: number;
	/** Evidence at which a suspect is ejected. */
	readonly ejectEvidence: number;
	/** Evidence never rises above this, so that a target which has recovered is cleared in bounded time. */
	readonly evidenceLimit: number;
	/** Shortest time as a suspect before an ejection, in ms. */
	readonly minSuspectMs: number;
	/** Results of other targets since the suspicion began that an ejection needs for comparison. */
	readonly contrastCount: number;
	/** Share of the group's targets that look unhealthy at once from which the cause is taken to be common, 0 to 1. */
	readonly commonCauseRatio: number;
	/** How long an ejected target counts as looking unhealthy at once with others, in ms. */
	readonly commonCauseMs: number;
	/** First ejection time, in ms. It doubles with each further ejection. */
	readonly ejectionMs: number;
	readonly ejectionLimitMs: number;
	/** Time without ejection that takes one doubling back, in ms. */
	readonly flapDecayMs: number;
	/** Evidence at which probation starts; it ends well at zero. */
	readonly probationEvidence: number;
	/** Evidence at which a target on probation is ejected again. */
	readonly probationEjectEvidence: number;
	/** Time on probation without any attempt after which a target returns as a suspect, in ms. */
	readonly probationIdleMs: number;
	/** Preference of a target on probation among targets with free slots. */
	readonly probationWeight: number;
	/** Lowest preference of a suspect. */
	readonly suspectWeightMin: number;
	/** Time without results in which a suspect's evidence halves, in ms. */
	readonly idleHalfLifeMs: number;
	/** Time in which a cold target's slots open, in ms. */
	readonly coldRampMs: number;
	/** Time in which the slots of a target that has passed probation open, in ms. */
	readonly returnRampMs: number;
	/** Longest time for a probe or for a peer's test of a target, in ms. */
	readonly probeTimeoutMs: number;
	/** Pause between probes of one target, in ms. */
	readonly probePeriodMs: number;
	/** Probes stop when the group has had no attempt for this time, in ms. */
	readonly probeIdleMs: number;
	/** How long a leaving target stays drained after its last sign, in ms. */
	readonly leavingHoldMs: number;
};

/**
 * The ejection threshold of 18 gives a mean of e^18 (about 6 x 10^7) attempts between false alarms of one target while
 * the group's bad ratio is estimated correctly, and is reached by five bad results in a row. The minimum time as a
 * suspect keeps one short pause of a target, which delays all its work at once, from counting as independent results.
 */
export const DEFAULT_HEALTH_OPTIONS: HealthOptions = {
	tickMs: 50,
	suspectEvidence: 6,
	ejectEvidence: 18,
	evidenceLimit: 30,
	minSuspectMs: 200,
	contrastCount: 5,
	commonCauseRatio: 0.6,
	commonCauseMs: 5000,
	ejectionMs: 2000,
	ejectionLimitMs: 120_000,
	flapDecayMs: 60_000,
	probationEvidence: 5,
	probationEjectEvidence: 8,
	probationIdleMs: 10_000,
	probationWeight: 0.2,
	suspectWeightMin: 0.25,
	idleHalfLifeMs: 1000,
	coldRampMs: 10_000,
	returnRampMs: 2000,
	probeTimeoutMs: 300,
	probePeriodMs: 1000,
	probeIdleMs: 30_000,
	leavingHoldMs: 10_000,
};
