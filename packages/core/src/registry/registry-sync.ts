import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {createBackOff} from '../shared/back-off.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import {STOP_REASON} from '../shared/stop-reason.js';
import type {PeerStanding} from './peer-standing.js';
import type {Registry} from './registry.js';
import type {StoreReader} from './store-reader.js';

export type RegistrySyncOptions = {
	readonly self: domain.RegisteredNode;
	/** Addresses of nodes to ask at the start; they may be stale. */
	readonly seedAddresses: readonly string[];
	readonly registry: Registry;
	readonly storeReader: StoreReader;
	readonly peerClient: ports.FleetPeerClient;
	readonly peerStanding: PeerStanding;
	readonly clock: ports.Clock;
	readonly random: ports.Random;
	readonly logger: ports.Logger;
};

/** Key under which the nodes of a region are ranked for reading the store. */
const READER_KEY = 'registry-reader';

/** Nodes of a region that a follower asks before it looks for others. */
const READER_COUNT = 3;

/** Nodes of a region that may read the store for the others; the store may refuse a third of all nodes at once. */
const CANDIDATE_COUNT = 6;

/** How long a source that was stale or silent is passed over, so that the next of the ranking reads in its place. */
const STALE_ABSENCE_MS = 1000;

/** How long a peer may hold a pull open. It bounds how late a silent peer is noticed. */
const PULL_WAIT_MS = 1000;

/** Time beyond the wait after which a pull has failed: two round trips between regions and a slow node. */
const PULL_SLACK_MS = 600;

/** How long a new node waits for a seed before it reads the store itself. */
const SEED_WAIT_MS = 800;

/** How often a reader checks whether it still ranks first. */
const READER_TURN_MS = 1000;

/** Pauses of a follower whose sources are all stale, before it asks them again. */
const STALE_BACK_OFF = {firstMs: 150, limitMs: 400};

/** How long a follower stays with a source that was fresh, before it asks the first of the ranking again. */
const SOURCE_STAY_MS = 4000;

/** Pauses of a reader that lost the store, before it reads for others again. */
const LOST_STORE_BACK_OFF = {firstMs: 500, limitMs: 1000};

/** Pause of a follower between reads of its own when every reader is stale; long, because all followers do the same. */
const OWN_READ_BACK_OFF = {firstMs: 1500, limitMs: 4000};

/** Name of the store in log lines about the source of the registry. */
const STORE_SOURCE = 'store';

