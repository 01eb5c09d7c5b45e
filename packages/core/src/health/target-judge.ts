import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {HealthSign} from './attempt-result.js';
import {compareWithGroup, GroupComparison, isZoneApart} from './common-cause.js';
import type {HealthOptions} from './health-options.js';
import {PathVerdict, type PathCheck} from './path-check.js';
import {EXPECTED_BAD_RATIO_MIN} from './sequential-test.js';
import type {TargetRecord} from './target-record.js';
import type {TargetRoster} from './target-roster.js';
import {HealthEvent} from './target-transitions.js';

/** Turns signs into evidence and evidence into changes of state. */
export type TargetJudge = {
	/** Adds one sign. Its cost does not grow with the number of targets unless a suspect is about to be ejected. */
	observe(record: TargetRecord, sign: HealthSign): void;
	/** Judges again what depends on time: minimum times, idle suspects and the group's typical bad ratio. */
	refresh(): void;
};

type Dependencies = {
	readonly clock: ports.Clock;
	readonly logger: ports.Logger;
	readonly roster: TargetRoster;
	readonly options: HealthOptions;
	/** Absent when the node has no way to ask a peer. */
	readonly checkPath?: PathCheck;
	/** Ends running checks. */
	readonly signal: () => AbortSignal;
	/** Called when the whole group has moved together, so that its former latencies no longer compare. */
	readonly onMovedTogether: () => void;
};

/** Weight of one result in a target's bad ratio. */
const BAD_RATIO_STEP = 0.02;

const LIVE_STATES: ReadonlySet<domain.TargetState> = new Set([
	domain.TargetState.Healthy,
	domain.TargetState.Suspect,
	domain.TargetState.Cold,
]);

/** Bad ratio of the group's typical target: the lower median, so that one of two targets does not set it. */
const findTypicalBadRatio = (records: readonly TargetRecord[]): number => {
	const ratios = records
		.filter(record => LIVE_STATES.has(record.state))
		.map(record => record.badRatio)
		.toSorted((left, right) => left - right);
	return ratios[Math.floor((ratios.length - 1) / 2)] ?? EXPECTED_BAD_RATIO_MIN;
};

/** Decides what becomes of a suspect with enough evidence for an ejection. */
const createSuspectHandlers = (dependencies: Dependencies, pathSuspicion: {untilMs: number}) => {
	const {clock, logger, roster, options} = dependencies;
	const checkedTargetIds = new Set<string>();

	/** Takes the evidence back to suspicion, so that an ejection needs new evidence under the new circumstances. */
	const holdBack = (record: TargetRecord, reason: string): void => {
		record.reason = reason;
		record.test.reset(Math.min(record.test.evidence(), options.suspectEvidence));
	};

	const eject = (record: TargetRecord): void => {
		if (!roster.ejectWithinFloor(record)) {
			record.reason = `${record.lastBadSign}, kept by the floor`;
		}
	};

	const VERDICT_HANDLERS: Readonly<Record<PathVerdict, (record: TargetRecord) => void>> = {
		[PathVerdict.TargetAtFault]: eject,
		[PathVerdict.PathAtFault](record) {
			logger.warn('a peer reaches a target that this node does not', {targetId: record.target.targetId});
			pathSuspicion.untilMs = clock.monotonicMs() + options.commonCauseMs;
			holdBack(record, 'path from this node');
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
		// The target may have recovered, drained or gone during the check.
		const isStillDue =
			roster.find(targetId) === record &&
			record.state === domain.TargetState.Suspect &&
			record.test.evidence() >= options.ejectEvidence;
		if (isStillDue) {
			VERDICT_HANDLERS[verdict](record);
		}
	};

	const handlers: Readonly<Record<GroupComparison, (record: TargetRecord) => void>> = {
		[GroupComparison.OwnFault]: eject,
		[GroupComparison.NotEnoughResults]() {
			// The suspect keeps its low weight until other targets give something to compare with.
		},
		[GroupComparison.MovedTogether](record) {
			logger.warn('targets of the group got worse together; none is ejected', {targetId: record.target.targetId});
			dependencies.onMovedTogether();
			roster
				.list()
				.filter(other => other.state === domain.TargetState.Suspect)
				.forEach(other => holdBack(other, 'group moved together'));
		},
		[GroupComparison.SeveralAtOnce](record) {
			const nowMs = clock.monotonicMs();
			if (dependencies.checkPath && isZoneApart(roster.list(), record, nowMs, options)) {
				void checkThenEject(record, dependencies.checkPath);
			} else {
				eject(record);
			}
		},
	};
	return handlers;
};

export const createTargetJudge = (dependencies: Dependencies): TargetJudge => {
	const {clock, roster, options} = dependencies;
	const pathSuspicion = {untilMs: -Infinity};
	const suspectHandlers = createSuspectHandlers(dependencies, pathSuspicion);
	let expectedBadRatio = EXPECTED_BAD_RATIO_MIN;

	const ignore = (): void => undefined;

	/** What the evidence means, by state. */
	const judge: Readonly<Record<domain.TargetState, (record: TargetRecord) => void>> = {
		[domain.TargetState.Healthy](record) {
			if (record.test.evidence() >= options.suspectEvidence) {
				roster.apply(record, HealthEvent.SuspicionRaised, record.lastBadSign);
			}
		},
		[domain.TargetState.Suspect](record) {
			const nowMs = clock.monotonicMs();
			const evidence = record.test.evidence();
			if (evidence <= 0) {
				roster.apply(record, HealthEvent.Cleared, '');
			} else if (evidence >= options.ejectEvidence && nowMs - record.sinceMs >= options.minSuspectMs) {
				suspectHandlers[compareWithGroup(roster.list(), record, nowMs, options)](record);
			}
		},
		[domain.TargetState.Probation](record) {
			const evidence = record.test.evidence();
			if (evidence <= 0) {
				roster.apply(record, HealthEvent.Cleared, '');
			} else if (evidence >= options.probationEjectEvidence) {
				roster.ejectWithinFloor(record);
			}
		},
		[domain.TargetState.Cold](record) {
			if (record.test.evidence() >= options.ejectEvidence) {
				roster.ejectWithinFloor(record);
			}
		},
		[domain.TargetState.Ejected]: ignore,
		[domain.TargetState.Draining]: ignore,
	};

	/** A suspect without work would stay suspect for ever; its evidence fades, so that it gets work and is judged anew. */
	const fadeIdleSuspect = (record: TargetRecord, nowMs: number): void => {
		const isIdle = nowMs - record.lastResultAtMs >= options.idleHalfLifeMs;
		if (record.state === domain.TargetState.Suspect && isIdle) {
			const evidence = record.test.evidence() / 2;
			record.test.reset(evidence < 1 ? 0 : evidence);
			record.lastResultAtMs = nowMs;
		}
	};

	return {
		observe(record, sign) {
			const isBad = sign !== HealthSign.Good;
			record.counts[isBad ? 'badCount' : 'goodCount']++;
			record.badRatio += BAD_RATIO_STEP * (Number(isBad) - record.badRatio);
			record.lastResultAtMs = clock.monotonicMs();
			record.lastBadSign = isBad ? sign : record.lastBadSign;
			record.test.observe(isBad, expectedBadRatio);
			judge[record.state](record);
		},
		refresh() {
			const nowMs = clock.monotonicMs();
			expectedBadRatio = findTypicalBadRatio(roster.list());
			roster.list().forEach(record => {
				fadeIdleSuspect(record, nowMs);
				judge[record.state](record);
			});
		},
	};
};
