import type {MemberDirectory} from '../membership/member-directory.js';
import type * as ports from '../ports/index.js';
import {createCatalogueFeed, type CatalogueFeed} from './catalogue-feed.js';
import type {CatalogueStore} from './catalogue-store.js';
import {createLogTail, type LogTail, type StepOutcome} from './log-tail.js';
import {createPeerPull, type PeerPull} from './peer-pull.js';
import {createRelayTree, type RelayTree} from './relay-tree.js';
import type {CatalogueReplicatorOptions} from './replicator-options.js';

/** Components shared by readers of the log and by followers of relays. */
export type ReplicatorParts = {
	readonly ports: ports.NodePorts;
	readonly store: CatalogueStore;
	readonly feed: CatalogueFeed;
	readonly tail: LogTail;
	readonly pull: PeerPull;
	readonly tree: RelayTree;
	readonly options: CatalogueReplicatorOptions;
};

/** Reads once from the log or from a relay and applies the records. */
export type ReplicationStep = (signal: AbortSignal) => Promise<StepOutcome>;

export const createReplicatorParts = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	directory: MemberDirectory;
	options: CatalogueReplicatorOptions;
}): ReplicatorParts => {
	const {store, directory, options} = dependencies;
	const nodePorts = dependencies.ports;
	const feed = createCatalogueFeed({ports: nodePorts, store});
	const shared = {ports: nodePorts, store, feed};
	return {
		...shared,
		tail: createLogTail({...shared, readLimitCount: options.readLimitCount}),
		pull: createPeerPull({...shared, limitCount: options.readLimitCount, timeoutMs: options.pullTimeoutMs}),
		tree: createRelayTree(directory, options.relayTree),
		options,
	};
};
