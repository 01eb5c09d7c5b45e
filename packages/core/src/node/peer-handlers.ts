import type {CatalogueStore} from '../catalogue/catalogue-store.js';
import type {ProbeHandlers} from '../membership/probe-handlers.js';
import * as ports from '../ports/index.js';

/** Assembles the table of handlers for peers' control messages. */
export const createPeerHandlers = (dependencies: {
	store: CatalogueStore;
	probeHandlers: ProbeHandlers;
}): ports.PeerHandlers => {
	const {store, probeHandlers} = dependencies;
	return {
		...probeHandlers,
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
