import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {moveMean} from '../shared/move-mean.js';
import type {DispatcherOptions} from './dispatcher-options.js';
import type {GrayPhases} from './gray-phases.js';
import {computeTargetCost, isOverdue} from './target-cost.js';
import type {UsualDurations} from './usual-durations.js';
import type {UsualFailureRatio} from './usual-failure-ratio.js';

/** Where a target stands for new work. */
export enum GrantStanding {
	Sound = 'sound',
	/** Its absence is over, and no call has succeeded since. */
	OnTrial = 'on-trial',
	/** It was found gray and gets work only when nothing else is left. */
	SetAside = 'set-aside',
	/** It refused work for lack of room a moment ago. */
	Resting = 'resting',
	/** The asking node could not reach it a moment ago. */
	PathLost = 'path-lost',
}

/** Half of the evidence against a target is forgotten in this time. */
const EVIDENCE_HALF_LIFE_MS = 5000;

/** Evidence of a lost path: two nodes that fail within seconds make the target suspect, one does not. */
const PATH_EVIDENCE = 2;

/** A target's relative slowness follows this many calls. */
const DURATION_WINDOW_COUNT = 6;

/** A silence of this many times the usual duration is evidence against a target. */
const TELLING_SILENCE_FACTOR = 3;

/** Duration assumed for a route without a success, in ms. */
const UNKNOWN_DURATION_MS = 300;

/** Results that speak against a target. */
const FAULT_RESULTS: ReadonlySet<ports.GrantResult> = new Set([
	ports.GrantResult.Failure,
	ports.GrantResult.Unreachable,
	ports.GrantResult.Broken,
	ports.GrantResult.Silent,
]);

type OpenGrant = Pick<ports.AcquireGrantRequest, 'routeId' | 'repeatability'> & {
	readonly isForFloor: boolean;
	readonly grantedAtMs: number;
	readonly expiresAtMs: number;
};

type Absence = {
	/** When the target was first found gray. */
	readonly sinceMs: number;
	readonly untilMs: number;
	readonly failedReturnCount: number;
	/** Successes in a row since the absence ended. */
	trialSuccessCount: number;
};

export type GrantTerms = {
	/** Time after which the grant is forgotten, in ms. */
	readonly ttlMs: number;
	/** Whether the target got the call only because too many targets were unused. */
	readonly isForFloor: boolean;
};

/** What an attempt's end tells about its target. */
export type AttemptEnd = Pick<ports.ReportResultRequest, 'grantId' | 'nodeId' | 'routeId' | 'result' | 'durationMs'>;

/** Node that asks for a target. */
export type Asker = Pick<ports.AcquireGrantRequest, 'nodeId' | 'availabilityZone' | 'repeatability'>;

export type LedgerParts = {
	readonly options: DispatcherOptions;
	readonly clock: ports.Clock;
	readonly failureRatio: UsualFailureRatio;
	readonly durations: UsualDurations;
	readonly phases: GrayPhases;
	/** Work that the group has for trying a return. */
	readonly readTrialWork: () => domain.Repeatability;
};

/** What a dispatcher knows of one incarnation of a target. */
export type TargetLedger = {
	target(): domain.RegisteredTarget;
	/** Takes over a newer record of the same incarnation. */
	update(target: domain.RegisteredTarget): void;
	openCount(): number;
	/** Calls that the target may be given at once. */
	slotCount(): number;
	standingFor(nodeId: string): GrantStanding;
	/** Relative cost of one more call; the lowest is the best choice. */
	costFor(asker: Asker): number;
	/** Monotonic time of the last sign of a fault, in ms; 0 when there was none. */
	lastFaultAtMs(): number;
	/** Time since the target was last granted, or has been known, in ms. */
	sinceGrantMs(): number;
	/** Time since the last result that tells of the target, in ms; undefined before the first. */
	verdictAgeMs(): number | undefined;
	/** Monotonic time at which the target was found gray, in ms; undefined when it is not, or has returned since. */
	graySinceMs(): number | undefined;
	open(
		grantId: string,
		request: Pick<ports.AcquireGrantRequest, 'nodeId' | 'routeId' | 'repeatability'>,
		terms: GrantTerms,
	): void;
	/** Records an attempt's result. */
	close(end: AttemptEnd): {readonly isSetAside: boolean; readonly isForFloor: boolean};
};

