import * as domain from '@bilberrydoor/domain';
import type {HealthOptions} from './health-options.js';
import type {TargetStanding} from './standing.js';
import {computeRampRatio, computeShedRatio, type TargetRecord} from './target-record.js';

type Access = Pick<TargetStanding, 'openRatio' | 'weight' | 'isRepeatableOnly'>;

const CLOSED_ACCESS: Access = {openRatio: 0, weight: 0, isRepeatableOnly: false};

/** Rounds the share down to whole slots, at least one. */
const openWholeSlots = (slotCount: number, ratio: number): number =>
	Math.max(1, Math.floor(slotCount * ratio)) / slotCount;

/** Lowest weight of a target that sheds all its work. It still receives some, to detect when the shedding ends. */
const SHEDDING_WEIGHT_MIN = 0.05;

/**
 * Access of a target in use. A target that sheds load answers immediately and so always has free slots; without a
 * reduced weight it would receive more work than the others.
 */
const describeActiveTarget = (record: TargetRecord, nowMs: number): Access => ({
	openRatio: record.ramp ? openWholeSlots(record.target.slotCount, computeRampRatio(record.ramp, nowMs)) : 1,
	weight: Math.max(SHEDDING_WEIGHT_MIN, 1 - computeShedRatio(record, nowMs)),
	isRepeatableOnly: false,
});

/** Access that the scheduler has to a target, by the target's state. */
const ACCESS_BY_STATE: Readonly<
	Record<domain.TargetState, (record: TargetRecord, nowMs: number, options: HealthOptions) => Access>
> = {
	[domain.TargetState.Healthy]: describeActiveTarget,
	[domain.TargetState.Cold]: describeActiveTarget,
	[domain.TargetState.Suspect](record, nowMs, options) {
		const suspicion = Math.min(1, record.sequentialTest.evidence() / options.ejectEvidence);
		const access = describeActiveTarget(record, nowMs);
		return {...access, weight: access.weight * (1 - (1 - options.suspectWeightMin) * suspicion)};
	},
	[domain.TargetState.Probation]: ({target}, _nowMs, options) => ({
		openRatio: openWholeSlots(target.slotCount, 0),
		weight: options.probationWeight,
		isRepeatableOnly: true,
	}),
	[domain.TargetState.Ejected]: () => CLOSED_ACCESS,
	[domain.TargetState.Draining]: () => CLOSED_ACCESS,
};

const describeStanding = (record: TargetRecord, nowMs: number, options: HealthOptions): TargetStanding => ({
	state: record.state,
	reason: record.reason,
	sinceMs: record.sinceMs,
	...ACCESS_BY_STATE[record.state](record, nowMs, options),
});

/**
 * How long a cached standing is used, in ms. The scheduler reads the standing of every target several times for each
 * call, and computing it each time took a third of a scheduling decision. Weights and ramps change far more slowly.
 */
const STANDING_VALIDITY_MS = 5;

/** Returns the cached standing of a target, recomputed when its state has changed or the cached one has expired. */
export const readStanding = (record: TargetRecord, nowMs: number, options: HealthOptions): TargetStanding => {
	const latest = record.cachedStanding;
	if (
		latest?.standing.state === record.state &&
		latest.standing.sinceMs === record.sinceMs &&
		nowMs - latest.atMs < STANDING_VALIDITY_MS
	) {
		return latest.standing;
	}

	const standing = describeStanding(record, nowMs, options);
	record.cachedStanding = {atMs: nowMs, standing};
	return standing;
};

/** Standing of a target that the group does not contain. */
export const UNKNOWN_STANDING: TargetStanding = {
	state: domain.TargetState.Draining,
	reason: 'not in the entry',
	sinceMs: 0,
	...CLOSED_ACCESS,
};
