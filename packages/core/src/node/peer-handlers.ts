import type {CatalogueReplicator} from '../catalogue/catalogue-replicator.js';
import type {CatalogueStore} from '../catalogue/catalogue-store.js';
import {DEFAULT_HEALTH_OPTIONS} from '../health/health-options.js';
import {LeavingSign} from '../health/leaving-sign.js';
import {testTarget} from '../health/path-check.js';
import type {ProbeHandlers} from '../membership/probe-handlers.js';
import type {Operations} from '../operations/operations.js';
import * as ports from '../ports/index.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';

/** Assembles the lookup table of handlers for peers' control messages. */
export const createPeerHandlers = (dependencies: {
	replicator: Pick<CatalogueReplicator, 'pullRecords' | 'pullSnapshot'>;
	probeHandlers: ProbeHandlers;
	store: CatalogueStore;
	operationHandlers: Operations['peerHandlers'];
	schedulers: SchedulerRegistry;
	ports: Pick<ports.NodePorts, 'clock' | 'targetClient' | 'random'>;
}): ports.PeerHandlers => {
	const {replicator, probeHandlers, operationHandlers, store, schedulers} = dependencies;
	const {clock, targetClient, random} = dependencies.ports;
	return {
		...probeHandlers,
		...operationHandlers,
		[ports.PeerMessageKind.PullRecords]: replicator.pullRecords,
		[ports.PeerMessageKind.PullSnapshot]: async request => replicator.pullSnapshot(request),
		async [ports.PeerMessageKind.ReportLeavingTarget]({service, targetId}) {
			schedulers.markTargetLeaving(service, targetId, LeavingSign.PeerReport);
			return {};
		},
		async [ports.PeerMessageKind.TestTarget]({service, targetId}, signal) {
			// Only targets in the catalogue are tested, so a peer cannot make this node connect to an arbitrary address.
			const target = store.findItem(service)?.entry?.targets.find(candidate => candidate.targetId === targetId);
			const timeoutMs = DEFAULT_HEALTH_OPTIONS.probeTimeoutMs;
			return target
				? testTarget({clock, targetClient, random, timeoutMs}, target, signal)
				: {isReached: false, latencyMs: 0};
		},
	};
};
