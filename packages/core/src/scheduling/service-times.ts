import * as domain from '@bilberrydoor/domain';

/** Service times by class of work, from recent attempts. */
export type ServiceTimes = {
	/** Mean time for which a call occupies its slot, in ms; 0 without samples. */
	meanSlotTimeMs(workClass: domain.WorkClass): number;
	/** Time within which most calls receive the head of their answer, in ms; 0 without samples. */
	typicalLatencyMs(workClass: domain.WorkClass): number;
	/** Mean latency of a target divided by that of all targets in the class; 1 without enough samples. */
	latencyRatio(targetId: string, workClass: domain.WorkClass): number;
	recordLatency(targetId: string, workClass: domain.WorkClass, latencyMs: number): void;
	recordSlotTime(workClass: domain.WorkClass, slotTimeMs: number): void;
	/** Drops the means of targets that are not in the set. */
	retainTargets(targetIds: ReadonlySet<string>): void;
};

type RunningMean = {valueMs: number; deviationMs: number; sampleCount: number};

/** Weight of a new sample in the means of a group. */
const GROUP_GAIN = 0.02;
/** Weight of a new sample in the means of a target, which has fewer samples and has to reflect congestion sooner. */
const TARGET_GAIN = 0.2;
/** Samples of a target before its latency ratio is used, so that one slow call is not taken for congestion. */
const MIN_TARGET_SAMPLE_COUNT = 5;
/** Number of mean absolute deviations above the mean within which most calls are. */
const TYPICAL_DEVIATION_COUNT = 2;

const addSample = (mean: RunningMean, sampleMs: number, gain: number): void => {
	mean.sampleCount++;
	const effectiveGain = Math.max(gain, 1 / mean.sampleCount);
	mean.deviationMs +=
		(Math.abs(sampleMs - mean.valueMs) - mean.deviationMs) * (mean.sampleCount === 1 ? 0 : effectiveGain);
	mean.valueMs += (sampleMs - mean.valueMs) * effectiveGain;
};

const createMean = (): RunningMean => ({valueMs: 0, deviationMs: 0, sampleCount: 0});

const createMeans = (): Record<domain.WorkClass, RunningMean> => ({
	[domain.WorkClass.Short]: createMean(),
	[domain.WorkClass.Long]: createMean(),
	[domain.WorkClass.Bulk]: createMean(),
});

export const createServiceTimes = (): ServiceTimes => {
	const latencyMeans = createMeans();
	const slotTimeMeans = createMeans();
	const latencyMeansByTarget = new Map<string, Record<domain.WorkClass, RunningMean>>();
	return {
		meanSlotTimeMs: workClass => slotTimeMeans[workClass].valueMs,
		typicalLatencyMs: workClass =>
			latencyMeans[workClass].valueMs + TYPICAL_DEVIATION_COUNT * latencyMeans[workClass].deviationMs,
		latencyRatio(targetId, workClass) {
			const mean = latencyMeansByTarget.get(targetId)?.[workClass];
			const groupMs = latencyMeans[workClass].valueMs;
			return !mean || mean.sampleCount < MIN_TARGET_SAMPLE_COUNT || groupMs === 0 ? 1 : mean.valueMs / groupMs;
		},
		recordLatency(targetId, workClass, latencyMs) {
			addSample(latencyMeans[workClass], latencyMs, GROUP_GAIN);
			const means = latencyMeansByTarget.get(targetId) ?? createMeans();
			latencyMeansByTarget.set(targetId, means);
			addSample(means[workClass], latencyMs, TARGET_GAIN);
		},
		recordSlotTime(workClass, slotTimeMs) {
			addSample(slotTimeMeans[workClass], slotTimeMs, GROUP_GAIN);
		},
		retainTargets(targetIds) {
			[...latencyMeansByTarget.keys()]
				.filter(targetId => !targetIds.has(targetId))
				.forEach(targetId => {
					latencyMeansByTarget.delete(targetId);
				});
		},
	};
};
