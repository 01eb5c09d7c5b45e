import * as core from '@bilberrydoor/core';
import {calculatePercentile} from './calculate-percentile.js';
import type {Measure, MeasureOptions} from './measure.js';
import * as membershipFleet from './membership-fleet.js';
import {measurePeerMessageCost, type PeerMessageCost} from './peer-message-cost.js';

type FleetResult = {
	readonly detectionP99Ms: number;
	readonly falseDeaths: number;
	readonly bytesPerSecondPerNode: number;
	readonly cpuRatioPerNode: number;
};

type FleetSlopes = FleetResult & {
	/** Bytes a second of a node for each restart a second in the fleet. */
	readonly bytesPerRestart: number;
	/** Processor time of the tasks without the adapter, in ms a second. */
	readonly taskCpuMs: number;
	readonly exchangesPerSecondPerNode: number;
};

const NODE_COUNTS = [44, 100, 400] as const;
const PLANNED_NODE_COUNT = 4100;
const PLANNED_RESTARTS_PER_SECOND = 31_000 / 86_400;
const CPU_WINDOW_MS = 60_000;
const TRAFFIC_WINDOW_MS = 120_000;
const FALSE_DEATH_WINDOW_MS = 60_000;
const RESTING_WARM_UP_MS = 5000;
const MS_PER_SECOND = 1000;

/** Processor time of membership alone: that of the whole fleet without that of a fleet whose membership rests. */
const measureTaskCpuMs = async (
	options: membershipFleet.FleetOptions,
	measured: membershipFleet.MeasuredFleet,
): Promise<number> => {
	const full = await membershipFleet.measureCpuMs(measured, options.nodeCount, CPU_WINDOW_MS);
	const resting = await membershipFleet.startMeasuredFleet({
		...options,
		membership: membershipFleet.RESTING_MEMBERSHIP,
		warmUpMs: RESTING_WARM_UP_MS,
	});
	return full - (await membershipFleet.measureCpuMs(resting, options.nodeCount, CPU_WINDOW_MS));
};

const measureFleet = async (nodeCount: number, seed: number, cost: PeerMessageCost): Promise<FleetSlopes> => {
	const options = {seed, nodeCount, overheadBytes: cost.overheadBytes};
	const measured = await membershipFleet.startMeasuredFleet(options);
	const taskCpuMs = await measureTaskCpuMs(options, measured);
	const window = {nodeCount, durationMs: TRAFFIC_WINDOW_MS};
	const restartsPerSecond = (PLANNED_RESTARTS_PER_SECOND * nodeCount) / PLANNED_NODE_COUNT;
	const traffic = await membershipFleet.measureTraffic(measured, {...window, restartsPerSecond});
	// The rate of the whole planned fleet, to learn what a restart costs each node.
	const addedPerSecond = PLANNED_RESTARTS_PER_SECOND;
	const busy = await membershipFleet.measureTraffic(measured, {
		...window,
		restartsPerSecond: restartsPerSecond + addedPerSecond,
	});
	const detectionsMs = await membershipFleet.measureDetections(measured);
	const falseDeaths = await membershipFleet.countFalseDeaths(measured, FALSE_DEATH_WINDOW_MS);
	return {
		detectionP99Ms: calculatePercentile(detectionsMs, 0.99),
		falseDeaths,
		bytesPerSecondPerNode: traffic.bytesPerSecondPerNode,
		cpuRatioPerNode: (taskCpuMs + traffic.exchangesPerSecondPerNode * cost.cpuMs) / MS_PER_SECOND,
		bytesPerRestart: (busy.bytesPerSecondPerNode - traffic.bytesPerSecondPerNode) / addedPerSecond,
		taskCpuMs,
		exchangesPerSecondPerNode: traffic.exchangesPerSecondPerNode,
	};
};

/**
 * Cost of one node at 4,100 nodes, from the fleets of 100 and 400.
 *
 * - Bytes: a node's exchanges are the same at every size, so the bytes at 400 nodes without restarts are the base. A
 *   restart costs each node `bytesPerRestart` at 400 nodes, for updates that are each sent log2(400) + 2 = 11 times; at
 *   4,100 nodes they are sent 15 times. Bytes = base + 0.36 restarts/s × bytesPerRestart × 15 / 11.
 * - Processor time: the tasks scan their region's members for each probe, so their time is linear in the nodes: the slope
 *   from 100 to 400 nodes is continued to 4,100. The adapter's time for each exchange is added.
 */
const extrapolate = (small: FleetSlopes, large: FleetSlopes, cost: PeerMessageCost) => {
	const [, smallCount, largeCount] = NODE_COUNTS;
	const baseBytes =
		large.bytesPerSecondPerNode -
		(large.bytesPerRestart * PLANNED_RESTARTS_PER_SECOND * largeCount) / PLANNED_NODE_COUNT;
	const sendRatio = core.calculateSendLimit(PLANNED_NODE_COUNT) / core.calculateSendLimit(largeCount);
	const cpuSlopeMs = Math.max(0, (large.taskCpuMs - small.taskCpuMs) / (largeCount - smallCount));
	const taskCpuMs = large.taskCpuMs + cpuSlopeMs * (PLANNED_NODE_COUNT - largeCount);
	return {
		bytesPerSecondPerNode: baseBytes + PLANNED_RESTARTS_PER_SECOND * large.bytesPerRestart * sendRatio,
		cpuRatioPerNode: (taskCpuMs + large.exchangesPerSecondPerNode * cost.cpuMs) / MS_PER_SECOND,
	};
};

/** Measures detection, false deaths and cost of membership in virtual time. */
export const measureMembership: Measure = async ({seed, reportProgress}: MeasureOptions) => {
	const cost = await measurePeerMessageCost();
	reportProgress(`probe exchange over the real adapter: ${JSON.stringify(cost)}`);
	const results: FleetSlopes[] = [];
	for (const nodeCount of NODE_COUNTS) {
		const result = await measureFleet(nodeCount, seed, cost);
		reportProgress(`${nodeCount} nodes: ${JSON.stringify(result)}`);
		results.push(result);
	}

	const lines = results.map((result, index): [string, FleetResult] => {
		const {detectionP99Ms, falseDeaths, bytesPerSecondPerNode, cpuRatioPerNode} = result;
		return [String(NODE_COUNTS[index]), {detectionP99Ms, falseDeaths, bytesPerSecondPerNode, cpuRatioPerNode}];
	});
	return {nodes: Object.fromEntries(lines), extrapolated4100: extrapolate(results[1]!, results[2]!, cost)};
};
