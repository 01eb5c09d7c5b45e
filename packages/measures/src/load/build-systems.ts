import type * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import {createIndependentProxy} from '../baselines/independent-proxy.js';
import {ENTRY_NODE_COUNT, findLatencyMs, type Place, type UserProfile} from './user-profiles.js';

/** A fleet under load: the product or the baseline. */
export type MeasuredSystem = {
	readonly clock: fakes.VirtualClock;
	readonly targets: readonly fakes.FakeTarget[];
	handleCall(nodeIndex: number, call: domain.CallRequest, signal: AbortSignal): Promise<domain.CallEnding>;
	/** Ends the system's tasks. */
	stop(): void;
};

export type SystemOptions = {
	readonly profile: UserProfile;
	readonly entry: domain.CatalogueEntry;
	readonly seed: number;
};

/** Queue limit of a target as a multiple of its slots. The target sheds calls that arrive while its queue is full. */
const TARGET_QUEUE_FACTOR = 2;

const listNodes = ({places}: UserProfile): Array<{address: string; place: Place}> =>
	Array.from({length: ENTRY_NODE_COUNT}, (_, index) => ({
		address: `node-${index + 1}:1`,
		place: places[index % places.length]!,
	}));

const createLatency = ({profile, entry}: SystemOptions): ((from: string, to: string) => number) => {
	const placesByAddress = new Map<string, Place>([
		...listNodes(profile).map(({address, place}): [string, Place] => [address, place]),
		...entry.targets.map((target): [string, Place] => [target.address, target]),
		// The log service is in the first region of each user (section 1.6 of the design).
		[fakes.FAKE_LOG_ADDRESS, profile.places[0]!],
	]);
	return (from, to) => findLatencyMs(profile, placesByAddress.get(from)!, placesByAddress.get(to)!);
};

const limitTargetQueues = (targets: readonly fakes.FakeTarget[]): void => {
	targets.forEach(target => {
		target.queueLimitCount = target.entry.slotCount * TARGET_QUEUE_FACTOR;
	});
};

/** Builds the product: complete nodes with fake adapters. Resolves when the entry has been published. */
export const buildProduct = async (options: SystemOptions): Promise<MeasuredSystem> => {
	const fleet = fakes.createFakeFleet({seed: options.seed});
	fleet.network.latencyMs = createLatency(options);
	const nodes = listNodes(options.profile).map(({address, place}) => fleet.startNode({address, ...place}));
	fleet.addTargets(options.entry);
	await fleet.publishEntry(options.entry);
	const targets = [...fleet.targets.values()];
	limitTargetQueues(targets);
	return {
		clock: fleet.clock,
		targets,
		handleCall: async (nodeIndex, call, signal) => nodes[nodeIndex]!.node.handleCall(call, signal),
		stop() {
			nodes.forEach(node => {
				node.stop();
			});
		},
	};
};

/** Builds the baseline: the same number of nodes, which share no state. */
export const buildIndependent = async (options: SystemOptions): Promise<MeasuredSystem> => {
	const {entry} = options;
	const clock = fakes.createVirtualClock();
	const random: core.Random = fakes.createSeededRandom(options.seed);
	const network = fakes.createFakeNetwork(clock);
	network.latencyMs = createLatency(options);
	const targets = entry.targets.map(target => fakes.createFakeTarget({clock, entry: target}));
	targets.forEach(target => {
		network.addTarget(target);
	});
	limitTargetQueues(targets);
	const proxies = listNodes(options.profile).map(({address}) =>
		createIndependentProxy({
			clock,
			random,
			entry,
			targetClient: network.createTargetClient(address, fakes.createFakeHost()),
		}),
	);
	return {
		clock,
		targets,
		handleCall: async (nodeIndex, call, signal) => proxies[nodeIndex]!.handleCall(call, signal),
		stop: () => undefined,
	};
};

export enum SystemName {
	Product = 'product',
	Independent = 'independent',
}

export const SYSTEM_BUILDERS: Record<SystemName, (options: SystemOptions) => Promise<MeasuredSystem>> = {
	[SystemName.Product]: buildProduct,
	[SystemName.Independent]: buildIndependent,
};
