import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
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

/** Time until a silent node is checked again; doubled each time that it does not answer. */
const SILENCE_BACK_OFF = {firstMs: 1000, limitMs: 4000};

/** Time after which a silent node that was not checked again is listed like any other. */
const SILENCE_LIMIT_MS = 60_000;

/** Time since the last answer of a relay from which on all of them count as lost. */
const RELAY_SILENCE_MS = 600;

/** Selects the nodes of this node's region from which it may pull the registry. */
export type RegistrySources = {
	/**
	 * Nodes that read the store or are next to do so, best first, without the excluded ones. May include this node.
	 *
	 * @param limitCount how many to list; by default `SOURCE_COUNT`
	 */
	listReaders(limitCount?: number): readonly domain.RegisteredNode[];
	/** Whether the region is so large that most nodes pull from relays instead of the reader. */
	hasRelays(): boolean;
	/** Whether this node pulls from relays. False for the relays themselves and the readers. */
	isRelayFollower(): boolean;
	/** Relays from which this node pulls, best first, without the excluded ones; empty if it pulls from the readers. */
	listRelays(limitCount?: number): readonly domain.RegisteredNode[];
	/** Records that a node with the given role has answered. */
	recordAnswer(role: ports.RegistryRole): void;
	/** Whether this node pulls from relays and one of them has answered lately. */
	hasAnsweringRelay(): boolean;
	/** Whether neither silence nor stale records exclude the node. */
	isIncluded(address: string): boolean;
	/** Excludes a node for `durationMs` because it was stale, or this node because it cannot read the store. */
	excludeStale(address: string, durationMs: number): void;
	/**
	 * Excludes a node that did not answer until it answers a check. Lower-ranked nodes take its place among the readers and
	 * relays.
	 */
	excludeSilent(address: string): void;
	/** Silent nodes that are due for another check and rank before the given node, best first. */
	listDueSilentBefore(address: string | undefined): readonly domain.RegisteredNode[];
	/** Ends the exclusions of a node that gave a fresh answer. */
	include(address: string): void;
};

/** The nodes of a ranking that come before the one with the given address, or all if it is not in the ranking. */
export const listBefore = (
	ranking: readonly domain.RegisteredNode[],
	address: string | undefined,
): readonly domain.RegisteredNode[] => {
	const rank = ranking.findIndex(node => node.address === address);
	return ranking.slice(0, rank === -1 ? ranking.length : rank);
};

export const createRegistrySources = (options: {
	readonly self: domain.RegisteredNode;
	readonly registry: Pick<Registry, 'rankReaders' | 'nodesOf'>;
	readonly clock: ports.Clock;
}): RegistrySources => {
	const {self, registry, clock} = options;
	const staleUntilMs = new Map<string, number>();
	/** When each silent node is due for another check. */
	const silences = new Map<string, {readonly untilMs: number; readonly durationMs: number}>();

	let lastRelayAnswerAtMs = Number.NEGATIVE_INFINITY;

	const isStale = (address: string): boolean => clock.monotonicMs() < (staleUntilMs.get(address) ?? 0);

	const isSilent = (address: string): boolean => {
		const silence = silences.get(address);
		return silence !== undefined && clock.monotonicMs() < silence.untilMs + SILENCE_LIMIT_MS;
	};

	/** The best-ranked nodes that are not silent. */
	const listAnswering = (limitCount: number): readonly domain.RegisteredNode[] =>
		registry
			.rankReaders(limitCount + silences.size)
			.filter(({address}) => !isSilent(address))
			.slice(0, limitCount);

	const listReaders = (limitCount = SOURCE_COUNT): readonly domain.RegisteredNode[] =>
		listAnswering(Math.max(READER_CANDIDATE_COUNT, limitCount))
			.filter(({address}) => !isStale(address))
			.slice(0, limitCount);

	const hasRelays = (): boolean => registry.nodesOf(self.region).length > DIRECT_FOLLOWER_COUNT + 1;

	const listRelayNodes = (limitCount: number): readonly domain.RegisteredNode[] =>
		listAnswering(limitCount + 1).slice(1);

	const isRelayFollower = (): boolean =>
		hasRelays() && [...listReaders(), ...listRelayNodes(RELAY_COUNT)].every(({nodeId}) => nodeId !== self.nodeId);

	return {
		listReaders,
		hasRelays,
		isRelayFollower,
		listRelays(limitCount = SOURCE_COUNT) {
			if (!isRelayFollower()) {
				return [];
			}

			const relays = listRelayNodes(Math.max(RELAY_COUNT, limitCount));
			return rankByRendezvous(self.nodeId, relays, relays.length)
				.filter(({address, nodeId}) => !isStale(address) && nodeId !== self.nodeId)
				.slice(0, limitCount);
		},
		recordAnswer(role) {
			lastRelayAnswerAtMs = role === ports.RegistryRole.Follower ? lastRelayAnswerAtMs : clock.monotonicMs();
		},
		hasAnsweringRelay: () => isRelayFollower() && clock.monotonicMs() - lastRelayAnswerAtMs < RELAY_SILENCE_MS,
		isIncluded: address => !isStale(address) && !isSilent(address),
		excludeStale(address, durationMs) {
			staleUntilMs.set(address, clock.monotonicMs() + durationMs);
		},
		excludeSilent(address) {
			[...silences.keys()]
				.filter(silentAddress => !isSilent(silentAddress))
				.forEach(expiredAddress => silences.delete(expiredAddress));
			const last = silences.get(address);
			const durationMs = last ? Math.min(last.durationMs * 2, SILENCE_BACK_OFF.limitMs) : SILENCE_BACK_OFF.firstMs;
			silences.set(address, {untilMs: clock.monotonicMs() + durationMs, durationMs});
		},
		listDueSilentBefore: address =>
			listBefore(registry.rankReaders(SOURCE_COUNT + silences.size), address)
				.filter(node => clock.monotonicMs() >= (silences.get(node.address)?.untilMs ?? Number.POSITIVE_INFINITY))
				.slice(0, SOURCE_COUNT),
		include(address) {
			staleUntilMs.delete(address);
			silences.delete(address);
		},
	};
};
