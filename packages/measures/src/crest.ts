import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import {SystemName, SYSTEM_BUILDERS} from './load/build-systems.js';
import {runLoad, type CallSample, type CallStream} from './load/run-load.js';
import {divideMaxMin, findJainIndex, findQuantile, roundFigure} from './load/statistics.js';
import {
	drawServiceTime,
	findCapacityPerSecond,
	SHORT_SERVICE_MS,
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

const LOADS: Readonly<Record<string, number>> = {x1: 1, x3: 3, x10: 10};
const DEADLINE_MS = 1000;
/** Load before the surge, as a part of the capacity. */
const CALM_RATIO = 0.3;
const CALM_MS = 500;
/** Section 1.1: demand rises within seconds. */
const RISE_MS = 1000;
const HOLD_MS = 1000;
const HOLD_START_MS = CALM_MS + RISE_MS;
const END_MS = HOLD_START_MS + HOLD_MS;
const SECOND_MS = 1000;
const WORKSPACE_COUNT = 20;
/** Part of the demand that comes from one workspace: a whole depot leaves at once. */
const DEPOT_RATIO = 0.3;
const PATH = '/work/sheet';

const buildStreams = (capacityPerSecond: number, factor: number): CallStream[] =>
	Array.from({length: WORKSPACE_COUNT}, (_, index) => {
		const ratio = index === 0 ? DEPOT_RATIO : (1 - DEPOT_RATIO) / (WORKSPACE_COUNT - 1);
		return {
			workspace: `workspace-${index}`,
			path: PATH,
			peakPerSecond: capacityPerSecond * factor * ratio,
			ratePerSecond(atMs) {
				const risen = Math.min(1, Math.max(0, (atMs - CALM_MS) / RISE_MS));
				return capacityPerSecond * ratio * (CALM_RATIO + (factor - CALM_RATIO) * risen);
			},
		};
	});

const isUsefulInTime = (sample: CallSample, profile: UserProfile): boolean =>
	sample.isUseful && sample.latencyMs + 2 * profile.callerLatencyMs <= DEADLINE_MS;

const summarize = (samples: readonly CallSample[], profile: UserProfile): CrestFigures => {
	const capacity = (findCapacityPerSecond(profile) * HOLD_MS) / SECOND_MS;
	const held = samples.filter(sample => sample.startedAtMs >= HOLD_START_MS && sample.startedAtMs < END_MS);
	const useful = samples
		.filter(sample => sample.endedAtMs >= HOLD_START_MS && sample.endedAtMs < END_MS)
		.filter(sample => isUsefulInTime(sample, profile));
	const workspaces = Array.from({length: WORKSPACE_COUNT}, (_, index) => `workspace-${index}`);
	const count = (list: readonly CallSample[], workspace: string): number =>
		list.filter(sample => sample.workspace === workspace).length;
	const fairShares = divideMaxMin(
		capacity,
		workspaces.map(workspace => count(held, workspace)),
	);
	const latencies = held
		.filter(sample => sample.isUseful || sample.outcome === domain.Outcome.Unknown)
		.map(sample => sample.latencyMs + 2 * profile.callerLatencyMs);
	return {
		goodputRatio: useful.length / capacity,
		shortP99Ms: findQuantile(latencies, 0.99),
		refusedRatio: held.filter(sample => sample.outcome === domain.Outcome.NotRun).length / held.length,
		workspaceFairness: findJainIndex(
			workspaces.map((workspace, index) => count(useful, workspace) / fairShares[index]!),
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
	const built = await SYSTEM_BUILDERS[system]({profile, entry, seed: options.seed});
	const serviceRandom = fakes.createSeededRandom(options.seed + 1);
	built.targets.forEach(target => {
		target.serviceTimeMs = () => drawServiceTime(serviceRandom, SHORT_SERVICE_MS);
	});
	const samples = await runLoad({
		system: built,
		streams: buildStreams(findCapacityPerSecond(profile), factor),
		durationMs: END_MS,
		settleMs: 3 * DEADLINE_MS,
		random: fakes.createSeededRandom(options.seed + 2),
	});
	built.stop();
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
 * Measures the service at the peak of a demand surge for both users. Goodput counts useful completions within their
 * deadline over the calls that the targets' slots can do. The percentile covers admitted calls: useful ones and those
 * that ran out of time. Each field holds the worse of the users.
 */
export const measureCrest: Measure = async options => {
	const loads: Record<string, Record<SystemName, CrestFigures>> = {};
	for (const [name, factor] of Object.entries(LOADS)) {
		loads[name] = {
			[SystemName.Product]: await runSystem(factor, SystemName.Product, options),
			[SystemName.Independent]: await runSystem(factor, SystemName.Independent, options),
		};
	}

	return {loads};
};
