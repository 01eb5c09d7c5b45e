import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {rankByRendezvous} from '../routing/rendezvous-ranking.js';
import type {Registry} from './registry.js';

/** Nodes of a region that a follower asks before it looks for others. */
export const SOURCE_COUNT = 3;

/** Nodes of a region that may read the store for the others; the store may refuse a third of all nodes at once. */
const CANDIDATE_COUNT = 6;

/**
 * Followers of one node. In larger regions the nodes that rank after the reader relay what they learn: a small node's link of
 * 10 Mbit/s carries 30 copies of a catalogue of a thousand routes a second, besides the calls.
 */
const DIRECT_FOLLOWER_COUNT = 24;
const RELAY_COUNT = 8;

/** Nodes of the own region that this node may learn from. */
export type RegistrySources = {
	/** Nodes that read the store or are about to, best first, without those that are passed over. May hold this node. */
	listReaders(): readonly domain.RegisteredNode[];
	/** Whether the region is so large that relays stand between the reader and most nodes. */
	hasRelays(): boolean;
	/** The relays from which this node learns, best first; none when it is one of them or follows the reader itself. */
	listRelays(): readonly domain.RegisteredNode[];
	/** Leaves out a node that was stale or silent, or this one when it has lost the store. */
	passOver(address: string, durationMs: number): void;
	/** Takes back a node that was fresh. */
	readmit(address: string): void;
};

export const createRegistrySources = (options: {
	readonly self: domain.RegisteredNode;
	readonly registry: Pick<Registry, 'rankReaders' | 'nodesOf'>;
	readonly clock: ports.Clock;
}): RegistrySources => {
	const {self, registry, clock} = options;
	const passedOverUntilMs = new Map<string, number>();

	const isUsable = ({address}: domain.RegisteredNode): boolean =>
		clock.monotonicMs() >= (passedOverUntilMs.get(address) ?? 0);

	const listReaders = (): readonly domain.RegisteredNode[] =>
		registry.rankReaders(CANDIDATE_COUNT).filter(isUsable).slice(0, SOURCE_COUNT);

	const hasRelays = (): boolean => registry.nodesOf(self.region).length > DIRECT_FOLLOWER_COUNT + 1;

	return {
		listReaders,
		hasRelays,
		listRelays() {
			const relays = registry.rankReaders(RELAY_COUNT + 1).slice(1);
			const isFollower = [...listReaders(), ...relays].every(({nodeId}) => nodeId !== self.nodeId);
			return hasRelays() && isFollower ? rankByRendezvous(self.nodeId, relays, RELAY_COUNT).filter(isUsable) : [];
		},
		passOver(address, durationMs) {
			passedOverUntilMs.set(address, clock.monotonicMs() + durationMs);
		},
		readmit(address) {
			passedOverUntilMs.delete(address);
		},
	};
};
