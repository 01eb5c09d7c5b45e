/** Options of the health evaluation of targets. Evidence is a log-likelihood ratio in nats. */
export type HealthOptions = {
	/** Pause between checks of attempts in flight and of time-based state changes, in ms. */
	readonly tickMs: number;
	/** Evidence at which a target becomes suspect and its weight is reduced. */
	readonly suspectEvidence: number;
	/** Evidence at which a suspect is ejected. */
	readonly ejectEvidence: number;
	/** Upper bound of the evidence, so that a recovered target is cleared in bounded time. */
	readonly evidenceLimit: number;
	/** Shortest time as a suspect before an ejection, in ms. */
	readonly minSuspectMs: number;
	/** Results of other targets since the target became suspect that an ejection requires for comparison. */
	readonly comparisonResultCount: number;
	/** Share of simultaneously unhealthy targets of the group from which a common cause is assumed, 0 to 1. */
	readonly commonCauseRatio: number;
	/** Time after its ejection for which a target counts as unhealthy in the check for a common cause, in ms. */
	readonly commonCauseMs: number;
	/** First ejection time, in ms. It doubles with each further ejection. */
	readonly ejectionMs: number;
	readonly ejectionLimitMs: number;
	/** Time without an ejection after which one doubling is undone, in ms. */
	readonly flapDecayMs: number;
	/** Initial evidence of a target on probation. The target becomes healthy when it reaches zero. */
	readonly probationEvidence: number;
	/** Evidence at which a target on probation is ejected again. */
	readonly probationEjectEvidence: number;
	/** Time on probation without any attempt after which a target returns as a suspect, in ms. */
	readonly probationIdleMs: number;
	/** Weight of a target on probation among targets with free slots. */
	readonly probationWeight: number;
	/** Lowest weight of a suspect target. */
	readonly suspectWeightMin: number;
	/** Time without results in which a suspect's evidence halves, in ms. */
	readonly idleHalfLifeMs: number;
	/** Time over which the slots of a cold target open gradually, in ms. */
	readonly coldRampMs: number;
	/** Time over which the slots of a target that has passed probation open gradually, in ms. */
	readonly returnRampMs: number;
	/** Longest time for a probe or for a peer's test of a target, in ms. */
	readonly probeTimeoutMs: number;
	/** Pause between probes of one target, in ms. */
	readonly probePeriodMs: number;
	/** Probes stop when the group has had no attempt for this time, in ms. */
	readonly probeIdleMs: number;
	/** How long a target stays draining after the last sign that it is leaving, in ms. */
	readonly leavingHoldMs: number;
};

/**
 * The ejection threshold of 18 gives a mean of e^18 (about 6 x 10^7) attempts between false alarms of one target while
 * the group's bad ratio is estimated correctly, and is reached by five bad results in a row. The minimum time as a
 * suspect prevents an ejection for one short pause of a target, which delays all its attempts at once and so yields bad
 * results that are not independent.
 */
export const DEFAULT_HEALTH_OPTIONS: HealthOptions = {
	tickMs: 50,
	suspectEvidence: 6,
	ejectEvidence: 18,
	evidenceLimit: 30,
	minSuspectMs: 200,
	comparisonResultCount: 5,
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
