import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import {measureLinkBlocking} from './link-blocking.js';
import {SystemName, SYSTEM_BUILDERS} from './load/build-systems.js';
import {runLoad, type CallSample, type CallStream} from './load/run-load.js';
import {calculateQuantile, roundFigure} from './load/statistics.js';
import {
	drawServiceTime,
	calculateCapacityPerSecond,
	SHORT_SERVICE_TIME_MS,
	USER_PROFILES,
	type UserProfile,
} from './load/user-profiles.js';
import type {Measure, MeasureOptions} from './measure.js';

type BlockingFigures = {readonly shortP99Ms: number};

const SHORT_PATH = '/work/sheet';
const LONG_PATH = '/proof/photo';
/** Service time of long work as a multiple of that of short work. */
const LONG_TIME_FACTOR = 30;
/** Load of short work as a fraction of the capacity. */
const SHORT_LOAD_RATIO = 0.3;
/** Load of long work as a fraction of the capacity; above 1 it saturates the targets. */
const LONG_LOAD_RATIO = 1.5;
const WARM_UP_MS = 3000;
const DURATION_MS = 10_000;
const LONG_DEADLINE_MS = 10_000;
const SHORT_DEADLINE_MS = 2000;
const WORKSPACE_COUNT = 10;

const buildStreams = (profile: UserProfile, hasLongWork: boolean): CallStream[] => {
	const capacity = calculateCapacityPerSecond(profile);
	const buildStream = (path: string, index: number, ratePerSecond: number): CallStream => ({
		workspace: `workspace-${index}`,
		path,
		peakPerSecond: ratePerSecond,
		ratePerSecond: () => ratePerSecond,
	});
	const shortRate = (capacity * SHORT_LOAD_RATIO) / WORKSPACE_COUNT;
	const longRate = (capacity * LONG_LOAD_RATIO) / LONG_TIME_FACTOR / WORKSPACE_COUNT;
	return Array.from({length: WORKSPACE_COUNT}, (_, index) => [
		buildStream(SHORT_PATH, index, shortRate),
		...(hasLongWork ? [buildStream(LONG_PATH, index, longRate)] : []),
	]).flat();
};

const buildServiceEntry = (profile: UserProfile): domain.CatalogueEntry =>
	fakes.buildEntry({
		service: profile.service,
		routes: [
			fakes.buildRoute({deadlineMs: SHORT_DEADLINE_MS}),
			fakes.buildRoute({
				pathPrefix: '/proof',
				workClass: domain.WorkClass.Long,
				deadlineMs: LONG_DEADLINE_MS,
			}),
		],
		targets: fakes.buildTargets({
			service: profile.service,
			count: profile.targetCount,
			slotCount: profile.slotCount,
			places: profile.places,
		}),
	});

/** Fraction of the capacity that useful calls of a path used after the warm-up. */
const calculateUsedRatio = (samples: readonly CallSample[], path: string, profile: UserProfile): number => {
	const useful = samples.filter(
		sample =>
			sample.path === path && sample.isUseful && sample.endedAtMs >= WARM_UP_MS && sample.endedAtMs < DURATION_MS,
	);
	const costFactor = path === LONG_PATH ? LONG_TIME_FACTOR : 1;
	return (useful.length * costFactor * 1000) / (calculateCapacityPerSecond(profile) * (DURATION_MS - WARM_UP_MS));
};

const runUser = async (
	profile: UserProfile,
	run: {system: SystemName; hasLongWork: boolean},
	options: MeasureOptions,
): Promise<number> => {
	const entry = buildServiceEntry(profile);
	const measuredSystem = await SYSTEM_BUILDERS[run.system]({profile, entry, seed: options.seed});
	const random = fakes.createSeededRandom(options.seed + 1);
	measuredSystem.targets.forEach(target => {
		target.serviceTimeMs = ({pathAndQuery}) =>
			drawServiceTime(random, SHORT_SERVICE_TIME_MS * (pathAndQuery === LONG_PATH ? LONG_TIME_FACTOR : 1));
	});
	const samples = await runLoad({
		system: measuredSystem,
		streams: buildStreams(profile, run.hasLongWork),
		durationMs: DURATION_MS,
		settleMs: LONG_DEADLINE_MS + SHORT_DEADLINE_MS,
		random: fakes.createSeededRandom(options.seed + 2),
	});
	measuredSystem.stop();
	const shortSamples = samples.filter(sample => sample.path === SHORT_PATH && sample.startedAtMs >= WARM_UP_MS);
	// A call that was not served counts with its whole deadline as latency.
	const latencies = shortSamples.map(sample =>
		sample.isUseful ? sample.latencyMs + 2 * profile.callerLatencyMs : SHORT_DEADLINE_MS,
	);
	const shortP99Ms = calculateQuantile(latencies, 0.99);
	const shortRatio = roundFigure(calculateUsedRatio(samples, SHORT_PATH, profile));
	const longRatio = roundFigure(calculateUsedRatio(samples, LONG_PATH, profile));
	options.reportProgress(
		`blocking ${profile.name} ${run.system} ${run.hasLongWork ? 'with' : 'without'} long work: short p99 ${roundFigure(shortP99Ms)} ms, slots used by short work ${shortRatio} and by long work ${longRatio}`,
	);
	return shortP99Ms;
};

const runUsers = async (
	run: {system: SystemName; hasLongWork: boolean},
	options: MeasureOptions,
): Promise<BlockingFigures> => {
	const figures: number[] = [];
	for (const profile of USER_PROFILES) {
		figures.push(await runUser(profile, run, options));
	}

	return {shortP99Ms: roundFigure(Math.max(...figures))};
};

/**
 * Measures the delay of short work by long work that saturates the slots, for both users. Each field holds the figure of
 * the worse user; the capacity that long work uses is reported as progress. `link` measures the delay of short calls by
 * bulk uploads on the region link.
 */
export const measureBlocking: Measure = async options => ({
	slots: {
		alone: await runUsers({system: SystemName.Product, hasLongWork: false}, options),
		product: await runUsers({system: SystemName.Product, hasLongWork: true}, options),
		independent: await runUsers({system: SystemName.Independent, hasLongWork: true}, options),
	},
	link: await measureLinkBlocking(options),
});