export const createTargetLedger = (first: domain.RegisteredTarget, parts: LedgerParts): TargetLedger => {
	const {options, clock, failureRatio, durations, phases} = parts;
	const priorOdds = Math.log(options.grayPrior / (1 - options.grayPrior));
	const openGrants = new Map<string, OpenGrant>();
	const lostPaths = new Map<string, number>();
	const lastUseByNode = new Map<string, number>();
	const knownSinceMs = clock.monotonicMs();
	let target = first;
	/** Evidence against the target, in log odds above the prior. */
	let evidence = 0;
	let evidenceAtMs = knownSinceMs;
	let absence: Absence | undefined;
	let lastFaultAtMs = 0;
	let lastGrantAtMs = knownSinceMs;
	let lastSuccessAtMs: number | undefined;
	/** Mean of the calls' durations relative to their routes' usual ones. */
	let slowness = 1;
	let restingUntilMs = 0;

	const readEvidence = (): number => {
		const nowMs = clock.monotonicMs();
		evidence *= 0.5 ** ((nowMs - evidenceAtMs) / EVIDENCE_HALF_LIFE_MS);
		evidenceAtMs = nowMs;
		return evidence;
	};

	const forgetExpired = (): void => {
		const nowMs = clock.monotonicMs();
		[...openGrants]
			.filter(([, grant]) => grant.expiresAtMs <= nowMs)
			.forEach(([grantId]) => {
				openGrants.delete(grantId);
			});
	};

	const slotCount = (): number => target.slotCount;

	/** Sets the target aside. A failure during an absence comes from an earlier grant and changes nothing. */
	const setAside = (): boolean => {
		const nowMs = clock.monotonicMs();
		evidence = 0;
		if (absence !== undefined && nowMs < absence.untilMs) {
			return false;
		}

		const failedReturnCount = absence === undefined ? 0 : absence.failedReturnCount + 1;
		absence = {
			sinceMs: absence?.sinceMs ?? nowMs,
			untilMs: nowMs + phases.absenceMs(parts.readTrialWork(), failedReturnCount),
			failedReturnCount,
			trialSuccessCount: 0,
		};
		return true;
	};

	/** Counts a success towards the end of a trial. */
	const advanceTrial = (isRepeatable: boolean): void => {
		const nowMs = clock.monotonicMs();
		if (absence === undefined || nowMs < absence.untilMs) {
			return;
		}

		// A trial with work that may not be repeated is dear, so its success counts for all.
		absence.trialSuccessCount += isRepeatable ? 1 : options.trialSuccessCount;
		if (absence.trialSuccessCount >= options.trialSuccessCount) {
			phases.recordPhase(nowMs - absence.sinceMs);
			absence = undefined;
		}
	};

	const addEvidence = (amount: number): boolean => {
		lastFaultAtMs = clock.monotonicMs();
		evidence = readEvidence() + amount;
		const isOnTrial = absence !== undefined && lastFaultAtMs >= absence.untilMs;
		if (isOnTrial || priorOdds + evidence > 0) {
			return setAside();
		}

		return false;
	};

	const losePath = ({nodeId}: AttemptEnd): boolean => {
		lostPaths.set(nodeId, clock.monotonicMs() + options.pathAbsenceMs);
		return addEvidence(PATH_EVIDENCE);
	};

	/** A short time limit passes at sound targets too, so only a long silence is evidence. */
	const noteSilence = (end: AttemptEnd): boolean => {
		const usualMs = durations.ofRoute(end.routeId) ?? UNKNOWN_DURATION_MS;
		return end.durationMs >= usualMs * TELLING_SILENCE_FACTOR && losePath(end);
	};

	/**
	 * A call that a gray target got for the floor is no trial: such calls come often, some succeed, and they neither end the
	 * absence nor lengthen it.
	 */
	const noteFloorCall = ({result, nodeId}: AttemptEnd): void => {
		if (result === ports.GrantResult.Success) {
			lastSuccessAtMs = clock.monotonicMs();
			lostPaths.delete(nodeId);
		} else if (FAULT_RESULTS.has(result)) {
			lastFaultAtMs = clock.monotonicMs();
		}
	};

	const resultHandlers: Record<ports.GrantResult, (end: AttemptEnd, isRepeatable: boolean) => boolean> = {
		[ports.GrantResult.Success]({nodeId, routeId, durationMs}, isRepeatable) {
			advanceTrial(isRepeatable);
			evidence = Math.max(0, readEvidence() + Math.log((1 - options.grayFailureRatio) / (1 - failureRatio.read())));
			lastSuccessAtMs = clock.monotonicMs();
			const usualMs = durations.ofRoute(routeId);
			slowness = usualMs ? moveMean(slowness, durationMs / usualMs, DURATION_WINDOW_COUNT) : slowness;
			lostPaths.delete(nodeId);
			failureRatio.recordSuccess();
			durations.record(routeId, durationMs);
			return false;
		},
		[ports.GrantResult.Failure]() {
			const amount = Math.log(options.grayFailureRatio / failureRatio.read());
			if (absence === undefined) {
				failureRatio.recordFailure();
			}

			return addEvidence(amount);
		},
		[ports.GrantResult.Shed]() {
			// Grants never exceed a target's slots, so a refusal says little about room: the target only rests.
			restingUntilMs = clock.monotonicMs() + options.shedPauseMs;
			return false;
		},
		[ports.GrantResult.Replaced]: setAside,
		[ports.GrantResult.Unreachable]: losePath,
		[ports.GrantResult.Broken]: losePath,
		[ports.GrantResult.Silent]: noteSilence,
		[ports.GrantResult.Cancelled]: () => false,
	};

	return {
		target: () => target,
		update(newer) {
			target = newer;
		},
		openCount() {
			forgetExpired();
			return openGrants.size;
		},
		slotCount,
		standingFor(nodeId) {
			const nowMs = clock.monotonicMs();
			if ((lostPaths.get(nodeId) ?? 0) > nowMs) {
				return GrantStanding.PathLost;
			}

			if (absence !== undefined) {
				if (nowMs < absence.untilMs) {
					return GrantStanding.SetAside;
				}

				if (nowMs < absence.untilMs + options.trialLimitMs) {
					return GrantStanding.OnTrial;
				}
			}

			return nowMs < restingUntilMs ? GrantStanding.Resting : GrantStanding.Sound;
		},
		costFor({nodeId, availabilityZone, repeatability}) {
			const nowMs = clock.monotonicMs();
			const overdueCount = [...openGrants.values()].filter(grant =>
				isOverdue(nowMs - grant.grantedAtMs, durations.ofRoute(grant.routeId)),
			).length;
			return computeTargetCost({
				repeatability,
				occupancy: (openGrants.size + 1) / slotCount(),
				openCount: openGrants.size,
				overdueCount,
				slowness,
				evidence: readEvidence(),
				isWarmingUp: nowMs - knownSinceMs < target.warmUpLeftMs,
				isSameZone: target.availabilityZone === availabilityZone,
				sinceUseMs: nowMs - (lastUseByNode.get(nodeId) ?? Number.NEGATIVE_INFINITY),
				sinceSuccessMs: lastSuccessAtMs === undefined ? undefined : nowMs - lastSuccessAtMs,
			});
		},
		lastFaultAtMs: () => lastFaultAtMs,
		sinceGrantMs: () => clock.monotonicMs() - lastGrantAtMs,
		verdictAgeMs() {
			const lastAtMs = Math.max(lastFaultAtMs, lastSuccessAtMs ?? 0);
			return lastAtMs === 0 ? undefined : clock.monotonicMs() - lastAtMs;
		},
		graySinceMs: () => absence?.sinceMs,
		open(grantId, {nodeId, routeId, repeatability}, {ttlMs, isForFloor}) {
			const nowMs = clock.monotonicMs();
			openGrants.set(grantId, {routeId, repeatability, isForFloor, grantedAtMs: nowMs, expiresAtMs: nowMs + ttlMs});
			lastUseByNode.set(nodeId, nowMs);
			lastGrantAtMs = nowMs;
		},
		close(end) {
			lastUseByNode.set(end.nodeId, clock.monotonicMs());
			const grant = openGrants.get(end.grantId);
			openGrants.delete(end.grantId);
			const isForFloor = grant?.isForFloor ?? false;
			if (isForFloor && absence !== undefined) {
				noteFloorCall(end);
				return {isSetAside: false, isForFloor};
			}

			const isRepeatable = grant?.repeatability !== domain.Repeatability.Single;
			return {isSetAside: resultHandlers[end.result](end, isRepeatable), isForFloor};
		},
	};
};
