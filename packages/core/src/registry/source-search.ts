import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import {isOfOlderEra, readPeerReply} from './peer-reply.js';
import type {RegistrySources} from './registry-sources.js';
import type {Registry} from './registry.js';

export type SourceSearchOptions = {
	readonly sources: RegistrySources;
	readonly registry: Pick<Registry, 'recordStoreAnswers' | 'eras'>;
	readonly peerClient: ports.FleetPeerClient;
	readonly clock: ports.Clock;
};

/** What a check of a peer has shown. */
enum SourceState {
	/** It did not answer in time. */
	Silent = 'silent',
	/** It has lost its own source, and may become the reader, or has not read the store's newest era yet. */
	Searching = 'searching',
	/** It is the reader and has lost the store. */
	LostStore = 'lost-store',
	/** It is up to date. */
	Fresh = 'fresh',
	/** It is up to date and reads the store itself. */
	Reading = 'reading',
}

/** Finds peers from which to pull, by short checks of several peers at once, so that silent ones do not delay the search. */
export type SourceSearch = {
	/**
	 * The first of the candidates, in their order, that reads the store, or else the first that is up to date. Waits for the
	 * others only briefly once one is up to date.
	 */
	findSource(candidates: readonly domain.RegisteredNode[], signal: AbortSignal): Promise<FoundSource>;
	/** The first of the candidates that reads the store. */
	findReader(
		candidates: readonly domain.RegisteredNode[],
		signal: AbortSignal,
	): Promise<domain.RegisteredNode | undefined>;
	/** Checks all candidates, only to learn what they know of the store's answers. */
	askAll(candidates: readonly domain.RegisteredNode[], signal: AbortSignal): Promise<void>;
};

export type FoundSource = {
	readonly node: domain.RegisteredNode | undefined;
	/** Whether at least one candidate answered, up to date or not. */
	readonly hasAnswer: boolean;
};

/** Time limit for an answer to a check, in ms. A slow peer is only passed over as a source, so the limit may be short. */
const CHECK_TIMEOUT_MS = 300;

/** How long the other candidates are waited for once one is up to date, in ms. */
const BETTER_SOURCE_WAIT_MS = 50;

/** How long a reader that has lost the store is excluded, in ms. */
const LOST_STORE_EXCLUSION_MS = 1000;

/** How long a peer that has lost its source is excluded, in ms; it finds another one or becomes the reader soon. */
const SEARCHING_EXCLUSION_MS = 200;

/** Beyond the last record of every topic, so that the reply to a check carries no records. */
const NO_RECORDS_OFFSET = Number.MAX_SAFE_INTEGER;

const CHECK_REQUEST: ports.PullRegistryRequest = {
	fromOffsets: {
		[ports.RegistryTopic.Catalogue]: NO_RECORDS_OFFSET,
		[ports.RegistryTopic.Targets]: NO_RECORDS_OFFSET,
		[ports.RegistryTopic.Nodes]: NO_RECORDS_OFFSET,
	},
	waitMs: 0,
};

const STALE_STATES: Record<ports.RegistryRole, SourceState> = {
	[ports.RegistryRole.Follower]: SourceState.Searching,
	[ports.RegistryRole.Relay]: SourceState.Searching,
	[ports.RegistryRole.StartingReader]: SourceState.LostStore,
	[ports.RegistryRole.Reader]: SourceState.LostStore,
};

const FRESH_STATES: Record<ports.RegistryRole, SourceState> = {
	[ports.RegistryRole.Follower]: SourceState.Fresh,
	[ports.RegistryRole.Relay]: SourceState.Fresh,
	[ports.RegistryRole.StartingReader]: SourceState.Fresh,
	[ports.RegistryRole.Reader]: SourceState.Reading,
};

/** Records the result of a check in the sources. */
const STATE_RECORDERS: Record<SourceState, (sources: RegistrySources, address: string) => void> = {
	[SourceState.Silent](sources, address) {
		sources.excludeSilent(address);
	},
	[SourceState.Searching](sources, address) {
		sources.excludeStale(address, SEARCHING_EXCLUSION_MS);
	},
	[SourceState.LostStore](sources, address) {
		sources.excludeStale(address, LOST_STORE_EXCLUSION_MS);
	},
	[SourceState.Fresh](sources, address) {
		sources.include(address);
	},
	[SourceState.Reading](sources, address) {
		sources.include(address);
	},
};

export const createSourceSearch = ({sources, registry, peerClient, clock}: SourceSearchOptions): SourceSearch => {
	const check = async (address: string, signal: AbortSignal): Promise<SourceState> => {
		// Checks end soon by themselves, and many listeners on one signal would make Node.js print a warning.
		const limits = {clock, timeoutMs: CHECK_TIMEOUT_MS, signal: new AbortController().signal};
		const timed = await runWithTimeout(limits, async checkSignal =>
			peerClient.request(address, ports.FleetMessageKind.PullRegistry, CHECK_REQUEST, {signal: checkSignal}),
		);
		const state = readPeerReply(timed).match(
			({topics, isStale, role, storeAnswers, storeEra}) => {
				sources.recordAnswer(role);
				if (storeAnswers) {
					registry.recordStoreAnswers(storeAnswers);
				}

				registry.eras.recordPeer(storeEra);
				if (isOfOlderEra(topics, registry)) {
					return SourceState.Searching;
				}

				return (isStale ? STALE_STATES : FRESH_STATES)[role];
			},
			() => SourceState.Silent,
		);
		if (!signal.aborted) {
			STATE_RECORDERS[state](sources, address);
		}

		return state;
	};

	return {
		async findSource(candidates, signal) {
			const states = new Map<domain.RegisteredNode, SourceState>();
			const foundOne = new AbortController();
			const checks = candidates.map(async node => {
				const state = await check(node.address, signal);
				states.set(node, state);
				if (state === SourceState.Fresh || state === SourceState.Reading) {
					foundOne.abort();
				}
			});
			await Promise.race([Promise.all(checks), clock.sleep(2 * CHECK_TIMEOUT_MS, foundOne.signal)]);
			foundOne.abort();
			if (states.size < candidates.length) {
				await Promise.race([Promise.all(checks), clock.sleep(BETTER_SOURCE_WAIT_MS, signal)]);
			}

			const findIn = (wanted: SourceState) => candidates.find(node => states.get(node) === wanted);
			return {
				node: findIn(SourceState.Reading) ?? findIn(SourceState.Fresh),
				hasAnswer: [...states.values()].some(state => state !== SourceState.Silent),
			};
		},
		async findReader(candidates, signal) {
			const states = await Promise.all(candidates.map(async ({address}) => check(address, signal)));
			return candidates.find((_node, index) => states[index] === SourceState.Reading);
		},
		async askAll(candidates, signal) {
			await Promise.all(candidates.map(async ({address}) => check(address, signal)));
		},
	};
};
