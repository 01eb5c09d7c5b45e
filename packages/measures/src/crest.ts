import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import {SystemName, SYSTEM_BUILDERS} from './load/build-systems.js';
import {runLoad, type CallSample, type CallStream} from './load/run-load.js';
import {divideMaxMin, calculateJainIndex, calculateQuantile, roundFigure} from './load/statistics.js';
import {
	drawServiceTime,
	calculateCapacityPerSecond,
	SHORT_SERVICE_TIME_MS,
	USER_PROFILES,
	type UserProfile,
} from './load/user-profiles.js';
import type {Measure, MeasureOptions} from './measure.js';

type CrestFigures = {
	readonly goodputRatio: number;
	readonly shortP99Ms: number;
	readonly refusedRatio: number;
	readonly workspaceFairness: number;
};

/** Peak loads as multiples of the capacity, by the name in the result. */
const LOAD_FACTORS: Readonly<Record<string, number>> = {x1: 1, x3: 3, x10: 10};
const DEADLINE_MS = 1000;
/** Load before the surge, as a fraction of the capacity. */
const INITIAL_LOAD_RATIO = 0.3;
const INITIAL_LOAD_MS = 500;
/** Demand rises within seconds (section 1.1 of the design). */
const RAMP_UP_MS = 1000;
const PEAK_MS = 1000;
const PEAK_START_MS = INITIAL_LOAD_MS + RAMP_UP_MS;
const PEAK_END_MS = PEAK_START_MS + PEAK_MS;
const MS_PER_SECOND = 1000;
const WORKSPACE_COUNT = 20;
/** Fraction of the demand that comes from one workspace, as when everyone at a depot leaves at the same time. */
const LARGEST_WORKSPACE_RATIO = 0.3;
const PATH = '/work/sheet';

const buildStreams = (capacityPerSecond: number, factor: number): CallStream[] =>
	Array.from({length: WORKSPACE_COUNT}, (_, index) => {
		const ratio = index === 0 ? LARGEST_WORKSPACE_RATIO : (1 - LARGEST_WORKSPACE_RATIO) / (WORKSPACE_COUNT - 1);
		return {
			workspace: `workspace-${index}`,
			path: PATH,
			peakPerSecond: capacityPerSecond * factor * ratio,
			ratePerSecond(atMs) {
				const rampRatio = Math.min(1, Math.max(0, (atMs - INITIAL_LOAD_MS) / RAMP_UP_MS));
				return capacityPerSecond * ratio * (INITIAL_LOAD_RATIO + (factor - INITIAL_LOAD_RATIO) * rampRatio);
			},
		};
	});

const isUsefulInTime = (sample: CallSample, profile: UserProfile): boolean =>
	sample.isUseful && sample.latencyMs + 2 * profile.callerLatencyMs <= DEADLINE_MS;

const summarize = (samples: readonly CallSample[], profile: UserProfile): CrestFigures => {
	const capacity = (calculateCapacityPerSecond(profile) * PEAK_MS) / MS_PER_SECOND;
	const peakSamples = samples.filter(sample => sample.startedAtMs >= PEAK_START_MS && sample.startedAtMs < PEAK_END_MS);
	const usefulSamples = samples
		.filter(sample => sample.endedAtMs >= PEAK_START_MS && sample.endedAtMs < PEAK_END_MS)
		.filter(sample => isUsefulInTime(sample, profile));
	const workspaces = Array.from({length: WORKSPACE_COUNT}, (_, index) => `workspace-${index}`);
	const countByWorkspace = (countedSamples: readonly CallSample[], workspace: string): number =>
		countedSamples.filter(sample => sample.workspace === workspace).length;
	const fairShares = divideMaxMin(
		capacity,
		workspaces.map(workspace => countByWorkspace(peakSamples, workspace)),
	);
	const latencies = peakSamples
		.filter(sample => sample.isUseful || sample.outcome === domain.Outcome.Unknown)
		.map(sample => sample.latencyMs + 2 * profile.callerLatencyMs);
	return {
		goodputRatio: usefulSamples.length / capacity,
		shortP99Ms: calculateQuantile(latencies, 0.99),
		refusedRatio: peakSamples.filter(sample => sample.outcome === domain.Outcome.NotRun).length / peakSamples.length,
		workspaceFairness: calculateJainIndex(
			workspaces.map((workspace, index) => countByWorkspace(usefulSamples, workspace) / fairShares[index]!),
		),
	};
};

const runUser = async (
	profile: UserProfile,
	factor: number,
	system: SystemName,
	options: MeasureOptions,
): Promise<CrestFigures> => {
	const entry = fakes.buildEntry({
		service: profile.service,
		routes: [fakes.buildRoute({deadlineMs: DEADLINE_MS})],
		targets: fakes.buildTargets({
			service: profile.service,
			count: profile.targetCount,
			slotCount: profile.slotCount,
			places: profile.places,
		}),
	});
	const measuredSystem = await SYSTEM_BUILDERS[system]({profile, entry, seed: options.seed});
	const serviceRandom = fakes.createSeededRandom(options.seed + 1);
	measuredSystem.targets.forEach(target => {
		target.serviceTimeMs = () => drawServiceTime(serviceRandom, SHORT_SERVICE_TIME_MS);
	});
	const samples = await runLoad({
		system: measuredSystem,
		streams: buildStreams(calculateCapacityPerSecond(profile), factor),
		durationMs: PEAK_END_MS,
		settleMs: 3 * DEADLINE_MS,
		random: fakes.createSeededRandom(options.seed + 2),
	});
	measuredSystem.stop();
	const figures = summarize(samples, profile);
	options.reportProgress(`crest x${factor} ${profile.name} ${system}: ${JSON.stringify(figures)}`);
	return figures;
};

/** Takes the worse figure of the users in each field. */
const combineUsers = (figures: readonly CrestFigures[]): CrestFigures => ({
	goodputRatio: roundFigure(Math.min(...figures.map(figure => figure.goodputRatio))),
	shortP99Ms: roundFigure(Math.max(...figures.map(figure => figure.shortP99Ms))),
	refusedRatio: roundFigure(Math.max(...figures.map(figure => figure.refusedRatio))),
	workspaceFairness: roundFigure(Math.min(...figures.map(figure => figure.workspaceFairness))),
});

const runSystem = async (factor: number, system: SystemName, options: MeasureOptions): Promise<CrestFigures> => {
	const figures: CrestFigures[] = [];
	for (const profile of USER_PROFILES) {
		figures.push(await runUser(profile, factor, system, options));
	}

	return combineUsers(figures);
};

/**
 * Measures the service at the peak of a demand surge for both users. Goodput is the number of useful completions within
 * their deadline, divided by the number of calls that the targets' slots can serve. The percentile covers admitted calls:
 * useful ones and those that timed out. Each field holds the figure of the worse user.
 */
export const measureCrest: Measure = async options => {
	const loads: Record<string, Record<SystemName, CrestFigures>> = {};
	for (const [name, factor] of Object.entries(LOAD_FACTORS)) {
		loads[name] = {
			[SystemName.Product]: await runSystem(factor, SystemName.Product, options),
			[SystemName.Independent]: await runSystem(factor, SystemName.Independent, options),
		};
	}

	return {loads};
};
