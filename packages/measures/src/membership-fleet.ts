import process from 'node:process';
import type * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import {measureEncodedContent} from './peer-message-cost.js';

/** A fleet in which membership is measured. */
export type MembershipFleet = {
	readonly fleet: fakes.FakeFleet;
	readonly listRunningNodes: () => fakes.FakeNode[];
};

export type FleetOptions = {
	readonly seed: number;
	readonly nodeCount: number;
	readonly overheadBytes: number;
	readonly membership?: Partial<core.MembershipOptions>;
	/** Time before the measurement; by default long enough to spread the updates about the start of all nodes. */
	readonly warmUpMs?: number;
};

/** Places of the Drainage Authority. */
const PLACES = [
	{region: 'pwani', availabilityZone: 'kinondoni'},
	{region: 'pwani', availabilityZone: 'temeke'},
	{region: 'bara', availabilityZone: 'dodoma-kati'},
	{region: 'bara', availabilityZone: 'morogoro'},
];
const ZONE_LATENCY_MS = 0.5;
const REGION_LATENCY_MS = 20;
const WARM_UP_MS = 30_000;
/**
 * When n nodes start together, each node sends n × (log2(n) + 2) updates, at most 16 in each of about 1.7 messages per
 * second. At 400 nodes that takes 160 s.
 */
const WARM_UP_MS_PER_NODE = 600;
const DETECTION_STEP_MS = 100;
const KILL_COUNT = 4;
const DETECTION_LIMIT_MS = 60_000;
const MS_PER_SECOND = 1000;

/** Options with which the membership tasks are idle, to measure the CPU time of everything else. */
export const IDLE_MEMBERSHIP_OPTIONS: Partial<core.MembershipOptions> = {
	vmListPeriodMs: 1e9,
	probePeriodMs: 1e9,
	crossRegionPeriodMs: 1e9,
	recoveryPeriodMs: 1e9,
	announcementCount: 0,
};

const buildAddress = (index: number): string => `10.20.${Math.floor(index / 200)}.${index % 200}:8081`;

export const startMembershipFleet = async (options: FleetOptions): Promise<MembershipFleet> => {
	const fleet = fakes.createFakeFleet({
		seed: options.seed,
		// With long polls of the log, nodes run little besides membership.
		settings: {catalogue: {readWaitMs: 600_000}, membership: options.membership},
	});
	const regions = new Map<string, string>();
	fleet.network.latencyMs = (from, to) => (regions.get(from) === regions.get(to) ? ZONE_LATENCY_MS : REGION_LATENCY_MS);
	fleet.network.measureContent = measureEncodedContent;
	fleet.network.exchangeOverheadBytes = options.overheadBytes;
	Array.from({length: options.nodeCount}, (_, index) => buildAddress(index)).forEach((address, index) => {
		const place = PLACES[index % PLACES.length]!;
		regions.set(address, place.region);
		fleet.startNode({address, ...place});
	});
	await fleet.clock.advance(options.warmUpMs ?? WARM_UP_MS + WARM_UP_MS_PER_NODE * options.nodeCount);
	const listRunningNodes = (): fakes.FakeNode[] =>
		[...new Map(fleet.nodes.map(node => [node.address, node])).values()].filter(node => !node.host.isDead());
	return {fleet, listRunningNodes};
};

/** CPU time of a running fleet, in ms for each node and second of virtual time. */
export const measureCpuMs = async (
	{fleet}: MembershipFleet,
	nodeCount: number,
	durationMs: number,
): Promise<number> => {
	const before = process.cpuUsage();
	await fleet.clock.advance(durationMs);
	const {user, system} = process.cpuUsage(before);
	return (user + system) / 1000 / nodeCount / (durationMs / MS_PER_SECOND);
};

const restartRandomNode = ({fleet, listRunningNodes}: MembershipFleet): void => {
	const nodes = listRunningNodes();
	const replaced = nodes[Math.floor(fleet.random.fraction() * nodes.length)]!;
	replaced.host.kill();
	replaced.stop();
	fleet.startNode({...replaced.node.self});
};

export type MembershipTraffic = {
	readonly bytesPerSecondPerNode: number;
	readonly exchangesPerSecondPerNode: number;
};

