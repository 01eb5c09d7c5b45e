import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import type {createRegistryFleet} from './registry-fleet.js';
import type {RollbackWriters} from './rollback-writers.js';

export type Fleet = ReturnType<typeof createRegistryFleet>;

/** Index of the node that stops, and that the store must not list afterwards. */
export const STOPPED_INDEX = 1;

/** What must hold at any moment, by node: versions only rise, and nothing that has left is used again. */
export const createRollbackWatch = (fleet: Fleet, writers: RollbackWriters, rollbackAtMs: number) => {
	const {clock, nodes} = fleet;
	const faults = new Map<string, string>();
	const versions = new Map<string, number>();
	const eras = new Map<string, number>();
	const leftTargets = new Map<string, Set<string>>();
	const usedTargets = new Map<string, Set<string>>();
	const addFault = (kind: string, nodeId: string, detail: string): void => {
		const key = `${kind} at ${nodeId}`;
		faults.set(key, faults.get(key) ?? `${key}, ${clock.monotonicMs() - rollbackAtMs} ms: ${detail}`);
	};

	const checkNode = (nodeId: string, {registry}: core.FleetNode): void => {
		const version = registry.catalogue()?.version ?? 0;
		if (version < (versions.get(nodeId) ?? 0)) {
			addFault('an older catalogue', nodeId, `${version}`);
		}

		versions.set(nodeId, version);
		const era = Math.max(...Object.values(registry.replicas).map(replica => replica.era()));
		if (era < (eras.get(nodeId) ?? 0)) {
			addFault('an older era', nodeId, `${era}`);
		}

		eras.set(nodeId, era);
		const left = leftTargets.get(nodeId) ?? new Set();
		const used = usedTargets.get(nodeId) ?? new Set();
		writers.targets.forEach((target, targetId) => {
			const isUsable = registry.target(targetId)?.readiness === domain.TargetReadiness.Ready;
			const hasLeft = target.isGone || target.readiness === domain.TargetReadiness.Draining;
			if (hasLeft && !isUsable) {
				left.add(targetId);
			}

			if (isUsable && left.has(targetId)) {
				addFault('a target that had left is usable', nodeId, targetId);
			}

			if (!hasLeft && isUsable) {
				used.add(targetId);
			}

			if (!hasLeft && !isUsable && used.has(targetId)) {
				addFault('a living target is out of use', nodeId, targetId);
			}
		});
		leftTargets.set(nodeId, left);
		usedTargets.set(nodeId, used);
	};

	return {
		check() {
			nodes.forEach((node, nodeId) => {
				checkNode(nodeId, node);
			});
		},
		forget(nodeId: string) {
			[versions, eras, leftTargets, usedTargets].forEach(known => known.delete(nodeId));
		},
		addFault,
		list: () => [...faults.values()],
	};
};

/** Describes what a node has and the store has not, or the other way round; empty if both agree. */
export const describeDifference = (fleet: Fleet, writers: RollbackWriters, node: core.FleetNode): string => {
	const {store, nodes} = fleet;
	const {registry} = node;
	const expectedTargets = [...writers.targets]
		.filter(([, {isGone}]) => !isGone)
		.map(([targetId, {readiness}]) => `${targetId} ${readiness}`)
		.toSorted();
	const knownTargets = [...registry.replicas.targets.values()]
		.map(([targetId, {readiness}]) => `${targetId} ${readiness}`)
		.toSorted();
	const expectedNodes = [...nodes.values()]
		.filter(({self, isReady}) => isReady() || self.nodeId !== `node-${STOPPED_INDEX}`)
		.map(({self}) => self.incarnationId)
		.toSorted();
	const knownNodes = [...registry.replicas.nodes.values().values()].map(({incarnationId}) => incarnationId).toSorted();
	const storedNodes = [...store.listValues(core.RegistryTopic.Nodes).values()]
		.map(({incarnationId}) => incarnationId)
		.toSorted();
	const pairs = [
		['targets', knownTargets.join(', '), expectedTargets.join(', ')],
		['nodes', knownNodes.join(', '), expectedNodes.join(', ')],
		['stored nodes', storedNodes.join(', '), expectedNodes.join(', ')],
		['version', `${registry.catalogue()?.version}`, `${writers.newestVersion()}`],
	] as const;
	return pairs
		.filter(([, known, expected]) => known !== expected)
		.map(([name, known, expected]) => `${name} ${known} instead of ${expected}`)
		.join('; ');
};
