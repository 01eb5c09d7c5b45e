import type * as domain from '@bilberrydoor/domain';
import type {CatalogueStore} from '../catalogue/catalogue-store.js';
import * as ports from '../ports/index.js';

/** Assembles the table of handlers for peers' control messages. */
export const createPeerHandlers = (dependencies: {
	self: domain.NodeDescription;
	store: CatalogueStore;
}): ports.PeerHandlers => {
	const {self, store} = dependencies;
	return {
		[ports.PeerMessageKind.Probe]: async () => ({node: self, appliedOffset: store.appliedOffset(), updates: []}),
		[ports.PeerMessageKind.IndirectProbe]: async () => ({isReached: false, updates: []}),
		[ports.PeerMessageKind.PullRecords]: async () => ({
			records: [],
			appliedOffset: store.appliedOffset(),
			isTruncated: true,
		}),
		[ports.PeerMessageKind.PullSnapshot]: async () => ({snapshot: store.takeSnapshot()}),
		[ports.PeerMessageKind.MintOperations]: async () => ({operationIds: [], detail: 'not available'}),
		[ports.PeerMessageKind.ReadOperation]: async () => ({isExpired: false}),
		[ports.PeerMessageKind.TakeOverOperations]: async () => ({isAccepted: false}),
		[ports.PeerMessageKind.ReportLeavingTarget]: async () => ({}),
		[ports.PeerMessageKind.TestTarget]: async () => ({isReached: false, latencyMs: 0}),
	};
};
