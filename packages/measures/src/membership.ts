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
	/** Bytes per second of one node for each restart per second in the fleet. */
	readonly bytesPerRestart: number;
	/** CPU time of the membership tasks without the adapter, in ms for each node and second. */
	readonly taskCpuMs: number;
	readonly exchangesPerSecondPerNode: number;
};

const NODE_COUNTS = [44, 100, 400] as const;
const PLANNED_NODE_COUNT = 4100;
const PLANNED_RESTARTS_PER_SECOND = 31_000 / 86_400;
const CPU_WINDOW_MS = 60_000;
const TRAFFIC_WINDOW_MS = 120_000;
const FALSE_DEATH_WINDOW_MS = 60_000;
const IDLE_WARM_UP_MS = 5000;
const MS_PER_SECOND = 1000;

/** CPU time of membership alone: that of the fleet, less that of a fleet with idle membership tasks. */
const measureTaskCpuMs = async (
	options: membershipFleet.FleetOptions,
	measured: membershipFleet.MembershipFleet,
): Promise<number> => {
	const fullCpuMs = await membershipFleet.measureCpuMs(measured, options.nodeCount, CPU_WINDOW_MS);
	const idleFleet = await membershipFleet.startMembershipFleet({
		...options,
		membership: membershipFleet.IDLE_MEMBERSHIP_OPTIONS,
		warmUpMs: IDLE_WARM_UP_MS,
	});
	return fullCpuMs - (await membershipFleet.measureCpuMs(idleFleet, options.nodeCount, CPU_WINDOW_MS));
};

const measureFleet = async (nodeCount: number, seed: number, cost: PeerMessageCost): Promise<FleetSlopes> => {
	const options = {seed, nodeCount, overheadBytes: cost.overheadBytes};
	const measured = await membershipFleet.startMembershipFleet(options);
	const taskCpuMs = await measureTaskCpuMs(options, measured);
	const window = {nodeCount, durationMs: TRAFFIC_WINDOW_MS};
	const restartsPerSecond = (PLANNED_RESTARTS_PER_SECOND * nodeCount) / PLANNED_NODE_COUNT;
	const traffic = await membershipFleet.measureTraffic(measured, {...window, restartsPerSecond});
	// Adds the restart rate of the whole planned fleet, to measure what one restart costs each node.
	const addedPerSecond = PLANNED_RESTARTS_PER_SECOND;
	const trafficWithMoreRestarts = await membershipFleet.measureTraffic(measured, {
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
		bytesPerRestart: (trafficWithMoreRestarts.bytesPerSecondPerNode - traffic.bytesPerSecondPerNode) / addedPerSecond,
		taskCpuMs,
		exchangesPerSecondPerNode: traffic.exchangesPerSecondPerNode,
	};
};

/**
 * Extrapolates the cost of one node at 4,100 nodes from the fleets of 100 and 400 nodes.
 *
 * - Bytes: the number of exchanges of a node does not depend on the size of the fleet, so the bytes at 400 nodes without
 *   restarts are the base. A restart costs each node `bytesPerRestart` at 400 nodes, where each update is sent
 *   log2(400) + 2 = 11 times; at 4,100 nodes it is sent 15 times. Bytes = base + 0.36 restarts/s × bytesPerRestart × 15 / 11.
 * - CPU time: the tasks scan the members of their region for each probe, so their time grows linearly with the number of
 *   nodes. The slope from 100 to 400 nodes is extended to 4,100, and the adapter's time for each exchange is added.
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

/** Measures the detection time, the running nodes marked as dead and the cost of membership, in virtual time. */
export const measureMembership: Measure = async ({seed, reportProgress}: MeasureOptions) => {
	const cost = await measurePeerMessageCost();
	reportProgress(`probe exchange over the real adapter: ${JSON.stringify(cost)}`);
	const results: FleetSlopes[] = [];
	for (const nodeCount of NODE_COUNTS) {
		const result = await measureFleet(nodeCount, seed, cost);
		reportProgress(`${nodeCount} nodes: ${JSON.stringify(result)}`);
		results.push(result);
	}

	const rows = results.map((result, index): [string, FleetResult] => {
		const {detectionP99Ms, falseDeaths, bytesPerSecondPerNode, cpuRatioPerNode} = result;
		return [String(NODE_COUNTS[index]), {detectionP99Ms, falseDeaths, bytesPerSecondPerNode, cpuRatioPerNode}];
	});
	return {nodes: Object.fromEntries(rows), extrapolated4100: extrapolate(results[1]!, results[2]!, cost)};
};
