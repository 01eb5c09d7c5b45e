import * as domain from '@bilberrydoor/domain';
import {HealthSign} from './attempt-result.js';
import type {HealthOptions} from './health-options.js';
import {createSequentialTest, type SequentialTest} from './sequential-test.js';
import type {TargetStanding} from './standing.js';

/** Result counts of one or more targets since an arbitrary start. */
export type ResultCounts = {
	goodCount: number;
	badCount: number;
};

/** Gradual opening of a target's slots. */
export type SlotRamp = {
	readonly startedAtMs: number;
	readonly startRatio: number;
	readonly durationMs: number;
};

/** Health state of one target on the group's scheduling node. */
export type TargetRecord = {
	target: domain.TargetEntry;
	state: domain.TargetState;
	reason: string;
	sinceMs: number;
	readonly sequentialTest: SequentialTest;
	/** Exponentially weighted share of bad results. */
	badRatio: number;
	readonly counts: ResultCounts;
	/** Exponentially weighted share of results by which the target shed load, as of `lastShedAtMs`. */
	shedRatio: number;
	lastShedAtMs: number;
	lastResultAtMs: number;
	/** The latest bad sign of the target. */
	lastBadSign: HealthSign;
	/** Result counts of the other targets when this one became suspect. */
	otherCountsAtSuspicion: ResultCounts;
	ramp: SlotRamp | undefined;
	/** Number of earlier ejections that lengthen the next one. */
	flapCount: number;
	ejectedAtMs: number;
	ejectedUntilMs: number;
	/** How unhealthy the target was at its ejection. When the floor needs capacity, the lowest severity returns first. */
	severity: number;
	lastLeavingSignAtMs: number;
	/** True while the entry's draining flag is the only sign that the target is leaving. */
	isDrainedByEntryOnly: boolean;
	/** Cached standing; see `readStanding`. */
	cachedStanding: {readonly atMs: number; readonly standing: TargetStanding} | undefined;
	/** Readiness by the last probe. Absent before the first. */
	probe: {readonly atMs: number; readonly isReady: boolean} | undefined;
};

/** Creates a healthy target's record. */
export const createTargetRecord = (
	target: domain.TargetEntry,
	nowMs: number,
	options: HealthOptions,
): TargetRecord => ({
	target,
	state: domain.TargetState.Healthy,
	reason: '',
	sinceMs: nowMs,
	sequentialTest: createSequentialTest(options),
	badRatio: 0,
	counts: {goodCount: 0, badCount: 0},
	shedRatio: 0,
	lastShedAtMs: nowMs,
	lastResultAtMs: nowMs,
	lastBadSign: HealthSign.Errors,
	otherCountsAtSuspicion: {goodCount: 0, badCount: 0},
	ramp: undefined,
	cachedStanding: undefined,
	flapCount: 0,
	ejectedAtMs: -Infinity,
	ejectedUntilMs: -Infinity,
	severity: 0,
	lastLeavingSignAtMs: -Infinity,
	isDrainedByEntryOnly: false,
	probe: undefined,
});

/** Number of ejections that still count, given the time since the last one. */
export const decayFlapCount = (record: TargetRecord, nowMs: number, options: HealthOptions): number =>
	Math.max(0, record.flapCount - Math.floor((nowMs - record.ejectedAtMs) / options.flapDecayMs));

/** Records an ejection. Its duration doubles with each earlier ejection that still counts. */
export const recordEjection = (record: TargetRecord, nowMs: number, options: HealthOptions): void => {
	const flapCount = record.flapCount === 0 ? 0 : decayFlapCount(record, nowMs, options);
	record.flapCount = flapCount + 1;
	record.severity = record.sequentialTest.evidence() + flapCount * options.evidenceLimit;
	record.ejectedAtMs = nowMs;
	record.ejectedUntilMs = nowMs + Math.min(options.ejectionLimitMs, options.ejectionMs * 2 ** flapCount);
};

/** Share of the slots that a ramp has opened, 0 to 1. */
export const computeRampRatio = (ramp: SlotRamp | undefined, nowMs: number): number => {
	if (!ramp) {
		return 1;
	}

	const progress = Math.min(1, (nowMs - ramp.startedAtMs) / ramp.durationMs);
	return ramp.startRatio + (1 - ramp.startRatio) * progress;
};

/** Smoothing factor of a target's share of shed results (exponential moving average). */
const SHED_RATIO_SMOOTHING_FACTOR = 0.3;
/** Half-life of the share of shed results, in ms. Back-pressure usually ends within seconds. */
const SHED_HALF_LIFE_MS = 2000;

/** Share of recent results by which the target shed load, 0 to 1. */
export const computeShedRatio = (record: TargetRecord, nowMs: number): number =>
	record.shedRatio === 0 ? 0 : record.shedRatio * 0.5 ** ((nowMs - record.lastShedAtMs) / SHED_HALF_LIFE_MS);

/** Updates the share of shed results by one attempt that was not cancelled. */
export const updateShedRatio = (record: TargetRecord, isShed: boolean, nowMs: number): void => {
	const ratio = computeShedRatio(record, nowMs);
	record.shedRatio = ratio + SHED_RATIO_SMOOTHING_FACTOR * (Number(isShed) - ratio);
	record.lastShedAtMs = nowMs;
};
