import type * as core from '@bilberrydoor/core';
import * as fakes from '@bilberrydoor/fakes';

/** Regions of the nodes; the log is in the first one. */
export const REGIONS = ['pwani', 'bara'] as const;

const ZONE_LATENCY_MS = 0.5;
const REGION_LATENCY_MS = 20;

/** One run of a node's process. */
export type MeasuredNode = {
	readonly address: string;
	readonly region: string;
	readonly host: fakes.FakeHost;
	readonly store: core.CatalogueStore;
	isReady(): boolean;
	/** Submits an edit through this node. */
	submitEdit(request: core.EditRequest): Promise<Pick<core.EditReport, 'outcome' | 'revision'>>;
};

/** A fleet that the scenario runs on: the product or the baseline. */
export type MeasuredFleet = {
	readonly environment: fakes.FakeFleet;
	nodes(): readonly MeasuredNode[];
	/** Starts a node, or replaces the one at the address. */
	startNode(address: string): MeasuredNode;
};

/** Region of an address such as `bara-3:1`; the first region for the address of the log. */
export const regionOf = (address: string): string => REGIONS.find(region => address.startsWith(region)) ?? REGIONS[0];

export const buildNodeAddresses = (count: number): string[] =>
	Array.from({length: count}, (_, index) => `${REGIONS[index % REGIONS.length]!}-${index}:1`);

/** Sets the latencies within and between the regions of the Drainage Authority. */
export const setLatencies = (environment: fakes.FakeFleet): void => {
	environment.network.latencyMs = (from, to) => (regionOf(from) === regionOf(to) ? ZONE_LATENCY_MS : REGION_LATENCY_MS);
};

/** Control traffic of the fleet: peer messages and exchanges with the log. */
export type Traffic = {
	/** Bytes that crossed the region link. */
	linkBytes(): number;
	/** Bytes that the busiest node sent and received. */
	busiestNodeBytes(): number;
};

/** Counts all control traffic from the time of the call. */
export const countTraffic = (environment: fakes.FakeFleet): Traffic => {
	const bytesByNode = new Map<string, number>();
	let linkBytes = 0;
	const count = (from: string, to: string, sizeBytes: number): void => {
		[from, to].forEach(address => {
			bytesByNode.set(address, (bytesByNode.get(address) ?? 0) + sizeBytes);
		});

		linkBytes += regionOf(from) === regionOf(to) ? 0 : sizeBytes;
	};

	environment.network.onMessage = count;
	environment.onLogTransfer = ({address, sizeBytes}) => {
		count(address, fakes.FAKE_LOG_ADDRESS, sizeBytes);
	};

	return {
		linkBytes: () => linkBytes,
		busiestNodeBytes: () =>
			Math.max(0, ...[...bytesByNode].map(([address, bytes]) => (address === fakes.FAKE_LOG_ADDRESS ? 0 : bytes))),
	};
};
