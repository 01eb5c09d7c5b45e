import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import {buildNode, buildCompleteChanges} from './build-fleet.js';
import {createFakeMetrics, createSilentLogger} from './fake-observability.js';
import {createSeededRandom} from './seeded-random.js';
import {createVirtualClock, type VirtualClock} from './virtual-clock.js';

export type GrantPartsOptions = {
	readonly targets: readonly domain.RegisteredTarget[];
	/** Other registered nodes. */
	readonly nodes?: readonly domain.RegisteredNode[];
	readonly peerClient: core.FleetPeerClient;
	readonly dispatcher?: Partial<core.DispatcherOptions>;
	readonly zones?: Partial<core.ZoneOptions>;
	/** This node; by default one of the first region. */
	readonly self?: domain.RegisteredNode;
	readonly logger?: core.Logger;
	readonly seed?: number;
	/** Clock of the node; one that no other node shares by default. */
	readonly clock?: VirtualClock;
};

/** Builds a node's registry with the given records, its dispatchers and its grant client, on a virtual clock. */
export const buildGrantParts = (options: GrantPartsOptions) => {
	const {clock = createVirtualClock()} = options;
	const {logger = createSilentLogger(), self = buildNode('self')} = options;
	const metrics = createFakeMetrics();
	const random = createSeededRandom(options.seed ?? 1);
	const peerReachability = core.createPeerReachability({clock, logger});
	const registry = core.createRegistry({self, clock, logger, metrics, peerReachability});
	const targets = options.targets.map((value, offset) => ({key: value.targetId, offset, value}));
	const nodes = (options.nodes ?? []).map((value, offset) => ({key: value.nodeId, offset, value}));
	registry.apply({
		[core.RegistryTopic.Targets]: buildCompleteChanges(targets, targets.length),
		[core.RegistryTopic.Nodes]: buildCompleteChanges(nodes, nodes.length),
	});
	const notices = core.createTargetNotices({clock, logger});
	const zoneOptions = {...core.DEFAULT_ZONE_OPTIONS, ...options.zones};
	const dispatchers = core.createDispatcherTable({
		registry,
		zoneOptions,
		options: options.dispatcher,
		clock,
		random,
		logger,
		metrics,
		notices,
	});
	const {peerClient} = options;
	const grants = core.createGrantClient({
		self,
		registry,
		dispatchers,
		peerClient,
		peerReachability,
		clock,
		logger,
		metrics,
		notices,
		random,
		zoneOptions,
	});
	return {self, clock, logger, metrics, random, registry, dispatchers, notices, grants};
};
