import * as perfHooks from 'node:perf_hooks';
import type {Measure, MeasureOptions} from '../measure.js';
import {CatalogueFault} from './catalogue-faults.js';
import type {MeasuredFleet} from './measured-fleet.js';
import type {OperatorOptions} from './operators.js';
import {createPollingFleet} from './polling-fleet.js';
import {createProductFleet} from './product-fleet.js';
import {type PlannedFault, runScenario, type ScenarioResult} from './run-scenario.js';

const NODE_COUNT = 44;
const SLOPE_NODE_COUNTS = [100, 200, 400];
/** Fewer records than the scenario appends, so that the oldest expire while nodes restart. */
const RETENTION_COUNT = 60;

const OPERATOR_OPTIONS: OperatorOptions = {operatorCount: 4, pauseMs: 2000, serviceCount: 6, targetCount: 10};

const FAULTS: readonly PlannedFault[] = [
	{fault: CatalogueFault.Restarts, durationMs: 2000},
	{fault: CatalogueFault.LogOutage, durationMs: 20_000},
	{fault: CatalogueFault.CutFromNodes, durationMs: 10_000},
	{fault: CatalogueFault.LostAppendAnswers, durationMs: 8000},
	{fault: CatalogueFault.CutToNodes, durationMs: 10_000},
	{fault: CatalogueFault.PausedNodes, durationMs: 10_000},
	{fault: CatalogueFault.SlowLog, durationMs: 8000},
	{fault: CatalogueFault.CutToRegion, durationMs: 15_000},
	{fault: CatalogueFault.DuplicateAppends, durationMs: 5000},
	{fault: CatalogueFault.RestartsInOutage, durationMs: 20_000},
	{fault: CatalogueFault.CutFromNodes, durationMs: 10_000},
	{fault: CatalogueFault.Restarts, durationMs: 2000},
];

const SNAPSHOT_OPTIONS = {checkPeriodMs: 1000, jitterMs: 1000, rankDelayMs: 5000, snapshotRecordCount: 20};

const round = (value: number): number => Math.round(value * 100) / 100;

const pickFields = (result: ScenarioResult) => ({
	inForceP99Ms: round(result.inForceP99Ms),
	reversions: result.reversions,
	lostAccepted: result.lostAccepted,
	divergentNodes: result.divergentNodes,
	// -1 stands for a node that was not ready within a minute.
	coldStartFromPeersMs: result.coldStartFromPeersMs === undefined ? -1 : round(result.coldStartFromPeersMs),
});

const calculatePerChange = (result: ScenarioResult, value: number): number =>
	round(value / Math.max(1, result.changeCount));

const runFaults = async (fleet: MeasuredFleet): Promise<ScenarioResult> =>
	runScenario(fleet, {
		nodeCount: NODE_COUNT,
		faults: FAULTS,
		operators: OPERATOR_OPTIONS,
		retentionCount: RETENTION_COUNT,
	});

/** Runs a fleet without faults, to measure how its cost grows with the number of nodes. */
const measureSlope = async ({seed, reportProgress}: MeasureOptions, nodeCount: number) => {
	const fleet = createProductFleet({seed});
	const beginMs = perfHooks.performance.now();
	const result = await runScenario(fleet, {
		nodeCount,
		faults: [],
		operators: {...OPERATOR_OPTIONS, operatorCount: 2},
		retentionCount: RETENTION_COUNT * 100,
	});
	const elapsedMs = perfHooks.performance.now() - beginMs;
	reportProgress(`${nodeCount} nodes: ${Math.round(elapsedMs)} ms`);
	return {
		nodes: nodeCount,
		inForceP99Ms: round(result.inForceP99Ms),
		logReadsPerSecond: round(result.logReadsPerSecond),
		linkBytesPerChange: calculatePerChange(result, result.linkBytes),
		busiestNodeBytesPerSecond: round(result.busiestNodeBytesPerSecond),
		changeCount: result.changeCount,
		divergentNodes: result.divergentNodes,
	};
};

/** Measures how edits come into force under faults, in the product and in a fleet in which every node polls the log. */
export const measureCatalogue: Measure = async options => {
	const {seed, reportProgress} = options;
	const product = await runFaults(createProductFleet({seed, catalogue: {snapshots: SNAPSHOT_OPTIONS}}));
	reportProgress(`product: ${JSON.stringify(product)}`);
	const baseline = await runFaults(createPollingFleet({seed}));
	reportProgress(`baseline: ${JSON.stringify(baseline)}`);
	const slope = [];
	for (const nodeCount of SLOPE_NODE_COUNTS) {
		slope.push(await measureSlope(options, nodeCount));
	}

	return {
		product: pickFields(product),
		baseline: {
			...pickFields(baseline),
			linkBytesPerChange: calculatePerChange(baseline, baseline.linkBytes),
			logReadsPerSecond: round(baseline.logReadsPerSecond),
		},
		appendsPerChange: calculatePerChange(product, product.appendCount),
		linkBytesPerChange: calculatePerChange(product, product.linkBytes),
		logReadsPerSecond: round(product.logReadsPerSecond),
		slope,
	};
};