/** Counts exchanges and their bytes while nodes restart. The bytes of an exchange count for both of its nodes. */
export const measureTraffic = async (
	measured: MembershipFleet,
	options: {readonly nodeCount: number; readonly durationMs: number; readonly restartsPerSecond: number},
): Promise<MembershipTraffic> => {
	const {network, clock} = measured.fleet;
	let bytes = 0;
	let exchangeCount = 0;
	network.onMessage = (_from, _to, sizeBytes) => {
		bytes += sizeBytes;
		exchangeCount++;
	};

	let dueCount = 0;
	for (let elapsedMs = 0; elapsedMs < options.durationMs; elapsedMs += MS_PER_SECOND) {
		await clock.advance(MS_PER_SECOND);
		dueCount += options.restartsPerSecond;
		for (; dueCount >= 1; dueCount--) {
			restartRandomNode(measured);
		}
	}

	network.onMessage = undefined;
	const nodeSeconds = options.nodeCount * (options.durationMs / MS_PER_SECOND);
	return {bytesPerSecondPerNode: (2 * bytes) / nodeSeconds, exchangesPerSecondPerNode: exchangeCount / nodeSeconds};
};

const repeatValue = (value: number, count: number): number[] => Array.from({length: count}, () => value);

/** Times until each observer marks the member as dead, in ms; Infinity for one that does not within the limit. */
const awaitDetections = async (
	fleet: fakes.FakeFleet,
	observers: readonly fakes.FakeNode[],
	address: string,
): Promise<number[]> => {
	const detectionsMs: number[] = [];
	const hasNotDetected = ({node}: fakes.FakeNode): boolean =>
		node.directory.stateOf(address) !== domain.MemberState.Dead;
	let remainingCount = observers.length;
	for (
		let elapsedMs = DETECTION_STEP_MS;
		remainingCount > 0 && elapsedMs <= DETECTION_LIMIT_MS;
		elapsedMs += DETECTION_STEP_MS
	) {
		await fleet.clock.advance(DETECTION_STEP_MS);
		const nextRemainingCount = observers.filter(hasNotDetected).length;
		detectionsMs.push(...repeatValue(elapsedMs, remainingCount - nextRemainingCount));
		remainingCount = nextRemainingCount;
	}

	return [...detectionsMs, ...repeatValue(Infinity, remainingCount)];
};

/** Kills nodes one after another. Returns the times until each other node marks the killed one as dead, in ms. */
export const measureDetections = async ({fleet, listRunningNodes}: MembershipFleet): Promise<number[]> => {
	const detectionsMs: number[] = [];
	for (let count = 0; count < KILL_COUNT; count++) {
		const killedNode = listRunningNodes()[count * 7]!;
		killedNode.host.kill();
		killedNode.stop();
		detectionsMs.push(...(await awaitDetections(fleet, listRunningNodes(), killedNode.address)));
	}

	return detectionsMs;
};

/**
 * Counts the pairs of running nodes in which one marks the other as dead while messages are lost in one direction: from
 * each node to two random others, and from all others to one node.
 */
export const countFalseDeaths = async (
	{fleet, listRunningNodes}: MembershipFleet,
	durationMs: number,
): Promise<number> => {
	const nodes = listRunningNodes();
	const pickRandomNode = (): fakes.FakeNode => nodes[Math.floor(fleet.random.fraction() * nodes.length)]!;
	nodes.forEach(({address}) => {
		fleet.network.cut(address, pickRandomNode().address);
		fleet.network.cut(address, pickRandomNode().address);
	});
	nodes.slice(1).forEach(({address}) => {
		fleet.network.cut(address, nodes[0]!.address);
	});
	const falseDeaths = new Set<string>();
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += MS_PER_SECOND) {
		await fleet.clock.advance(MS_PER_SECOND);
		nodes.forEach(observer => {
			nodes
				.filter(subject => observer.node.directory.stateOf(subject.address) === domain.MemberState.Dead)
				.forEach(subject => falseDeaths.add(`${observer.address} ${subject.address}`));
		});
	}

	return falseDeaths.size;
};
