import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {HealthSign} from './attempt-result.js';
import {compareWithGroup, GroupComparison, isConfinedToZone} from './common-cause.js';
import type {HealthOptions} from './health-options.js';
import {PathVerdict, type PathCheck} from './path-check.js';
import {TYPICAL_BAD_RATIO_MIN} from './sequential-test.js';
import type {TargetRecord} from './target-record.js';
import type {TargetRoster} from './target-roster.js';
import {HealthEvent} from './target-transitions.js';

/** Accumulates health signs as evidence and changes the states of targets by it. */
export type TargetEvaluator = {
	/** Adds one sign. Its cost does not grow with the number of targets unless a suspect is about to be ejected. */
	observe(record: TargetRecord, sign: HealthSign): void;
	/** Re-evaluates what depends on time: minimum times, idle suspects and the group's typical bad ratio. */
	refresh(): void;
};

type Dependencies = {
	readonly clock: ports.Clock;
	readonly logger: ports.Logger;
	readonly roster: TargetRoster;
	readonly options: HealthOptions;
	/** Absent when the node cannot request checks from peers. */
	readonly checkPath?: PathCheck;
	/** Signal that cancels running path checks. */
	readonly signal: () => AbortSignal;
	/** Called when the group as a whole has degraded, so that its former latencies are no valid baseline any more. */
	readonly onCommonCause: () => void;
};

/** Smoothing factor of a target's bad ratio (exponential moving average). */
const BAD_RATIO_SMOOTHING_FACTOR = 0.02;

const LIVE_STATES: ReadonlySet<domain.TargetState> = new Set([
	domain.TargetState.Healthy,
	domain.TargetState.Suspect,
	domain.TargetState.Cold,
]);

/** Bad ratio of the group's typical target: the lower median, so that one unhealthy target of two does not set it. */
const findTypicalBadRatio = (records: readonly TargetRecord[]): number => {
	const ratios = records
		.filter(record => LIVE_STATES.has(record.state))
		.map(record => record.badRatio)
		.toSorted((left, right) => left - right);
	return ratios[Math.floor((ratios.length - 1) / 2)] ?? TYPICAL_BAD_RATIO_MIN;
};

/** Creates the handlers for a suspect target whose evidence has reached the ejection threshold. */
const createSuspectHandlers = (dependencies: Dependencies, pathSuspicion: {untilMs: number}) => {
	const {clock, logger, roster, options} = dependencies;
	const checkedTargetIds = new Set<string>();

	/** Lowers the evidence to the threshold of suspicion, so that an ejection requires new evidence. */
	const lowerEvidenceToSuspicion = (record: TargetRecord, reason: string): void => {
		record.reason = reason;
		record.sequentialTest.reset(Math.min(record.sequentialTest.evidence(), options.suspectEvidence));
	};

	const eject = (record: TargetRecord): void => {
		if (!roster.ejectWithinFloor(record)) {
			record.reason = `${record.lastBadSign}, kept by the floor`;
		}
	};

	const VERDICT_HANDLERS: Readonly<Record<PathVerdict, (record: TargetRecord) => void>> = {
		[PathVerdict.TargetAtFault]: eject,
		[PathVerdict.PathAtFault](record) {
			logger.warn('target reached by a peer but not by this node; not ejected', {targetId: record.target.targetId});
			pathSuspicion.untilMs = clock.monotonicMs() + options.commonCauseMs;
			lowerEvidenceToSuspicion(record, 'path from this node');
		},
	};

	const checkThenEject = async (record: TargetRecord, checkPath: PathCheck): Promise<void> => {
		const {targetId} = record.target;
		if (checkedTargetIds.has(targetId)) {
			return;
		}

		checkedTargetIds.add(targetId);
		const verdict = await checkPath(record.target, dependencies.signal());
		checkedTargetIds.delete(targetId);
		// The target may have recovered, started draining or been removed during the check.
		const isStillDue =
			roster.find(targetId) === record &&
			record.state === domain.TargetState.Suspect &&
			record.sequentialTest.evidence() >= options.ejectEvidence;
		if (isStillDue) {
			VERDICT_HANDLERS[verdict](record);
		}
	};

	const handlers: Readonly<Record<GroupComparison, (record: TargetRecord) => void>> = {
		[GroupComparison.OwnFault]: eject,
		[GroupComparison.NotEnoughResults]() {
			// The suspect keeps its reduced weight until there are enough results of other targets to compare with.
		},
		[GroupComparison.CommonCause](record) {
			logger.warn('targets of the group degraded together; none is ejected', {targetId: record.target.targetId});
			dependencies.onCommonCause();
			roster
				.list()
				.filter(other => other.state === domain.TargetState.Suspect)
				.forEach(other => lowerEvidenceToSuspicion(other, 'group moved together'));
		},
		[GroupComparison.SeveralUnhealthy](record) {
			const nowMs = clock.monotonicMs();
			if (dependencies.checkPath && isConfinedToZone(roster.list(), record, nowMs, options)) {
				void checkThenEject(record, dependencies.checkPath);
			} else {
				eject(record);
			}
		},
	};
	return handlers;
};