/** Keeps the registry up to date, from the store or from peers, until the signal is aborted. */
export const runRegistrySync = async (options: RegistrySyncOptions, signal: AbortSignal): Promise<void> => {
	const {self, registry, peerStanding, clock, logger} = options;
	const ownReadBackOff = createBackOff({random: options.random, ...OWN_READ_BACK_OFF});
	const staleBackOff = createBackOff({random: options.random, ...STALE_BACK_OFF});
	const lostBackOff = createBackOff({random: options.random, ...LOST_STORE_BACK_OFF});
	let stay = {address: '', untilMs: 0};
	let nextOwnReadAtMs = 0;
	let lastSource = '';

	const passedOverUntilMs = new Map<string, number>();
	let lostUntilMs = 0;

	/** Nodes that read the store or are about to, best first, without those that just turned out to be stale. */
	const rankReaders = (): readonly domain.RegisteredNode[] => {
		const nowMs = clock.monotonicMs();
		return registry
			.rankNodes(READER_KEY, self.region, CANDIDATE_COUNT)
			.filter(({nodeId, address}) =>
				nodeId === self.nodeId ? nowMs >= lostUntilMs : nowMs >= (passedOverUntilMs.get(address) ?? 0),
			)
			.slice(0, READER_COUNT);
	};

	const passOver = (address: string): void => {
		passedOverUntilMs.set(address, clock.monotonicMs() + STALE_ABSENCE_MS);
	};

	const noteSource = (source: string): void => {
		if (source !== lastSource) {
			const topicAgesMs = registry.topicAgesMs();
			logger.info('registry source changed', {event: ports.LogEvent.RegistrySourceChanged, source, topicAgesMs});
			lastSource = source;
		}
	};

	/** Whether the peer gave an answer that is fresh. */
	const pullFrom = async (address: string, waitMs: number): Promise<boolean> => {
		const fromOffsets = {
			[ports.RegistryTopic.Catalogue]: registry.replicas.catalogue.nextOffset(),
			[ports.RegistryTopic.Targets]: registry.replicas.targets.nextOffset(),
			[ports.RegistryTopic.Nodes]: registry.replicas.nodes.nextOffset(),
		};
		const timed = await runWithTimeout({clock, timeoutMs: waitMs + PULL_SLACK_MS, signal}, async pullSignal =>
			options.peerClient.request(address, ports.FleetMessageKind.PullRegistry, {fromOffsets, waitMs}, pullSignal),
		);
		if (signal.aborted) {
			return false;
		}

		if (timed.isTimedOut || timed.value.isErr()) {
			peerStanding.recordFailure(address);
			registry.setSourceLost(true);
			passOver(address);
			return false;
		}

		peerStanding.recordSuccess(address);
		const {topics, isStale, topicAgesMs} = timed.value.value;
		registry.apply(topics, topicAgesMs);
		registry.setSourceLost(isStale);
		if (isStale) {
			passOver(address);
		} else {
			passedOverUntilMs.delete(address);
			noteSource(address);
		}

		return !isStale;
	};

	/** Reads the store for as long as the node is a reader and the store answers. True when the store was lost. */
	const readAsReader = async (isStillReader: () => boolean): Promise<boolean> => {
		const controller = new AbortController();
		const stop = (): void => {
			controller.abort(STOP_REASON);
		};

		signal.addEventListener('abort', stop, {once: true});
		const reading = options.storeReader.run(controller.signal);
		do {
			await clock.sleep(READER_TURN_MS, signal);
		} while (!signal.aborted && !registry.isStale() && isStillReader());

		const isLost = registry.isStale();
		stop();
		signal.removeEventListener('abort', stop);
		await reading;
		return isLost;
	};

	const start = async (): Promise<void> => {
		const isSeed = options.seedAddresses.includes(self.address);
		const others = options.seedAddresses.filter(address => address !== self.address);
		const isFresh =
			!isSeed && (await Promise.all(others.map(async address => pullFrom(address, SEED_WAIT_MS)))).some(Boolean);
		if (!isFresh) {
			await options.storeReader.readOnce(signal);
		}
	};

	/** A reader that lost the store follows the others for a while, since the store may refuse this node only. */
	const notePause = (isLost: boolean): void => {
		if (!isLost) {
			lostBackOff.reset();
			return;
		}

		lostUntilMs = clock.monotonicMs() + lostBackOff.nextMs();
	};

	/** Sources in the order in which they are asked: the one that was fresh a moment ago, then by rank. */
	const orderSources = (readers: readonly domain.RegisteredNode[]): readonly domain.RegisteredNode[] => {
		const isStaying = clock.monotonicMs() < stay.untilMs;
		return isStaying
			? readers.toSorted(
					(left, right) => Number(right.address === stay.address) - Number(left.address === stay.address),
				)
			: readers;
	};

	const pullFromAny = async (sources: readonly domain.RegisteredNode[]): Promise<boolean> => {
		for (const {address} of sources) {
			if (await pullFrom(address, PULL_WAIT_MS)) {
				const isNew = stay.address !== address || clock.monotonicMs() >= stay.untilMs;
				stay = isNew ? {address, untilMs: clock.monotonicMs() + SOURCE_STAY_MS} : stay;
				return true;
			}
		}

		return false;
	};

	/** One round of a node that does not read for others: pulls from the readers, or reads for itself. */
	const followOnce = async (readers: readonly domain.RegisteredNode[]): Promise<void> => {
		const isFresh = await pullFromAny(orderSources(readers.filter(({nodeId}) => nodeId !== self.nodeId)));
		if (isFresh || signal.aborted) {
			staleBackOff.reset();
			ownReadBackOff.reset();
			return;
		}

		if (rankReaders().length > 0) {
			// The next of the ranking reads now, or this node does.
			return;
		}

		if (registry.isStale() && clock.monotonicMs() >= nextOwnReadAtMs) {
			nextOwnReadAtMs = clock.monotonicMs() + ownReadBackOff.nextMs();
			noteSource(STORE_SOURCE);
			await options.storeReader.readOnce(signal);
		}

		await clock.sleep(staleBackOff.nextMs(), signal);
	};

	await start();
	while (!signal.aborted) {
		const isFirst = (): boolean => rankReaders()[0]?.nodeId === self.nodeId;
		if (isFirst()) {
			logger.info('reading the store for the region', {event: ports.LogEvent.ReaderStarted});
			noteSource(STORE_SOURCE);
			notePause(await readAsReader(isFirst));
		} else {
			await followOnce(rankReaders());
		}
	}
};
