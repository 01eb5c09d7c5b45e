import * as domain from '@bilberrydoor/domain';
import type {HealthOptions} from './health-options.js';
import type {TargetRecord} from './target-record.js';

/** Result of comparing an unhealthy target with the other targets of its group. */
export enum GroupComparison {
	/** The other targets are healthy, so the fault is in this target. */
	OwnFault = 'own-fault',
	/** Too few results of other targets since the target became suspect. */
	NotEnoughResults = 'not-enough-results',
	/** The other targets degraded as well, so the cause is not in this target. */
	CommonCause = 'moved-together',
	/** Some other targets are unhealthy too, so this node or its path may be the cause. A peer may have to check. */
	SeveralUnhealthy = 'several-at-once',
}

/** Share of bad results among the other targets above which a common cause is assumed. */
const COMMON_CAUSE_BAD_RATIO = 0.4;

const isRecentlyUnhealthy = (record: TargetRecord, nowMs: number, options: HealthOptions): boolean =>
	record.state === domain.TargetState.Suspect ||
	(record.state === domain.TargetState.Ejected && nowMs - record.ejectedAtMs <= options.commonCauseMs);

/** States of the targets that the comparison includes. */
const COMPARED_STATES: ReadonlySet<domain.TargetState> = new Set([
	domain.TargetState.Healthy,
	domain.TargetState.Suspect,
	domain.TargetState.Ejected,
]);

/**
 * Whether most targets of the record's availability zone are unhealthy while those of the other zones are mostly
 * healthy, as when the network path from this node into that zone fails.
 */
export const isConfinedToZone = (
	records: readonly TargetRecord[],
	record: TargetRecord,
	nowMs: number,
	options: HealthOptions,
): boolean => {
	const zone = record.target.availabilityZone;
	const compared = records.filter(other => COMPARED_STATES.has(other.state));
	const isUnhealthy = (other: TargetRecord): boolean => isRecentlyUnhealthy(other, nowMs, options);
	const sameZone = compared.filter(other => other.target.availabilityZone === zone);
	const otherZones = compared.filter(other => other.target.availabilityZone !== zone);
	return (
		sameZone.filter(isUnhealthy).length >= Math.max(2, sameZone.length * options.commonCauseRatio) &&
		otherZones.filter(isUnhealthy).length <= otherZones.length * (1 - options.commonCauseRatio)
	);
};

/** Compares a suspect target with the results of the other targets of its group since it became suspect. */
export const compareWithGroup = (
	records: readonly TargetRecord[],
	record: TargetRecord,
	nowMs: number,
	options: HealthOptions,
): GroupComparison => {
	const others = records.filter(other => other !== record);
	const goodCount =
		others.reduce((sum, other) => sum + other.counts.goodCount, 0) - record.otherCountsAtSuspicion.goodCount;
	const badCount =
		others.reduce((sum, other) => sum + other.counts.badCount, 0) - record.otherCountsAtSuspicion.badCount;
	if (badCount > COMMON_CAUSE_BAD_RATIO * (goodCount + badCount) && badCount >= options.comparisonResultCount) {
		return GroupComparison.CommonCause;
	}

	if (goodCount < options.comparisonResultCount) {
		return GroupComparison.NotEnoughResults;
	}

	const compared = records.filter(other => COMPARED_STATES.has(other.state));
	const unhealthyCount = compared.filter(other => isRecentlyUnhealthy(other, nowMs, options)).length;
	if (unhealthyCount >= compared.length * options.commonCauseRatio) {
		return GroupComparison.CommonCause;
	}

	return unhealthyCount > 1 ? GroupComparison.SeveralUnhealthy : GroupComparison.OwnFault;
};
