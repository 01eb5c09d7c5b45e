import * as domain from '@bilberrydoor/domain';
import {HealthSign} from './attempt-result.js';
import type {HealthOptions} from './health-options.js';
import {createSequentialTest, type SequentialTest} from './sequential-test.js';
import type {TargetStanding} from './standing.js';

/** Results of a set of targets, counted from an arbitrary start. */
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

/** Everything that a group's scheduling node knows about one target. */
export type TargetRecord = {
	target: domain.TargetEntry;
	state: domain.TargetState;
	reason: string;
	sinceMs: number;
	readonly test: SequentialTest;
	/** Exponentially weighted share of bad results. */
	badRatio: number;
	readonly counts: ResultCounts;
	/** Exponentially weighted share of results by which the target shed load, as of `lastShedAtMs`. */
	shedRatio: number;
	lastShedAtMs: number;
	lastResultAtMs: number;
	/** The sign that was seen last against the target. */
	lastBadSign: HealthSign;
	/** Results of the other targets when the suspicion began. */
	othersAtSuspicion: ResultCounts;
	ramp: SlotRamp | undefined;
	/** Ejections that still lengthen the next one. */
	flapCount: number;
	ejectedAtMs: number;
	ejectedUntilMs: number;
	/** How unhealthy the target was at its ejection, to choose which one returns first. */
	severity: number;
	lastLeavingSignAtMs: number;
	/** True while the entry is the only sign that the target leaves. */
	isDrainedByEntryOnly: boolean;
	/** Standing as it was last described; see `readStanding`. */
	describedStanding: {readonly atMs: number; readonly standing: TargetStanding} | undefined;
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
	test: createSequentialTest(options),
	badRatio: 0,
	counts: {goodCount: 0, badCount: 0},
	shedRatio: 0,
	lastShedAtMs: nowMs,
	lastResultAtMs: nowMs,
	lastBadSign: HealthSign.Errors,
	othersAtSuspicion: {goodCount: 0, badCount: 0},
	ramp: undefined,
	describedStanding: undefined,
	flapCount: 0,
	ejectedAtMs: -Infinity,
	ejectedUntilMs: -Infinity,
	severity: 0,
	lastLeavingSignAtMs: -Infinity,
	isDrainedByEntryOnly: false,
	probe: undefined,
});

/** Ejections that still count after the time since the last one. */
export const decayFlapCount = (record: TargetRecord, nowMs: number, options: HealthOptions): number =>
	Math.max(0, record.flapCount - Math.floor((nowMs - record.ejectedAtMs) / options.flapDecayMs));

/** Marks an ejection: its time doubles with each ejection that still counts. */
export const lengthenEjection = (record: TargetRecord, nowMs: number, options: HealthOptions): void => {
	const flapCount = record.flapCount === 0 ? 0 : decayFlapCount(record, nowMs, options);
	record.flapCount = flapCount + 1;
	record.severity = record.test.evidence() + flapCount * options.evidenceLimit;
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

/** Weight of one result in a target's share of shed results. */
const SHED_RATIO_STEP = 0.3;
/** Time in which the memory of shedding halves, in ms. Back-pressure passes within seconds. */
const SHED_HALF_LIFE_MS = 2000;

/** Share of recent results by which the target shed load, 0 to 1. */
export const readShedRatio = (record: TargetRecord, nowMs: number): number =>
	record.shedRatio === 0 ? 0 : record.shedRatio * 0.5 ** ((nowMs - record.lastShedAtMs) / SHED_HALF_LIFE_MS);

/** Takes note of one answered attempt. */
export const noteShedding = (record: TargetRecord, isShed: boolean, nowMs: number): void => {
	const ratio = readShedRatio(record, nowMs);
	record.shedRatio = ratio + SHED_RATIO_STEP * (Number(isShed) - ratio);
	record.lastShedAtMs = nowMs;
};
