import * as domain from '@bilberrydoor/domain';
import type {HealthOptions} from './health-options.js';
import type {TargetRecord} from './target-record.js';

/** What the rest of the group says about one target's sickness. */
export enum GroupComparison {
	/** The other targets do well: the fault is the target's own. */
	OwnFault = 'own-fault',
	/** Too few results of other targets since the suspicion began. */
	NotEnoughResults = 'not-enough-results',
	/** The others got worse as well: the cause is not in this target. */
	MovedTogether = 'moved-together',
	/** Some others look unhealthy too, so this node or its path may be the cause; a peer is to be asked. */
	SeveralAtOnce = 'several-at-once',
}

/** Share of bad results among the other targets from which the group is taken to have moved together. */
const MOVED_TOGETHER_BAD_RATIO = 0.4;

const looksUnhealthy = (record: TargetRecord, nowMs: number, options: HealthOptions): boolean =>
	record.state === domain.TargetState.Suspect ||
	(record.state === domain.TargetState.Ejected && nowMs - record.ejectedAtMs <= options.commonCauseMs);

const COUNTED_STATES: ReadonlySet<domain.TargetState> = new Set([
	domain.TargetState.Healthy,
	domain.TargetState.Suspect,
	domain.TargetState.Ejected,
]);

/**
 * Whether the unhealthy targets are most of one availability zone while the other zones are well, as when the path from
 * this node into that zone fails.
 */
export const isZoneApart = (
	records: readonly TargetRecord[],
	record: TargetRecord,
	nowMs: number,
	options: HealthOptions,
): boolean => {
	const zone = record.target.availabilityZone;
	const counted = records.filter(other => COUNTED_STATES.has(other.state));
	const isUnhealthy = (other: TargetRecord): boolean => looksUnhealthy(other, nowMs, options);
	const near = counted.filter(other => other.target.availabilityZone === zone);
	const far = counted.filter(other => other.target.availabilityZone !== zone);
	return (
		near.filter(isUnhealthy).length >= Math.max(2, near.length * options.commonCauseRatio) &&
		far.filter(isUnhealthy).length <= far.length * (1 - options.commonCauseRatio)
	);
};

/** Compares a suspect with the other targets of its group since the suspicion began. */
export const compareWithGroup = (
	records: readonly TargetRecord[],
	record: TargetRecord,
	nowMs: number,
	options: HealthOptions,
): GroupComparison => {
	const others = records.filter(other => other !== record);
	const goodCount = others.reduce((sum, other) => sum + other.counts.goodCount, 0) - record.othersAtSuspicion.goodCount;
	const badCount = others.reduce((sum, other) => sum + other.counts.badCount, 0) - record.othersAtSuspicion.badCount;
	if (badCount > MOVED_TOGETHER_BAD_RATIO * (goodCount + badCount) && badCount >= options.contrastCount) {
		return GroupComparison.MovedTogether;
	}

	if (goodCount < options.contrastCount) {
		return GroupComparison.NotEnoughResults;
	}

	const counted = records.filter(other => COUNTED_STATES.has(other.state));
	const unhealthyCount = counted.filter(other => looksUnhealthy(other, nowMs, options)).length;
	if (unhealthyCount >= counted.length * options.commonCauseRatio) {
		return GroupComparison.MovedTogether;
	}

	return unhealthyCount > 1 ? GroupComparison.SeveralAtOnce : GroupComparison.OwnFault;
};
