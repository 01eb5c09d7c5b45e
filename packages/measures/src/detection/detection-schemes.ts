import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import {createIndependentProxy} from '../baselines/independent-proxy.js';
import {createProbeChecker, createProbeProxy, type ProbeChecker} from '../baselines/probe-proxy.js';
import type {DetectionWorld} from './detection-world.js';

/** Schemes of ejecting targets that are compared: the product and two baselines. */
export enum DetectionScheme {
	Product = 'product',
	Independent = 'independent',
	Probes = 'probes',
}

/** Ejections of one scheduling node or proxy among the targets to which it sends work. */
export type TargetView = {
	readonly viewId: string;
	readonly targetIds: ReadonlySet<string>;
	readonly ejectedIds: ReadonlySet<string>;
	/** Slots of targets that are not ejected. */
	readonly healthySlotCount: number;
	readonly floorSlotCount: number;
};

export type RunningScheme = {
	/** Sends a call through the node with this index. */
	handleCall(nodeIndex: number, call: domain.CallRequest, signal: AbortSignal): Promise<domain.CallEnding>;
	listViews(): readonly TargetView[];
	stop(): void;
};

const UNAVAILABLE_STATES: ReadonlySet<domain.TargetState> = new Set([
	domain.TargetState.Ejected,
	domain.TargetState.Probation,
]);

const startProduct = async ({fleet, entries, nodePlaces}: DetectionWorld): Promise<RunningScheme> => {
	const nodes = nodePlaces.map(place => fleet.startNode(place));
	for (const entry of entries) {
		await fleet.publishEntry(entry);
	}

	const floors = new Map(
		entries.flatMap(entry => core.buildTargetGroups(entry)).map(group => [group.groupId, group.floorSlotCount]),
	);
	const buildView = (address: string, statuses: readonly core.TargetStatus[]): TargetView => {
		const ejected = statuses.filter(({state}) => UNAVAILABLE_STATES.has(state));
		const available = statuses.filter(({state}) => !UNAVAILABLE_STATES.has(state));
		return {
			viewId: `${address} ${statuses[0]!.groupId}`,
			targetIds: new Set(statuses.map(({targetId}) => targetId)),
			ejectedIds: new Set(ejected.map(({targetId}) => targetId)),
			healthySlotCount: available.reduce((sum, {slotCount}) => sum + slotCount, 0),
			floorSlotCount: floors.get(statuses[0]!.groupId)!,
		};
	};

	return {
		handleCall: async (nodeIndex, call, signal) => nodes[nodeIndex]!.node.handleCall(call, signal),
		listViews: () =>
			nodes.flatMap(({node, address}) =>
				node.schedulers.listSchedulers().map(scheduler => buildView(address, scheduler.describeTargets())),
			),
		stop() {
			nodes.forEach(node => {
				node.stop();
			});
		},
	};
};

type EjectingProxy = Pick<RunningScheme, 'handleCall'>['handleCall'] extends (
	index: number,
	...rest: infer Rest
) => infer End
	? {handleCall(...rest: Rest): End; listEjectedTargets(): readonly string[]}
	: never;

type ProxyBuilder = (options: {
	world: DetectionWorld;
	targetClient: core.TargetClient;
	entry: domain.CatalogueEntry;
	seed: number;
	signal: AbortSignal;
}) => EjectingProxy;

/**
 * Starts one proxy for each node and service. Like the product, a proxy uses only the targets of its own region if there
 * are any.
 */
const startProxies = (world: DetectionWorld, buildProxy: ProxyBuilder): RunningScheme => {
	const controller = new AbortController();
	const {nodePlaces, entries, fleet} = world;
	const proxies = nodePlaces.map(({address, region}, nodeIndex) => {
		const targetClient = fleet.network.createTargetClient(address, fakes.createFakeHost());
		return entries.map((entry, index) => {
			const regionalTargets = entry.targets.filter(target => target.region === region);
			const targets = regionalTargets.length > 0 ? regionalTargets : entry.targets;
			const seed = nodeIndex * entries.length + index;
			const proxy = buildProxy({
				world,
				targetClient,
				entry: {...entry, targets},
				seed,
				signal: controller.signal,
			});
			const slotCounts = new Map(targets.map(target => [target.targetId, target.slotCount]));
			const targetIds = new Set(slotCounts.keys());
			const allSlotCount = targets.reduce((sum, target) => sum + target.slotCount, 0);
			const floorSlotCount = core
				.buildTargetGroups(entry)
				.filter(group => targets.some(target => target.region === group.region))
				.reduce((sum, group) => sum + group.floorSlotCount, 0);
			const viewId = `${address} ${entry.service}`;
			return {proxy, entry, slotCounts, targetIds, allSlotCount, floorSlotCount, viewId};
		});
	});

	return {
		async handleCall(nodeIndex, call, signal) {
			const {proxy} = proxies[nodeIndex]!.find(({entry}) => call.path.startsWith(`/${entry.service}`))!;
			return proxy.handleCall(call, signal);
		},
		listViews: () =>
			proxies.flat().map(({proxy, slotCounts, targetIds, allSlotCount, floorSlotCount, viewId}) => {
				const ejectedIds = new Set(proxy.listEjectedTargets());
				const ejectedSlotCount = [...ejectedIds].reduce((sum, targetId) => sum + slotCounts.get(targetId)!, 0);
				return {viewId, targetIds, ejectedIds, healthySlotCount: allSlotCount - ejectedSlotCount, floorSlotCount};
			}),
		stop() {
			controller.abort();
		},
	};
};

/** Starts each scheme in a simulated world. */
export const SCHEME_STARTERS: Readonly<Record<DetectionScheme, (world: DetectionWorld) => Promise<RunningScheme>>> = {
	[DetectionScheme.Product]: startProduct,
	[DetectionScheme.Independent]: async detectionWorld =>
		startProxies(detectionWorld, ({world, targetClient, entry, seed}) =>
			createIndependentProxy({
				clock: world.fleet.clock,
				random: fakes.createSeededRandom(seed),
				targetClient,
				entry,
			}),
		),
	async [DetectionScheme.Probes](detectionWorld) {
		const checkers = new Map<string, ProbeChecker>();
		return startProxies(detectionWorld, ({world, targetClient, entry, signal}) => {
			const {clock} = world.fleet;
			const key = entry.targets.map(({targetId}) => targetId).join(' ');
			const checker = checkers.get(key) ?? createProbeChecker({clock, targetClient, entry});
			if (!checkers.has(key)) {
				checkers.set(key, checker);
				void checker.run(signal);
			}

			return createProbeProxy({clock, targetClient, entry, checker});
		});
	},
};
