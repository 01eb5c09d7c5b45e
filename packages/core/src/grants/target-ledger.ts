import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {updateMovingAverage} from '../shared/update-moving-average.js';
import type {GroupZones} from '../zones/group-zones.js';
import type {DispatcherOptions} from './dispatcher-options.js';
import type {GrayPhaseEstimator} from './gray-phase-estimator.js';
import {createOpenGrants} from './open-grants.js';
import {computeTargetCost, isOverdue} from './target-cost.js';
import type {TargetNotices} from './target-notices.js';
import type {UsualDurations} from './usual-durations.js';
import type {UsualFailureRatio} from './usual-failure-ratio.js';

/** Eligibility of a target for new calls. */
export enum GrantStanding {
	Sound = 'sound',
	/** Its set-aside period has ended, and too few calls have succeeded since. */
	OnTrial = 'on-trial',
	/** It was found gray and gets calls only as a last resort or to meet the floor. */
	SetAside = 'set-aside',
	/** It has asked for a pause and gets no calls, not even as a last resort. */
	Paused = 'paused',
	/** It shed a call within the last `shedPauseMs`. */
	Resting = 'resting',
	/** The requesting node failed to reach it within the last `pathAbsenceMs`. */
	PathLost = 'path-lost',
}

/**
 * A target without a grant for this long counts as unused. The platform's limit is 2 s without a call; the difference leaves
 * time for the call to reach the target.
 */
const UNUSED_AFTER_MS = 1700;

/** Half-life of the evidence against a target. */
const EVIDENCE_HALF_LIFE_MS = 5000;

/** Evidence from a lost path, in log odds. Two lost paths within seconds set the target aside, a single one does not. */
const LOST_PATH_EVIDENCE = 2;

/** Size of the moving average of a target's relative slowness, in calls. */
const SLOWNESS_WINDOW_COUNT = 6;

/** A call without an answer counts as evidence once it has lasted this many times its route's mean duration. */
const TIMEOUT_EVIDENCE_FACTOR = 3;

/** Mean duration assumed for a route without a successful call. */
const DEFAULT_DURATION_MS = 300;

/** Results that indicate a fault of the target. */
const FAULT_RESULTS: ReadonlySet<ports.GrantResult> = new Set([
	ports.GrantResult.Failure,
	ports.GrantResult.Unreachable,
	ports.GrantResult.Broken,
	ports.GrantResult.TimedOut,
]);

/** Time for which a gray target is set aside, and the trial that follows it. */
type SetAsidePeriod = {
	/** When the target was first found gray. */
	readonly sinceMs: number;
	readonly untilMs: number;
	readonly failedTrialCount: number;
	/** Consecutive successes since `untilMs`. */
	trialSuccessCount: number;
};

export type GrantTerms = {
	/** Time after which the grant expires, in ms. */
	readonly ttlMs: number;
	/** Whether the target was picked only to meet the floor. */
	readonly isForFloor: boolean;
};

/** Result of an attempt, as far as it concerns the target. */
export type AttemptReport = Pick<ports.ReportResultRequest, 'grantId' | 'nodeId' | 'routeId' | 'result' | 'durationMs'>;

/** Properties of the requesting node and its call on which the cost of a target depends. */
export type GrantRequester = Pick<
	ports.AcquireGrantRequest,
	'nodeId' | 'availabilityZone' | 'repeatability' | 'routeId' | 'bodyBytes'
>;

export type LedgerParts = {
	readonly options: DispatcherOptions;
	readonly clock: Pick<ports.Clock, 'monotonicMs'>;
	readonly failureRatio: UsualFailureRatio;
	readonly durations: UsualDurations;
	readonly phases: GrayPhaseEstimator;
	readonly notices: TargetNotices;
	readonly zones: Pick<GroupZones, 'savingFor'>;
	/** Repeatability of the calls that the group can use for trials. */
	readonly readTrialRepeatability: () => domain.Repeatability;
};