export const createTargetEvaluator = (dependencies: Dependencies): TargetEvaluator => {
	const {clock, roster, options} = dependencies;
	const pathSuspicion = {untilMs: -Infinity};
	const suspectHandlers = createSuspectHandlers(dependencies, pathSuspicion);
	let typicalBadRatio = TYPICAL_BAD_RATIO_MIN;

	const ignore = (): void => undefined;

	/** Changes of state by evidence, for each state. */
	const evidenceHandlers: Readonly<Record<domain.TargetState, (record: TargetRecord) => void>> = {
		[domain.TargetState.Healthy](record) {
			if (record.sequentialTest.evidence() >= options.suspectEvidence) {
				roster.apply(record, HealthEvent.SuspicionRaised, record.lastBadSign);
			}
		},
		[domain.TargetState.Suspect](record) {
			const nowMs = clock.monotonicMs();
			const evidence = record.sequentialTest.evidence();
			if (evidence <= 0) {
				roster.apply(record, HealthEvent.Cleared, '');
			} else if (evidence >= options.ejectEvidence && nowMs - record.sinceMs >= options.minSuspectMs) {
				suspectHandlers[compareWithGroup(roster.list(), record, nowMs, options)](record);
			}
		},
		[domain.TargetState.Probation](record) {
			const evidence = record.sequentialTest.evidence();
			if (evidence <= 0) {
				roster.apply(record, HealthEvent.Cleared, '');
			} else if (evidence >= options.probationEjectEvidence) {
				roster.ejectWithinFloor(record);
			}
		},
		[domain.TargetState.Cold](record) {
			if (record.sequentialTest.evidence() >= options.ejectEvidence) {
				roster.ejectWithinFloor(record);
			}
		},
		[domain.TargetState.Ejected]: ignore,
		[domain.TargetState.Draining]: ignore,
	};

	/** Halves the evidence of a suspect without results, which would otherwise receive no work and stay suspect. */
	const decayIdleEvidence = (record: TargetRecord, nowMs: number): void => {
		const isIdle = nowMs - record.lastResultAtMs >= options.idleHalfLifeMs;
		if (record.state === domain.TargetState.Suspect && isIdle) {
			const evidence = record.sequentialTest.evidence() / 2;
			record.sequentialTest.reset(evidence < 1 ? 0 : evidence);
			record.lastResultAtMs = nowMs;
		}
	};

	return {
		observe(record, sign) {
			const isBad = sign !== HealthSign.Good;
			record.counts[isBad ? 'badCount' : 'goodCount']++;
			record.badRatio += BAD_RATIO_SMOOTHING_FACTOR * (Number(isBad) - record.badRatio);
			record.lastResultAtMs = clock.monotonicMs();
			record.lastBadSign = isBad ? sign : record.lastBadSign;
			record.sequentialTest.observe(isBad, typicalBadRatio);
			evidenceHandlers[record.state](record);
		},
		refresh() {
			const nowMs = clock.monotonicMs();
			typicalBadRatio = findTypicalBadRatio(roster.list());
			roster.list().forEach(record => {
				decayIdleEvidence(record, nowMs);
				evidenceHandlers[record.state](record);
			});
		},
	};
};
