import * as domain from '@bilberrydoor/domain';
import type {HealthOptions} from './health-options.js';
import type {TargetStanding} from './standing.js';
import {computeRampRatio, readShedRatio, type TargetRecord} from './target-record.js';

type Access = Pick<TargetStanding, 'openRatio' | 'weight' | 'isRepeatableOnly'>;

const CLOSED: Access = {openRatio: 0, weight: 0, isRepeatableOnly: false};

/** Share that opens whole slots, at least one. */
const openWholeSlots = (slotCount: number, ratio: number): number =>
	Math.max(1, Math.floor(slotCount * ratio)) / slotCount;

/** Lowest preference of a target that sheds all its work. It keeps some work, which shows the end of the shedding. */
const SHEDDING_WEIGHT_MIN = 0.05;

/**
 * Access of a target in use. One that sheds load answers at once and so always looks idle; without a lower preference it
 * would draw more work than the others.
 */
const describeRamp = (record: TargetRecord, nowMs: number): Access => ({
	openRatio: record.ramp ? openWholeSlots(record.target.slotCount, computeRampRatio(record.ramp, nowMs)) : 1,
	weight: Math.max(SHEDDING_WEIGHT_MIN, 1 - readShedRatio(record, nowMs)),
	isRepeatableOnly: false,
});

/** What the scheduler may do with a target, by its state. */
const ACCESS: Readonly<
	Record<domain.TargetState, (record: TargetRecord, nowMs: number, options: HealthOptions) => Access>
> = {
	[domain.TargetState.Healthy]: describeRamp,
	[domain.TargetState.Cold]: describeRamp,
	[domain.TargetState.Suspect](record, nowMs, options) {
		const suspicion = Math.min(1, record.test.evidence() / options.ejectEvidence);
		const access = describeRamp(record, nowMs);
		return {...access, weight: access.weight * (1 - (1 - options.suspectWeightMin) * suspicion)};
	},
	[domain.TargetState.Probation]: ({target}, _nowMs, options) => ({
		openRatio: openWholeSlots(target.slotCount, 0),
		weight: options.probationWeight,
		isRepeatableOnly: true,
	}),
	[domain.TargetState.Ejected]: () => CLOSED,
	[domain.TargetState.Draining]: () => CLOSED,
};

const describeStanding = (record: TargetRecord, nowMs: number, options: HealthOptions): TargetStanding => ({
	state: record.state,
	reason: record.reason,
	sinceMs: record.sinceMs,
	...ACCESS[record.state](record, nowMs, options),
});

/**
 * How long a described standing is used, in ms. The scheduler asks for the standing of every target several times for
 * each call; describing it anew took a third of a scheduling decision. Weights and ramps move far more slowly.
 */
const STANDING_VALIDITY_MS = 5;

/** Standing of a target, described anew when its state has changed or some time has passed. */
export const readStanding = (record: TargetRecord, nowMs: number, options: HealthOptions): TargetStanding => {
	const described = record.describedStanding;
	if (
		described?.standing.state === record.state &&
		described.standing.sinceMs === record.sinceMs &&
		nowMs - described.atMs < STANDING_VALIDITY_MS
	) {
		return described.standing;
	}

	const standing = describeStanding(record, nowMs, options);
	record.describedStanding = {atMs: nowMs, standing};
	return standing;
};

/** Standing of a target that the group does not contain. */
export const UNKNOWN_STANDING: TargetStanding = {
	state: domain.TargetState.Draining,
	reason: 'not in the entry',
	sinceMs: 0,
	...CLOSED,
};