/** Open grants of one incarnation of a target and the evidence from its results, as kept by the dispatcher of its group. */
export type TargetLedger = {
	target(): domain.RegisteredTarget;
	/** Replaces the target's record by a newer one of the same incarnation. */
	update(target: domain.RegisteredTarget): void;
	openCount(): number;
	/** Number of calls that the target may run concurrently. */
	slotCount(): number;
	standingFor(nodeId: string): GrantStanding;
	/** Relative cost of one more call; the lowest is the best choice. */
	costFor(requester: GrantRequester): number;
	/** Monotonic time of the last fault, in ms; 0 if there was none. */
	lastFaultAtMs(): number;
	/** Time for which the target still wants no calls, in ms. */
	pauseLeftMs(): number;
	/**
	 * Earliest time on the monotonic clock at which its standing, or whether it has a free slot or counts as unused, may change
	 * without a grant, a report or a notice; infinite if there is none.
	 */
	nextChangeAtMs(): number;
	/** Whether the target has had no grant for `UNUSED_AFTER_MS` and has none open. */
	isUnused(): boolean;
	/** Time since the last success or fault of the target, in ms; undefined before the first. */
	verdictAgeMs(): number | undefined;
	/** Monotonic time at which the target was found gray, in ms; undefined if it was not, or has passed a trial since. */
	graySinceMs(): number | undefined;
	open(
		grantId: string,
		request: Pick<ports.AcquireGrantRequest, 'nodeId' | 'routeId' | 'repeatability'>,
		terms: GrantTerms,
	): void;
	/** Records an attempt's result. */
	close(report: AttemptReport): {readonly isSetAside: boolean; readonly isForFloor: boolean};
};

