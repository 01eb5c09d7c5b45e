import * as core from '@bilberrydoor/core';
import {buildFleetCatalogue, buildHostRoute, buildNode, buildTarget} from './build-fleet.js';
import {createRegistryFleet} from './registry-fleet.js';
import {createVirtualClock} from './virtual-clock.js';

type Fleet = ReturnType<typeof createRegistryFleet>;

/** How nodes are lost to the others. */
export enum LossKind {
	/** The nodes do nothing, and requests to them hang. */
	Silent = 'silent',
	/** The nodes run, but connections to and from them fail at once. */
	Unreachable = 'unreachable',
	/** The replies of the nodes arrive after every time limit. */
	Slow = 'slow',
	/** The store refuses the calls of the nodes. */
	Refused = 'refused by the store',
}

const LOSSES: Record<LossKind, (fleet: Fleet, nodeId: string) => void> = {
	[LossKind.Silent](fleet, nodeId) {
		fleet.loseNode(nodeId);
	},
	[LossKind.Unreachable](fleet, nodeId) {
		fleet.cutNodeIds.add(nodeId);
	},
	[LossKind.Slow](fleet, nodeId) {
		fleet.slowNodeIds.add(nodeId);
	},
	[LossKind.Refused](fleet, nodeId) {
		fleet.store.refusedNodeIds.add(nodeId);
	},
};

/** Kinds of loss after which the lost nodes still have to be up to date, since they reach the store. */
const KEEPS_STORE: ReadonlySet<LossKind> = new Set([LossKind.Unreachable, LossKind.Slow]);

const SETTLE_MS = 5000;
const STEP_MS = 50;

/** Time over which changes are written after the loss, and longest time after it until all of them are in force. */
const CHANGES_MS = 6000;
const LAST_CHANGE_MS = 8000;

/** Pause between two changes, in ms; not a multiple of any interval of the nodes. */
const CHANGE_GAP_MS = 330;

const MS_PER_SECOND = 1000;

export type LossOptions = {
	readonly nodeCount: number;
	readonly kind: LossKind;
	/** How many nodes are lost, in the order in which they would become readers. */
	readonly lostCount: number;
	/** Time of the loss after the fleet has settled, which decides the phase of the nodes' intervals, in ms. */
	readonly delayMs: number;
};

export type LossResult = {
	/** Longest time until a change was in force on all nodes that have to be up to date, in ms; Infinity if it never was. */
	readonly worstLagMs: number;
	/** Most calls that the store got in any second after the loss. */
	readonly peakStoreCallsPerSecond: number;
};

/** Starts a fleet that has run before, so that the store already lists its nodes. */
export const startRegisteredFleet = (nodeCount: number): Fleet =>
	createRegistryFleet({
		clock: createVirtualClock(),
		nodeCount,
		fillStore(store) {
			store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(1, [buildHostRoute()]));
			store.write(core.RegistryTopic.Targets, 'a', buildTarget({targetId: 'a', address: buildAddress(1)}));
			Array.from({length: nodeCount}, (_, index) => `node-${index}`).forEach(nodeId => {
				store.write(core.RegistryTopic.Nodes, nodeId, buildNode(nodeId, {incarnationId: `${nodeId}#0`}));
			});
		},
	});

const buildAddress = (version: number): string => `127.0.0.1:${version}`;

/** Ids of the nodes in the order in which they become readers. */
export const rankReaderIds = ({nodes}: Fleet): string[] =>
	[...nodes.values()][0]!.registry.rankReaders(nodes.size).map(({nodeId}) => nodeId);

/** Version of the newest change that is in force on all the nodes, both of the catalogue and of the target. */
const readVersionInForce = (nodes: readonly core.FleetNode[]): number =>
	Math.min(
		...nodes.map(({registry}) =>
			Math.min(registry.catalogue()?.version ?? 0, Number(registry.target('a')?.address.split(':')[1] ?? 0)),
		),
	);

/** Loses nodes of one region while the catalogue and a target change, and measures how late the changes are in force. */
export const simulateLosses = async ({nodeCount, kind, lostCount, delayMs}: LossOptions): Promise<LossResult> => {
	const fleet = startRegisteredFleet(nodeCount);
	const {clock, store, nodes} = fleet;
	await clock.advance(SETTLE_MS + delayMs);
	const lostIds = rankReaderIds(fleet).slice(0, lostCount);
	lostIds.forEach(nodeId => {
		LOSSES[kind](fleet, nodeId);
	});
	const checkedNodes = [...nodes.values()].filter(({self}) => KEEPS_STORE.has(kind) || !lostIds.includes(self.nodeId));
	const writtenAtMs: number[] = [];
	const callCounts: number[] = [];
	let versionInForce = 1;
	let worstLagMs = 0;
	const isInForce = (): boolean => versionInForce === writtenAtMs.length + 1;
	for (
		let stepMs = 0;
		stepMs < CHANGES_MS || (stepMs < CHANGES_MS + LAST_CHANGE_MS && !isInForce());
		stepMs += STEP_MS
	) {
		if (stepMs < CHANGES_MS && stepMs >= writtenAtMs.length * CHANGE_GAP_MS) {
			const version = writtenAtMs.push(clock.monotonicMs()) + 1;
			store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(version, [buildHostRoute()]));
			store.write(core.RegistryTopic.Targets, 'a', buildTarget({targetId: 'a', address: buildAddress(version)}));
		}

		callCounts.push(store.callCount);
		await clock.advance(STEP_MS);
		const inForce = readVersionInForce(checkedNodes);
		const lagsMs = writtenAtMs.slice(versionInForce - 1, inForce - 1).map(atMs => clock.monotonicMs() - atMs);
		worstLagMs = Math.max(worstLagMs, ...lagsMs);
		versionInForce = inForce;
	}

	fleet.stop();
	const stepsPerSecond = MS_PER_SECOND / STEP_MS;
	return {
		worstLagMs: isInForce() ? worstLagMs : Number.POSITIVE_INFINITY,
		peakStoreCallsPerSecond: Math.max(
			...callCounts.map((count, index) => (callCounts[index + stepsPerSecond] ?? count) - count),
		),
	};
};
