import type {MemberDirectory} from '../membership/member-directory.js';
import type * as ports from '../ports/index.js';
import {createCatalogueFeed, type CatalogueFeed} from './catalogue-feed.js';
import type {CatalogueStore} from './catalogue-store.js';
import {createLogTail, type LogTail, type StepOutcome} from './log-tail.js';
import {createPeerPull, type PeerPull} from './peer-pull.js';
import {createRelayTree, type RelayTree} from './relay-tree.js';
import type {CatalogueReplicatorOptions} from './replicator-options.js';

/** What the ways of following the log share. */
export type ReplicatorParts = {
	readonly ports: ports.NodePorts;
	readonly store: CatalogueStore;
	readonly feed: CatalogueFeed;
	readonly tail: LogTail;
	readonly pull: PeerPull;
	readonly tree: RelayTree;
	readonly options: CatalogueReplicatorOptions;
};

/** One step takes this node nearer to the newest catalogue, from whatever source is at hand. */
export type TakeStep = (signal: AbortSignal) => Promise<StepOutcome>;

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
