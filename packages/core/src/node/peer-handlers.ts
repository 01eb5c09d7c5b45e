import type * as domain from '@bilberrydoor/domain';
import type {CatalogueStore} from '../catalogue/catalogue-store.js';
import type {Operations} from '../operations/operations.js';
import * as ports from '../ports/index.js';

/** Assembles the table of handlers for peers' control messages. */
export const createPeerHandlers = (dependencies: {
	self: domain.NodeDescription;
	store: CatalogueStore;
	operations: Operations;
}): ports.PeerHandlers => {
	const {self, store, operations} = dependencies;
	return {
		[ports.PeerMessageKind.Probe]: async () => ({node: self, appliedOffset: store.appliedOffset(), updates: []}),
		[ports.PeerMessageKind.IndirectProbe]: async () => ({isReached: false, updates: []}),
		[ports.PeerMessageKind.PullRecords]: async () => ({
			records: [],
			appliedOffset: store.appliedOffset(),
			isTruncated: true,
		}),
		[ports.PeerMessageKind.PullSnapshot]: async () => ({snapshot: store.takeSnapshot()}),
		...operations.peerHandlers,
		[ports.PeerMessageKind.ReportLeavingTarget]: async () => ({}),
		[ports.PeerMessageKind.TestTarget]: async () => ({isReached: false, latencyMs: 0}),
	};
};
