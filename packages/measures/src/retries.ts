import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import {SystemName, SYSTEM_BUILDERS} from './load/build-systems.js';
import {runLoad, type CallStream} from './load/run-load.js';
import {roundFigure} from './load/statistics.js';
import {
	drawServiceTime,
	calculateCapacityPerSecond,
	SHORT_SERVICE_TIME_MS,
	USER_PROFILES,
	type UserProfile,
} from './load/user-profiles.js';
import type {Measure, MeasureOptions} from './measure.js';

type RetryFigures = {readonly attemptsPerCall: number; readonly callerErrorRatio: number};

const RETRY_BUDGET_RATIO = 0.2;
/** Load as a fraction of the capacity when every target is healthy. */
const LOAD_RATIO = 0.4;
const DURATION_MS = 5000;
const DEADLINE_MS = 1000;
const WORKSPACE_COUNT = 10;
const FAULTS: readonly fakes.FakeTargetFault[] = [
	fakes.FakeTargetFault.Errors,
	fakes.FakeTargetFault.Shed,
	fakes.FakeTargetFault.LoseAnswers,
	fakes.FakeTargetFault.Stall,
];

const buildStreams = (profile: UserProfile): CallStream[] => {
	const ratePerSecond = (calculateCapacityPerSecond(profile) * LOAD_RATIO) / WORKSPACE_COUNT;
	return Array.from({length: WORKSPACE_COUNT}, (_, index) => ({
		workspace: `workspace-${index}`,
		path: '/work/sheet',
		peakPerSecond: ratePerSecond,
		ratePerSecond: () => ratePerSecond,
	}));
};

const runFault = async (
	profile: UserProfile,
	fault: fakes.FakeTargetFault,
	options: MeasureOptions,
): Promise<RetryFigures> => {
	const {service, targetCount: count, slotCount, places} = profile;
	const entry = fakes.buildEntry({
		service,
		routes: [fakes.buildRoute({deadlineMs: DEADLINE_MS})],
		targets: fakes.buildTargets({service, count, slotCount, places}),
		retryBudgetRatio: RETRY_BUDGET_RATIO,
	});
	const measuredSystem = await SYSTEM_BUILDERS[SystemName.Product]({profile, entry, seed: options.seed});
	const random = fakes.createSeededRandom(options.seed + 1);
	measuredSystem.targets.forEach((target, index) => {
		target.serviceTimeMs = () => drawServiceTime(random, SHORT_SERVICE_TIME_MS);
		// Targets are assigned to the places round-robin. Every second round of places fails, so that all zones are affected;
		// the last target brings the failing ones to half.
		const isFailing = Math.floor(index / places.length) % 2 === 1 || index === count - 1;
		target.fault = isFailing ? fault : fakes.FakeTargetFault.None;
	});
	const samples = await runLoad({
		system: measuredSystem,
		streams: buildStreams(profile),
		durationMs: DURATION_MS,
		settleMs: 3 * DEADLINE_MS,
		random: fakes.createSeededRandom(options.seed + 2),
	});
	measuredSystem.stop();
	const attemptCount = measuredSystem.targets.reduce((sum, target) => sum + target.receivedCount(), 0);
	const servedCount = samples.filter(sample => sample.outcome !== domain.Outcome.NotRun).length;
	const figures = {
		attemptsPerCall: attemptCount / samples.length,
		callerErrorRatio: samples.filter(sample => !sample.isUseful).length / samples.length,
	};
	options.reportProgress(
		`retries ${profile.name} ${fault}: ${JSON.stringify(figures)}, ${servedCount} of ${samples.length} calls not refused`,
	);
	return figures;
};

/** Measures attempts per call and the callers' error ratio while half of the targets fail; worst user and fault. */
export const measureRetries: Measure = async options => {
	const figures: RetryFigures[] = [];
	for (const profile of USER_PROFILES) {
		for (const fault of FAULTS) {
			figures.push(await runFault(profile, fault, options));
		}
	}

	return {
		attemptsPerCall: roundFigure(Math.max(...figures.map(figure => figure.attemptsPerCall))),
		budgetRatio: RETRY_BUDGET_RATIO,
		callerErrorRatio: roundFigure(Math.max(...figures.map(figure => figure.callerErrorRatio))),
	};
};