export const createTargetLedger = (initialTarget: domain.RegisteredTarget, parts: LedgerParts): TargetLedger => {
	const {options, clock, failureRatio, durations, phases} = parts;
	const priorLogOdds = Math.log(options.grayPrior / (1 - options.grayPrior));
	const openGrants = createOpenGrants(clock);
	const pathLostUntilMs = new Map<string, number>();
	const lastUseByNode = new Map<string, number>();
	const createdAtMs = clock.monotonicMs();
	let target = initialTarget;
	/** Evidence against the target, in log odds above the prior. */
	let evidence = 0;
	let evidenceAtMs = createdAtMs;
	let setAsidePeriod: SetAsidePeriod | undefined;
	let lastFaultAtMs = 0;
	let lastGrantAtMs = createdAtMs;
	let lastSuccessAtMs: number | undefined;
	/** Moving average of the calls' durations relative to the mean durations of their routes. */
	let slowness = 1;
	let restingUntilMs = 0;

	const readEvidence = (): number => {
		const nowMs = clock.monotonicMs();
		evidence *= 0.5 ** ((nowMs - evidenceAtMs) / EVIDENCE_HALF_LIFE_MS);
		evidenceAtMs = nowMs;
		return evidence;
	};

	const slotCount = (): number => target.slotCount;

	/**
	 * Sets the target aside; true if a new set-aside period starts. A failure within a period belongs to an earlier grant and
	 * does not extend the period.
	 */
	const setAside = (): boolean => {
		const nowMs = clock.monotonicMs();
		evidence = 0;
		if (setAsidePeriod !== undefined && nowMs < setAsidePeriod.untilMs) {
			return false;
		}

		const failedTrialCount = setAsidePeriod === undefined ? 0 : setAsidePeriod.failedTrialCount + 1;
		setAsidePeriod = {
			sinceMs: setAsidePeriod?.sinceMs ?? nowMs,
			untilMs: nowMs + phases.setAsideMs(parts.readTrialRepeatability(), failedTrialCount),
			failedTrialCount,
			trialSuccessCount: 0,
		};
		return true;
	};

	/** Counts a success of a target on trial, and ends the trial after enough of them. */
	const advanceTrial = (isRepeatable: boolean): void => {
		const nowMs = clock.monotonicMs();
		if (setAsidePeriod === undefined || nowMs < setAsidePeriod.untilMs) {
			return;
		}

		// A trial with a call that must not be repeated is costly, since its failure reaches the caller: one success is enough.
		setAsidePeriod.trialSuccessCount += isRepeatable ? 1 : options.trialSuccessCount;
		if (setAsidePeriod.trialSuccessCount >= options.trialSuccessCount) {
			phases.recordPhase(nowMs - setAsidePeriod.sinceMs);
			setAsidePeriod = undefined;
		}
	};

	/** Adds evidence of a fault; true if the target is set aside because of it. */
	const addEvidence = (amount: number): boolean => {
		lastFaultAtMs = clock.monotonicMs();
		evidence = readEvidence() + amount;
		const isOnTrial = setAsidePeriod !== undefined && lastFaultAtMs >= setAsidePeriod.untilMs;
		if (isOnTrial || priorLogOdds + evidence > 0) {
			return setAside();
		}

		return false;
	};

	const recordLostPath = ({nodeId}: AttemptReport): boolean => {
		pathLostUntilMs.set(nodeId, clock.monotonicMs() + options.pathAbsenceMs);
		return addEvidence(LOST_PATH_EVIDENCE);
	};

	/** Calls with a short deadline time out at sound targets too, so only a long wait for an answer counts as evidence. */
	const recordTimeout = (report: AttemptReport): boolean => {
		const usualMs = durations.ofRoute(report.routeId) ?? DEFAULT_DURATION_MS;
		return report.durationMs >= usualMs * TIMEOUT_EVIDENCE_FACTOR && recordLostPath(report);
	};

	/**
	 * Records the result of a call that a gray target got to meet the floor. Such calls are frequent and some succeed, so they
	 * do not count as trials: they neither end the set-aside period nor extend it.
	 */
	const recordFloorCall = ({result, nodeId}: AttemptReport): void => {
		if (result === ports.GrantResult.Success) {
			lastSuccessAtMs = clock.monotonicMs();
			pathLostUntilMs.delete(nodeId);
		} else if (FAULT_RESULTS.has(result)) {
			lastFaultAtMs = clock.monotonicMs();
		}
	};

	/** Handler of each result. Returns true if the target is set aside because of the result. */
	const resultHandlers: Record<ports.GrantResult, (report: AttemptReport, isRepeatable: boolean) => boolean> = {
		[ports.GrantResult.Success]({nodeId, routeId, durationMs}, isRepeatable) {
			advanceTrial(isRepeatable);
			evidence = Math.max(0, readEvidence() + Math.log((1 - options.grayFailureRatio) / (1 - failureRatio.read())));
			lastSuccessAtMs = clock.monotonicMs();
			const usualMs = durations.ofRoute(routeId);
			slowness = usualMs ? updateMovingAverage(slowness, durationMs / usualMs, SLOWNESS_WINDOW_COUNT) : slowness;
			pathLostUntilMs.delete(nodeId);
			failureRatio.recordSuccess();
			durations.record(routeId, durationMs);
			return false;
		},
		[ports.GrantResult.Failure]() {
			const amount = Math.log(options.grayFailureRatio / failureRatio.read());
			if (setAsidePeriod === undefined) {
				failureRatio.recordFailure();
			}

			return addEvidence(amount);
		},
		[ports.GrantResult.Shed]() {
			// Grants never exceed a target's slots, so a refusal says little about its capacity. It is not counted as a fault and
			// only pauses the target.
			restingUntilMs = clock.monotonicMs() + options.shedPauseMs;
			return false;
		},
		[ports.GrantResult.Replaced]: setAside,
		[ports.GrantResult.Unreachable]: recordLostPath,
		[ports.GrantResult.Broken]: recordLostPath,
		[ports.GrantResult.TimedOut]: recordTimeout,
		[ports.GrantResult.Cancelled]: () => false,
	};

	return {
		target: () => target,
		update(newer) {
			target = newer;
		},
		openCount: openGrants.count,
		slotCount,
		standingFor(nodeId) {
			if (parts.notices.pauseLeftMs(target) > 0) {
				return GrantStanding.Paused;
			}

			const nowMs = clock.monotonicMs();
			if ((pathLostUntilMs.get(nodeId) ?? 0) > nowMs) {
				return GrantStanding.PathLost;
			}

			if (setAsidePeriod !== undefined) {
				if (nowMs < setAsidePeriod.untilMs) {
					return GrantStanding.SetAside;
				}

				if (nowMs < setAsidePeriod.untilMs + options.trialLimitMs) {
					return GrantStanding.OnTrial;
				}
			}

			return nowMs < restingUntilMs ? GrantStanding.Resting : GrantStanding.Sound;
		},
		costFor(requester) {
			const {nodeId, repeatability, routeId} = requester;
			const nowMs = clock.monotonicMs();
			const overdueCount = openGrants
				.list()
				.filter(grant => isOverdue(nowMs - grant.grantedAtMs, durations.ofRoute(grant.routeId))).length;
			const openCount = openGrants.count();
			return computeTargetCost({
				repeatability,
				occupancy: (openCount + 1) / slotCount(),
				openCount,
				overdueCount,
				slowness,
				evidence: readEvidence(),
				isWarmingUp: nowMs - createdAtMs < target.warmUpLeftMs,
				zoneSaving: parts.zones.savingFor(requester, target, durations.ofRoute(routeId) ?? DEFAULT_DURATION_MS),
				sinceUseMs: nowMs - (lastUseByNode.get(nodeId) ?? Number.NEGATIVE_INFINITY),
				sinceSuccessMs: lastSuccessAtMs === undefined ? undefined : nowMs - lastSuccessAtMs,
			});
		},
		lastFaultAtMs: () => lastFaultAtMs,
		pauseLeftMs: () => parts.notices.pauseLeftMs(target),
		nextChangeAtMs() {
			const nowMs = clock.monotonicMs();
			const trialStartMs = setAsidePeriod?.untilMs ?? 0;
			const timesMs = [
				trialStartMs,
				trialStartMs + options.trialLimitMs,
				restingUntilMs,
				nowMs + parts.notices.pauseLeftMs(target),
				openGrants.firstExpiryMs(),
				lastGrantAtMs + UNUSED_AFTER_MS,
			];
			return Math.min(...timesMs.filter(timeMs => timeMs > nowMs));
		},
		isUnused: () => clock.monotonicMs() - lastGrantAtMs >= UNUSED_AFTER_MS && openGrants.count() === 0,
		verdictAgeMs() {
			const lastAtMs = Math.max(lastFaultAtMs, lastSuccessAtMs ?? 0);
			return lastAtMs === 0 ? undefined : clock.monotonicMs() - lastAtMs;
		},
		graySinceMs: () => setAsidePeriod?.sinceMs,
		open(grantId, {nodeId, routeId, repeatability}, {ttlMs, isForFloor}) {
			const nowMs = clock.monotonicMs();
			openGrants.open(grantId, {routeId, repeatability, isForFloor, grantedAtMs: nowMs, expiresAtMs: nowMs + ttlMs});
			lastUseByNode.set(nodeId, nowMs);
			lastGrantAtMs = nowMs;
		},
		close(report) {
			lastUseByNode.set(report.nodeId, clock.monotonicMs());
			const grant = openGrants.close(report.grantId);
			const isForFloor = grant?.isForFloor ?? false;
			if (isForFloor && setAsidePeriod !== undefined) {
				recordFloorCall(report);
				return {isSetAside: false, isForFloor};
			}

			const isRepeatable = grant?.repeatability !== domain.Repeatability.Single;
			return {isSetAside: resultHandlers[report.result](report, isRepeatable), isForFloor};
		},
	};
};
