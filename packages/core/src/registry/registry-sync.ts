import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {createBackOff} from '../shared/back-off.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import {STOP_REASON} from '../shared/stop-reason.js';
import {readPeerReply} from './peer-reply.js';
import type {PeerReachability} from './peer-reachability.js';
import {createRegistrySources, SOURCE_COUNT} from './registry-sources.js';
import type {Registry} from './registry.js';
import type {StoreReader} from './store-reader.js';
import {NEVER_READ_AGE_MS} from './topic-ages.js';

export type RegistrySyncOptions = {
	readonly self: domain.RegisteredNode;
	/** Addresses of nodes to pull from at startup when the store does not answer; they may be out of date. */
	readonly seedAddresses: readonly string[];
	readonly registry: Registry;
	readonly storeReader: StoreReader;
	readonly peerClient: ports.FleetPeerClient;
	readonly peerReachability: PeerReachability;
	readonly clock: ports.Clock;
	readonly random: ports.Random;
	readonly logger: ports.Logger;
	readonly metrics: ports.Metrics;
};

/** How long a source that was stale or did not answer is excluded, so that the next in the ranking reads in its place. */
const SOURCE_EXCLUSION_MS = 1000;

/** Time limits of a pull from a peer. */
type PullOptions = {
	/** How long the peer may hold the pull open, in ms. */
	readonly waitMs: number;
	/** How long the peer is excluded if it is stale, in ms. */
	readonly staleExclusionMs: number;
	/** How long the peer is excluded if it does not answer, in ms. */
	readonly noAnswerExclusionMs: number;
};

/** Pulls from readers. The wait limits how late a peer that does not answer is detected. */
const READER_PULL: PullOptions = {
	waitMs: 1000,
	staleExclusionMs: SOURCE_EXCLUSION_MS,
	noAnswerExclusionMs: SOURCE_EXCLUSION_MS,
};

/** Pulls of relays from readers. The shorter wait keeps records from becoming stale before they reach the relay's followers. */
const READER_PULL_OF_RELAY: PullOptions = {...READER_PULL, waitMs: 500};

/**
 * Pulls of a node that has no records yet. After a restart of all nodes its peers may have no records either, and the reader
 * may not be running yet, so it tries them in quick succession.
 */
const BOOTSTRAP_PULL: PullOptions = {waitMs: 150, staleExclusionMs: 50, noAnswerExclusionMs: 50};

/** Pulls from relays. A stale relay is excluded only briefly, since it is fresh again once it has found another reader. */
const RELAY_PULL: PullOptions = {...READER_PULL, staleExclusionMs: 300};

/** Reply time allowed beyond a pull's wait: two round trips between regions and a margin for slow nodes. */
const PULL_TIMEOUT_MARGIN_MS = 600;

/** Interval at which a reader checks whether it still ranks first and is not stale. */
const READER_CHECK_INTERVAL_MS = 1000;

/** Pauses of a follower after all its sources were stale, before it pulls again. */
const STALE_BACK_OFF = {firstMs: 150, limitMs: 400};

/** How long a follower stays with a fresh source before it tries the first in the ranking again. */
const STICKY_SOURCE_MS = 4000;

/** Pauses of a reader that cannot read the store, before it becomes a reader again. */
const LOST_STORE_BACK_OFF = {firstMs: 500, limitMs: 1000};

/** Pauses between a follower's own store reads while every reader is stale; long, because all followers read then. */
const OWN_READ_BACK_OFF = {firstMs: 1500, limitMs: 4000};

/** Value of `source` in log lines when the registry is read from the store. */
const STORE_SOURCE = 'store';

/**
 * Keeps the registry up to date until the signal is aborted. The node that ranks first in its region, the reader, reads the
 * store. The others, its followers, pull from the reader or, in a large region, from relays.
 */
