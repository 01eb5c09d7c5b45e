import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {rankByRendezvous} from '../routing/rendezvous-ranking.js';
import type {Registry} from './registry.js';

/** Readers or relays that a follower tries, in order of rank. */
export const SOURCE_COUNT = 3;

/** Nodes of a region that may become readers. The store may refuse a third of all nodes at the same time. */
const READER_CANDIDATE_COUNT = 6;

/**
 * Largest number of followers that all pull from the reader. In larger regions the nodes ranked after the reader act as relays:
 * besides its calls, a small node's 10 Mbit/s link can transfer 30 copies a second of a catalogue of a thousand routes.
 */
const DIRECT_FOLLOWER_COUNT = 24;
const RELAY_COUNT = 8;

/** Selects the nodes of this node's region from which it may pull the registry. */
export type RegistrySources = {
	/** Nodes that read the store or are next to do so, best first, without the excluded ones. May include this node. */
	listReaders(): readonly domain.RegisteredNode[];
	/** Whether the region is so large that most nodes pull from relays instead of the reader. */
	hasRelays(): boolean;
	/** Relays from which this node pulls, best first; empty if it is a relay itself or pulls from the readers. */
	listRelays(): readonly domain.RegisteredNode[];
	/** Excludes a node for `durationMs` because it was stale or did not answer, or this node because it cannot read the store. */
	exclude(address: string, durationMs: number): void;
	/** Ends the exclusion of a node that gave a fresh answer. */
	include(address: string): void;
};

export const createRegistrySources = (options: {
	readonly self: domain.RegisteredNode;
	readonly registry: Pick<Registry, 'rankReaders' | 'nodesOf'>;
	readonly clock: ports.Clock;
}): RegistrySources => {
	const {self, registry, clock} = options;
	const excludedUntilMs = new Map<string, number>();

	const isUsable = ({address}: domain.RegisteredNode): boolean =>
		clock.monotonicMs() >= (excludedUntilMs.get(address) ?? 0);

	const listReaders = (): readonly domain.RegisteredNode[] =>
		registry.rankReaders(READER_CANDIDATE_COUNT).filter(isUsable).slice(0, SOURCE_COUNT);

	const hasRelays = (): boolean => registry.nodesOf(self.region).length > DIRECT_FOLLOWER_COUNT + 1;

	return {
		listReaders,
		hasRelays,
		listRelays() {
			const relays = registry.rankReaders(RELAY_COUNT + 1).slice(1);
			const isFollower = [...listReaders(), ...relays].every(({nodeId}) => nodeId !== self.nodeId);
			return hasRelays() && isFollower ? rankByRendezvous(self.nodeId, relays, RELAY_COUNT).filter(isUsable) : [];
		},
		exclude(address, durationMs) {
			excludedUntilMs.set(address, clock.monotonicMs() + durationMs);
		},
		include(address) {
			excludedUntilMs.delete(address);
		},
	};
};
