import * as domain from '@bilberrydoor/domain';

/** Service times of one class of work, from recent attempts. */
export type ServiceTimes = {
	/** Mean time that a call holds a slot, in ms; 0 without samples. */
	meanHoldMs(workClass: domain.WorkClass): number;
	/** Time to the answer's head that most calls need, in ms; 0 without samples. */
	typicalHeadMs(workClass: domain.WorkClass): number;
	/** Mean latency of a target over the mean of all targets in the class; 1 without samples. */
	latencyRatio(targetId: string, workClass: domain.WorkClass): number;
	recordHead(targetId: string, workClass: domain.WorkClass, latencyMs: number): void;
	recordHold(workClass: domain.WorkClass, holdMs: number): void;
	/** Forgets targets that are not in the list. */
	keepTargets(targetIds: ReadonlySet<string>): void;
};

type Mean = {valueMs: number; deviationMs: number; sampleCount: number};

/** Weight of a new sample in the means of a group. */
const GROUP_GAIN = 0.02;
/** Weight of a new sample in the means of a target, which has fewer samples and has to show congestion sooner. */
const TARGET_GAIN = 0.2;
/** Samples of a target before its ratio counts, so that one slow call is not taken for congestion. */
const TARGET_SAMPLE_COUNT = 5;
/** Mean absolute deviations above the mean that cover most calls. */
const TYPICAL_DEVIATION_COUNT = 2;

const addSample = (mean: Mean, sampleMs: number, gain: number): void => {
	mean.sampleCount++;
	const usedGain = Math.max(gain, 1 / mean.sampleCount);
	mean.deviationMs += (Math.abs(sampleMs - mean.valueMs) - mean.deviationMs) * (mean.sampleCount === 1 ? 0 : usedGain);
	mean.valueMs += (sampleMs - mean.valueMs) * usedGain;
};

const createMean = (): Mean => ({valueMs: 0, deviationMs: 0, sampleCount: 0});

const createMeans = (): Record<domain.WorkClass, Mean> => ({
	[domain.WorkClass.Short]: createMean(),
	[domain.WorkClass.Long]: createMean(),
	[domain.WorkClass.Bulk]: createMean(),
});

export const createServiceTimes = (): ServiceTimes => {
	const heads = createMeans();
	const holds = createMeans();
	const headsByTarget = new Map<string, Record<domain.WorkClass, Mean>>();
	return {
		meanHoldMs: workClass => holds[workClass].valueMs,
		typicalHeadMs: workClass => heads[workClass].valueMs + TYPICAL_DEVIATION_COUNT * heads[workClass].deviationMs,
		latencyRatio(targetId, workClass) {
			const mean = headsByTarget.get(targetId)?.[workClass];
			const groupMs = heads[workClass].valueMs;
			return !mean || mean.sampleCount < TARGET_SAMPLE_COUNT || groupMs === 0 ? 1 : mean.valueMs / groupMs;
		},
		recordHead(targetId, workClass, latencyMs) {
			addSample(heads[workClass], latencyMs, GROUP_GAIN);
			const means = headsByTarget.get(targetId) ?? createMeans();
			headsByTarget.set(targetId, means);
			addSample(means[workClass], latencyMs, TARGET_GAIN);
		},
		recordHold(workClass, holdMs) {
			addSample(holds[workClass], holdMs, GROUP_GAIN);
		},
		keepTargets(targetIds) {
			[...headsByTarget.keys()]
				.filter(targetId => !targetIds.has(targetId))
				.forEach(targetId => {
					headsByTarget.delete(targetId);
				});
		},
	};
};