export const runRegistrySync = async (options: RegistrySyncOptions, signal: AbortSignal): Promise<void> => {
	const {self, registry, peerReachability, clock, logger} = options;
	const ownReadBackOff = createBackOff({random: options.random, ...OWN_READ_BACK_OFF});
	const staleBackOff = createBackOff({random: options.random, ...STALE_BACK_OFF});
	const lostStoreBackOff = createBackOff({random: options.random, ...LOST_STORE_BACK_OFF});
	const sources = createRegistrySources({self, registry, clock});
	let stickySource = {address: '', untilMs: 0};
	let nextOwnReadAtMs = 0;
	let lastSource = '';

	/** True until the node has read both the catalogue and the targets. */
	const hasNeverRead = (): boolean => registry.ageMs() >= NEVER_READ_AGE_MS;

	const recordSource = (source: string): void => {
		if (source !== lastSource) {
			const topicAgesMs = registry.topicAgesMs();
			logger.info('registry source changed', {event: ports.LogEvent.RegistrySourceChanged, source, topicAgesMs});
			lastSource = source;
		}
	};

	/** Logs and counts the records of a peer that cannot be read, such as those of a newer version of the program. */
	const reportUnreadable = (peer: string, topics: ports.PullRegistryReply['topics']): void => {
		Object.values(ports.RegistryTopic).forEach(topic => {
			const effect = ports.UNREADABLE_RECORD_EFFECTS[topic];
			(topics[topic].records as ReadonlyArray<ports.RegistryRecord<ports.RegistryTopic>>)
				.filter(({isUnreadable}) => isUnreadable)
				.forEach(({key, offset}) => {
					options.metrics.increment(ports.CounterName.UnreadableRecords, {topic, effect});
					logger.warn('record of a peer cannot be read', {
						event: ports.LogEvent.RecordUnusable,
						topic,
						key,
						offset,
						effect,
						peer,
					});
				});
		});
	};

	/** Pulls changes from a peer and applies them. True if the peer answered and is not stale. */
	const pullFrom = async (address: string, pullOptions: PullOptions): Promise<boolean> => {
		const {waitMs, staleExclusionMs, noAnswerExclusionMs} = hasNeverRead() ? BOOTSTRAP_PULL : pullOptions;
		const fromOffsets = {
			[ports.RegistryTopic.Catalogue]: registry.replicas.catalogue.nextOffset(),
			[ports.RegistryTopic.Targets]: registry.replicas.targets.nextOffset(),
			[ports.RegistryTopic.Nodes]: registry.replicas.nodes.nextOffset(),
		};
		const timed = await runWithTimeout(
			{clock, timeoutMs: waitMs + PULL_TIMEOUT_MARGIN_MS, progressTimeoutMs: PULL_TIMEOUT_MARGIN_MS, signal},
			async (pullSignal, noteProgress) =>
				options.peerClient.request(
					address,
					ports.FleetMessageKind.PullRegistry,
					{fromOffsets, waitMs},
					{signal: pullSignal, noteProgress},
				),
		);
		if (signal.aborted) {
			return false;
		}

		const reply = readPeerReply(timed);
		if (reply.isErr()) {
			peerReachability.recordFailure(address, reply.error.detail);
			registry.setSourceLost(true);
			sources.exclude(address, noAnswerExclusionMs);
			return false;
		}

		peerReachability.recordSuccess(address);
		const {topics, isStale, topicAgesMs} = reply.value;
		reportUnreadable(address, topics);
		registry.apply(topics, topicAgesMs);
		registry.setSourceLost(isStale);
		if (isStale) {
			sources.exclude(address, staleExclusionMs);
		} else {
			sources.include(address);
			recordSource(address);
		}

		return !isStale;
	};

	/** Reads the store while the node is the reader and the registry is not stale. True if it became stale. */
	const readAsReader = async (isStillReader: () => boolean): Promise<boolean> => {
		const controller = new AbortController();
		const stop = (): void => {
			controller.abort(STOP_REASON);
		};

		signal.addEventListener('abort', stop, {once: true});
		const reading = options.storeReader.run(controller.signal);
		do {
			await clock.sleep(READER_CHECK_INTERVAL_MS, signal);
		} while (!signal.aborted && !registry.isStale() && isStillReader());

		const isLost = registry.isStale();
		stop();
		signal.removeEventListener('abort', stop);
		await reading;
		return isLost;
	};

	/**
	 * Reads the nodes from the store, or pulls from the seeds if the store does not answer. In a small region a node whose reader
	 * is not fresh also reads the other topics from the store; in a large one that would be too many copies at once.
	 */
	const bootstrap = async (): Promise<void> => {
		if (await options.storeReader.readNodes(signal)) {
			const [reader] = sources.listReaders();
			const isFollower = reader !== undefined && reader.nodeId !== self.nodeId && !sources.hasRelays();
			if (isFollower && !(await pullFrom(reader.address, READER_PULL))) {
				await options.storeReader.readOnce(signal);
			}

			return;
		}

		const seeds = options.seedAddresses.filter(address => address !== self.address);
		await Promise.all(seeds.map(async address => pullFrom(address, READER_PULL)));
	};

	/** Makes a reader that lost the store follow other nodes for a while, since the store may refuse this node only. */
	const excludeSelfIfLost = (isLost: boolean): void => {
		if (!isLost) {
			lostStoreBackOff.reset();
			return;
		}

		sources.exclude(self.address, lostStoreBackOff.nextMs());
	};

	/** Orders sources for pulls: the last fresh one for up to `STICKY_SOURCE_MS`, then by rank. */
	const putStickySourceFirst = (nodes: readonly domain.RegisteredNode[]): readonly domain.RegisteredNode[] => {
		const isSticky = clock.monotonicMs() < stickySource.untilMs;
		return isSticky
			? nodes.toSorted(
					(left, right) =>
						Number(right.address === stickySource.address) - Number(left.address === stickySource.address),
				)
			: nodes;
	};

	const pullFromAny = async (nodes: readonly domain.RegisteredNode[], pullOptions: PullOptions): Promise<boolean> => {
		for (const {address} of nodes) {
			if (await pullFrom(address, pullOptions)) {
				const isNew = stickySource.address !== address || clock.monotonicMs() >= stickySource.untilMs;
				stickySource = isNew ? {address, untilMs: clock.monotonicMs() + STICKY_SOURCE_MS} : stickySource;
				return true;
			}
		}

		return false;
	};

	/** Pulls from the relays, or from the readers if this node has no relays. True if one was fresh. */
	const pullOnce = async (): Promise<boolean> => {
		const relays = sources.listRelays();
		if (relays.length > 0) {
			// No fallback to the reader when the relays are stale or have no records: all nodes of the region would pull from it.
			return pullFromAny(putStickySourceFirst(relays.slice(0, SOURCE_COUNT)), RELAY_PULL);
		}

		const readers = sources.listReaders().filter(({nodeId}) => nodeId !== self.nodeId);
		return pullFromAny(putStickySourceFirst(readers), sources.hasRelays() ? READER_PULL_OF_RELAY : READER_PULL);
	};

	/** One round of a node that is not the reader: pulls from peers, or reads the store if all of them are stale. */
	const followOnce = async (): Promise<void> => {
		const isFresh = await pullOnce();
		if (isFresh || signal.aborted) {
			staleBackOff.reset();
			ownReadBackOff.reset();
			return;
		}

		if (sources.listRelays().length > 0) {
			await clock.sleep(hasNeverRead() ? 0 : staleBackOff.nextMs(), signal);
			return;
		}

		if (sources.listReaders().length > 0) {
			// Readers that were not fresh are excluded now, so the next in the ranking, maybe this node, becomes the reader.
			return;
		}

		if (registry.isStale() && clock.monotonicMs() >= nextOwnReadAtMs) {
			nextOwnReadAtMs = clock.monotonicMs() + ownReadBackOff.nextMs();
			recordSource(STORE_SOURCE);
			await options.storeReader.readOnce(signal);
		}

		await clock.sleep(staleBackOff.nextMs(), signal);
	};

	await bootstrap();
	while (!signal.aborted) {
		const isFirstReader = (): boolean => sources.listReaders()[0]?.nodeId === self.nodeId;
		if (isFirstReader()) {
			logger.info('started reading the store for the region', {event: ports.LogEvent.ReaderStarted});
			recordSource(STORE_SOURCE);
			excludeSelfIfLost(await readAsReader(isFirstReader));
		} else {
			await followOnce();
		}
	}
};
