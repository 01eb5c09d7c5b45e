import process from 'node:process';
import type * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import {measureEncodedContent} from './peer-message-cost.js';

/** A fleet in which membership is measured. */
export type MeasuredFleet = {
	readonly fleet: fakes.FakeFleet;
	readonly running: () => fakes.FakeNode[];
};

export type FleetOptions = {
	readonly seed: number;
	readonly nodeCount: number;
	readonly overheadBytes: number;
	readonly membership?: Partial<core.MembershipOptions>;
	/** Time before the measurement; by default until the start of all nodes has been spread. */
	readonly warmUpMs?: number;
};

/** The drainage authority's places. */
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
 * Updates of n nodes that start together are sent n × (log2(n) + 2) times by each node, at most 16 in each of about 1.7
 * messages a second. At 400 nodes that takes 160 s.
 */
const WARM_UP_MS_PER_NODE = 600;
const STEP_MS = 100;
const KILL_COUNT = 4;
const KILL_LIMIT_MS = 60_000;
const MS_PER_SECOND = 1000;

/** Makes every task of membership rest, to measure the processor time of everything else. */
export const RESTING_MEMBERSHIP: Partial<core.MembershipOptions> = {
	vmListPeriodMs: 1e9,
	probePeriodMs: 1e9,
	crossRegionPeriodMs: 1e9,
	recoveryPeriodMs: 1e9,
	announcementCount: 0,
};

const buildAddress = (index: number): string => `10.20.${Math.floor(index / 200)}.${index % 200}:8081`;

export const startMeasuredFleet = async (options: FleetOptions): Promise<MeasuredFleet> => {
	const fleet = fakes.createFakeFleet({
		seed: options.seed,
		// Long reads of the log leave little beside membership to run.
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
	const running = (): fakes.FakeNode[] =>
		[...new Map(fleet.nodes.map(node => [node.address, node])).values()].filter(node => !node.host.isDead());
	return {fleet, running};
};

/** Processor time of a running fleet in ms for each node and second of virtual time. */
export const measureCpuMs = async ({fleet}: MeasuredFleet, nodeCount: number, durationMs: number): Promise<number> => {
	const before = process.cpuUsage();
	await fleet.clock.advance(durationMs);
	const {user, system} = process.cpuUsage(before);
	return (user + system) / 1000 / nodeCount / (durationMs / MS_PER_SECOND);
};

const restart = ({fleet, running}: MeasuredFleet): void => {
	const nodes = running();
	const old = nodes[Math.floor(fleet.random.fraction() * nodes.length)]!;
	old.host.kill();
	old.stop();
	fleet.startNode({...old.node.self});
};

export type Traffic = {
	readonly bytesPerSecondPerNode: number;
	readonly exchangesPerSecondPerNode: number;
};

/** Counts messages while nodes restart. An exchange counts for both of its nodes. */
export const measureTraffic = async (
	measured: MeasuredFleet,
	options: {readonly nodeCount: number; readonly durationMs: number; readonly restartsPerSecond: number},
): Promise<Traffic> => {
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
			restart(measured);
		}
	}

	network.onMessage = undefined;
	const nodeSeconds = options.nodeCount * (options.durationMs / MS_PER_SECOND);
	return {bytesPerSecondPerNode: (2 * bytes) / nodeSeconds, exchangesPerSecondPerNode: exchangeCount / nodeSeconds};
};

const repeatValue = (value: number, count: number): number[] => Array.from({length: count}, () => value);

/** Times until each observer holds the member for dead; Infinity for one that does not within the limit. */
const awaitDetections = async (
	fleet: fakes.FakeFleet,
	observers: readonly fakes.FakeNode[],
	address: string,
): Promise<number[]> => {
	const detectionsMs: number[] = [];
	const isUnaware = ({node}: fakes.FakeNode): boolean => node.directory.stateOf(address) !== domain.MemberState.Dead;
	let unawareCount = observers.length;
	for (let elapsedMs = STEP_MS; unawareCount > 0 && elapsedMs <= KILL_LIMIT_MS; elapsedMs += STEP_MS) {
		await fleet.clock.advance(STEP_MS);
		const stillCount = observers.filter(isUnaware).length;
		detectionsMs.push(...repeatValue(elapsedMs, unawareCount - stillCount));
		unawareCount = stillCount;
	}

	return [...detectionsMs, ...repeatValue(Infinity, unawareCount)];
};

/** Kills nodes one after another. Returns the time until each other node no longer chooses the killed one. */
export const measureDetections = async ({fleet, running}: MeasuredFleet): Promise<number[]> => {
	const detectionsMs: number[] = [];
	for (let count = 0; count < KILL_COUNT; count++) {
		const victim = running()[count * 7]!;
		victim.host.kill();
		victim.stop();
		detectionsMs.push(...(await awaitDetections(fleet, running(), victim.address)));
	}

	return detectionsMs;
};

/**
 * Counts directories that come to hold a running node for dead while messages are lost in one direction: from each node to
 * two random others, and from all others to one node.
 */
export const countFalseDeaths = async ({fleet, running}: MeasuredFleet, durationMs: number): Promise<number> => {
	const nodes = running();
	const pick = (): fakes.FakeNode => nodes[Math.floor(fleet.random.fraction() * nodes.length)]!;
	nodes.forEach(({address}) => {
		fleet.network.cut(address, pick().address);
		fleet.network.cut(address, pick().address);
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
