import * as fakes from '@bilberrydoor/fakes';
import {calculatePercentile} from '../calculate-percentile.js';
import type {Measure} from '../measure.js';
import {measureLookups} from './lookup-cost.js';

/** Deployment A: entry VMs and workspaces, and the calls a second of all of them together. */
const NODE_COUNT = 125;
const WORKSPACE_COUNT = 84;
const CALLS_PER_SECOND = 668;

/** Workspace that sends 20 times its rate in the last runs. */
const FLOODING_RATE = 240;

const SEARCH_SEED_COUNT = 5;
const SETTLE_MS = 12_000;
const DURATION_MS = 10_000;
const SLOPE_DURATION_MS = 4000;
const LOOKUP_SIZES = [1000, 10_000, 100_000];

/** Share of its rate that a workspace uses in the simulation. */
const USE_RATIO = 0.75;

const {QuotaLoad, QuotaFault} = fakes;

/** Workspaces whose use falls as a power law; each uses 0.75 of its rate, one in eight at one node. */
const buildWorkspaces = (count: number, callsPerSecond: number): readonly fakes.SimulatedWorkspace[] => {
	const weights = Array.from({length: count}, (_, index) => 1 / (index + 1));
	const sum = weights.reduce((left, right) => left + right, 0);
	return weights.map((weight, index) => {
		const ratePerSecond = ((weight / sum) * callsPerSecond) / USE_RATIO;
		return {
			name: `workspace-${index}`,
			keyDigests: [],
			ratePerSecond,
			burstCount: ratePerSecond,
			load: index % 8 === 3 ? QuotaLoad.OneNode : QuotaLoad.Spread,
		};
	});
};

const sumOf = (values: readonly number[]): number => values.reduce((left, right) => left + right, 0);

/** Share of the calls of workspaces under their rates that was refused. */
const readRefusalRatio = ({workspaces}: fakes.QuotaSimulationResult): number => {
	const under = [...workspaces.values()].filter(({load}) => load === QuotaLoad.Spread || load === QuotaLoad.OneNode);
	return sumOf(under.map(({refusedCount}) => refusedCount)) / sumOf(under.map(({requestCount}) => requestCount));
};

const readWorstRatio = ({workspaces}: fakes.QuotaSimulationResult): number =>
	Math.max(...[...workspaces.values()].map(({worstRatio}) => worstRatio));

const runCalm = async (
	seed: number,
	given: Partial<fakes.QuotaSimulationOptions> = {},
): Promise<fakes.QuotaSimulationResult> =>
	fakes.simulateQuotas({
		seed,
		nodeCount: NODE_COUNT,
		workspaces: buildWorkspaces(WORKSPACE_COUNT, CALLS_PER_SECOND),
		settleMs: SETTLE_MS,
		durationMs: DURATION_MS,
		...given,
	});

/** Requests for tokens a second, over a range of one quantity. */
const measureMessages = async (seed: number) => {
	const run = async (nodeCount: number, workspaceCount: number, callsPerSecond: number) => {
		const {leaseCount, requestCount} = await runCalm(seed, {
			nodeCount,
			workspaces: buildWorkspaces(workspaceCount, callsPerSecond),
			durationMs: SLOPE_DURATION_MS,
		});
		return {
			nodeCount,
			workspaceCount,
			callsPerSecond: (requestCount * 1000) / SLOPE_DURATION_MS,
			messagesPerSecond: (leaseCount * 1000) / SLOPE_DURATION_MS,
		};
	};

	return [
		await run(30, WORKSPACE_COUNT, CALLS_PER_SECOND),
		await run(60, WORKSPACE_COUNT, CALLS_PER_SECOND),
		await run(NODE_COUNT, WORKSPACE_COUNT, CALLS_PER_SECOND),
		await run(60, 20, CALLS_PER_SECOND),
		await run(60, 300, CALLS_PER_SECOND),
		await run(60, WORKSPACE_COUNT, CALLS_PER_SECOND * 4),
	];
};

/** Measures the bound on workspaces' calls, wrong refusals, the messages, and the cost of a decision. */
export const measureQuota: Measure = async ({seed, reportProgress}) => {
	const sumOverBoundRatios: number[] = [];
	while (sumOverBoundRatios.length < SEARCH_SEED_COUNT) {
		const searchSeed = seed * SEARCH_SEED_COUNT + sumOverBoundRatios.length;
		const result = await fakes.simulateQuotas({
			seed: searchSeed,
			nodeCount: 16,
			workspaces: Object.values(QuotaLoad).map((load, index) => ({
				name: `workspace-${index}`,
				keyDigests: [],
				ratePerSecond: Math.ceil(120 / (index + 1)),
				burstCount: Math.ceil(60 / (index + 1)),
				load,
			})),
			settleMs: SETTLE_MS,
			durationMs: 2 * DURATION_MS,
			faults: Object.values(QuotaFault),
		});
		sumOverBoundRatios.push(readWorstRatio(result));
		reportProgress(`search ${searchSeed}: ${readWorstRatio(result)}`);
	}

	const calm = await runCalm(seed);
	reportProgress(`calm: ${readRefusalRatio(calm)} refused`);
	const killed = await runCalm(seed, {faults: [QuotaFault.Kill]});
	reportProgress(`a node killed every 1.5 s: ${readRefusalRatio(killed)} refused`);
	const others = buildWorkspaces(WORKSPACE_COUNT, CALLS_PER_SECOND);
	const flooder = {name: 'flooder', keyDigests: [], ratePerSecond: FLOODING_RATE, burstCount: FLOODING_RATE};
	const flooded = await runCalm(seed, {workspaces: [...others, {...flooder, load: QuotaLoad.Flood}]});
	reportProgress(`flooded: ${readRefusalRatio(flooded)} refused`);
	const messages = await measureMessages(seed);
	messages.forEach(row => {
		reportProgress(JSON.stringify(row));
	});
	const lookups = [];
	for (const size of LOOKUP_SIZES) {
		lookups.push(await measureLookups(size, seed));
	}

	const floodRow = flooded.workspaces.get(flooder.name)!;
	return {
		seed,
		sumOverBoundRatio: Math.max(...sumOverBoundRatios, readWorstRatio(calm), readWorstRatio(flooded)),
		falseRefusalRatio: readRefusalRatio(calm),
		falseRefusalRatioWithKills: readRefusalRatio(killed),
		messagesPerRequest: calm.leaseCount / calm.requestCount,
		messagesPerRequestFlooded: flooded.leaseCount / flooded.requestCount,
		claimCount: calm.claimCount,
		waitP99Ms: calculatePercentile(calm.waitsMs, 0.99),
		othersServedLoss: Math.max(0, readRefusalRatio(flooded) - readRefusalRatio(calm)),
		flooderServedPerSecond: (floodRow.admittedCount * 1000) / DURATION_MS,
		lookupP99Us: lookups.at(-1)!.lookupP99Us,
		lookups,
		messages,
	};
};
