import type * as domain from '@bilberrydoor/domain';
import type {CatalogueReplicator} from '../catalogue/catalogue-replicator.js';
import type {CatalogueStore} from '../catalogue/catalogue-store.js';
import * as ports from '../ports/index.js';

/** Assembles the table of handlers for peers' control messages. */
export const createPeerHandlers = (dependencies: {
	self: domain.NodeDescription;
	store: CatalogueStore;
	replicator: Pick<CatalogueReplicator, 'pullRecords' | 'pullSnapshot'>;
}): ports.PeerHandlers => {
	const {self, store, replicator} = dependencies;
	return {
		[ports.PeerMessageKind.Probe]: async () => ({node: self, appliedOffset: store.appliedOffset(), updates: []}),
		[ports.PeerMessageKind.IndirectProbe]: async () => ({isReached: false, updates: []}),
		[ports.PeerMessageKind.PullRecords]: replicator.pullRecords,
		[ports.PeerMessageKind.PullSnapshot]: async request => replicator.pullSnapshot(request),
		[ports.PeerMessageKind.MintOperations]: async () => ({operationIds: [], detail: 'not available'}),
		[ports.PeerMessageKind.ReadOperation]: async () => ({isExpired: false}),
		[ports.PeerMessageKind.TakeOverOperations]: async () => ({isAccepted: false}),
		[ports.PeerMessageKind.ReportLeavingTarget]: async () => ({}),
		[ports.PeerMessageKind.TestTarget]: async () => ({isReached: false, latencyMs: 0}),
	};
};
