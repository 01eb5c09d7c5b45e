import type * as domain from '@bilberrydoor/domain';
import type {CatalogueStore} from '../catalogue/catalogue-store.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';

/** Catalogue state of one node. */
export type NodeStatus = {
	readonly node: domain.NodeDescription;
	/** Absent when the node did not answer. */
	readonly appliedOffset?: number;
	/** True when the node did not answer or is behind the newest offset seen. */
	readonly isLagging: boolean;
};

export type FleetStatus = {
	readonly self: domain.NodeDescription;
	readonly appliedOffset: number;
	/** Highest applied offset of all nodes that answered. */
	readonly newestOffset: number;
	readonly isReady: boolean;
	/** True when neither the log nor any reachable node holds the catalogue. */
	readonly isCatalogueLost: boolean;
	readonly nodes: readonly NodeStatus[];
};

/** Nodes queried concurrently. */
const CONCURRENT_REQUEST_COUNT = 32;
const REQUEST_TIMEOUT_MS = 1500;

/** Reads from all live nodes how far they have applied the log. */
export const createFleetStatusReader = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	directory: MemberDirectory;
	replicator: {isReady(): boolean; isLost(): boolean};
}): ((signal: AbortSignal) => Promise<FleetStatus>) => {
	const {store, directory, replicator} = dependencies;
	const {clock, peerClient} = dependencies.ports;

	const fetchAppliedOffset = async (node: domain.NodeDescription, signal: AbortSignal): Promise<number | undefined> => {
		if (node.address === directory.self.address) {
			return store.appliedOffset();
		}

		// A pull of no records is the cheapest request whose reply holds the applied offset.
		const request = {fromOffset: 0, limitCount: 0, waitMs: 0};
		const reply = await runWithTimeout({clock, timeoutMs: REQUEST_TIMEOUT_MS, signal}, async requestSignal =>
			peerClient.request(node.address, ports.PeerMessageKind.PullRecords, request, requestSignal),
		);
		return reply.isTimedOut || reply.value.isErr() ? undefined : reply.value.value.appliedOffset;
	};

	const fetchAppliedOffsets = async (
		nodes: readonly domain.NodeDescription[],
		signal: AbortSignal,
	): Promise<Array<number | undefined>> => {
		const offsets: Array<number | undefined> = nodes.map(() => undefined);
		const queue = nodes.map((node, index) => ({node, index}));
		const fetchNext = async (): Promise<void> => {
			for (let next = queue.shift(); next; next = queue.shift()) {
				offsets[next.index] = await fetchAppliedOffset(next.node, signal);
			}
		};

		await Promise.all(Array.from({length: CONCURRENT_REQUEST_COUNT}, fetchNext));
		return offsets;
	};

	return async signal => {
		const nodes = directory.listLiveNodes();
		const offsets = await fetchAppliedOffsets(nodes, signal);
		const newestOffset = Math.max(store.appliedOffset(), ...offsets.map(offset => offset ?? -1));
		return {
			self: directory.self,
			appliedOffset: store.appliedOffset(),
			newestOffset,
			isReady: replicator.isReady(),
			isCatalogueLost: replicator.isLost(),
			nodes: nodes.map((node, index) => {
				const appliedOffset = offsets[index];
				return {node, appliedOffset, isLagging: appliedOffset === undefined || appliedOffset < newestOffset};
			}),
		};
	};
};
