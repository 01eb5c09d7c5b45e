import type {CatalogueReplicator} from '../catalogue/catalogue-replicator.js';
import type {ProbeHandlers} from '../membership/probe-handlers.js';
import * as ports from '../ports/index.js';

/** Assembles the table of handlers for peers' control messages. */
export const createPeerHandlers = (dependencies: {
	replicator: Pick<CatalogueReplicator, 'pullRecords' | 'pullSnapshot'>;
	probeHandlers: ProbeHandlers;
}): ports.PeerHandlers => {
	const {replicator, probeHandlers} = dependencies;
	return {
		...probeHandlers,
		[ports.PeerMessageKind.PullRecords]: replicator.pullRecords,
		[ports.PeerMessageKind.PullSnapshot]: async request => replicator.pullSnapshot(request),
		[ports.PeerMessageKind.MintOperations]: async () => ({operationIds: [], detail: 'not available'}),
		[ports.PeerMessageKind.ReadOperation]: async () => ({isExpired: false}),
		[ports.PeerMessageKind.TakeOverOperations]: async () => ({isAccepted: false}),
		[ports.PeerMessageKind.ReportLeavingTarget]: async () => ({}),
		[ports.PeerMessageKind.TestTarget]: async () => ({isReached: false, latencyMs: 0}),
	};
};
