import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {createBackOff} from '../shared/back-off.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import {STOP_REASON} from '../shared/stop-reason.js';
import {readPeerReply} from './peer-reply.js';
import type {PeerStanding} from './peer-standing.js';
import {createRegistrySources, SOURCE_COUNT} from './registry-sources.js';
import type {Registry} from './registry.js';
import type {StoreReader} from './store-reader.js';
import {NEVER_READ_AGE_MS} from './topic-ages.js';

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

/** How long a source that was stale or silent is passed over, so that the next of the ranking reads in its place. */
const ABSENCE_MS = 1000;

/** How a peer is asked. */
type PullOptions = {
	/** How long the peer may hold the pull open, in ms. */
	readonly waitMs: number;
	/** How long the peer is passed over when it is stale, in ms. */
	readonly staleAbsenceMs: number;
	/** How long the peer is passed over when it does not answer, in ms. */
	readonly silentAbsenceMs: number;
};

/** How readers are asked. The wait bounds how late a silent peer is noticed. */
const READER_PULL: PullOptions = {waitMs: 1000, staleAbsenceMs: ABSENCE_MS, silentAbsenceMs: ABSENCE_MS};

/** How relays ask readers. What they know must not be stale yet when it has reached their own followers. */
const READER_PULL_OF_RELAY: PullOptions = {...READER_PULL, waitMs: 500};

/**
 * How a node that knows nothing yet asks. After the loss of all nodes the peers that it asks may wait for others themselves,
 * and the node that reads the store may not be up yet.
 */
const FIRST_PULL: PullOptions = {waitMs: 150, staleAbsenceMs: 50, silentAbsenceMs: 50};

/** How relays are asked. A stale one is fresh again as soon as it has found another reader. */
const RELAY_PULL: PullOptions = {...READER_PULL, staleAbsenceMs: 300};

/** Time beyond the wait after which a pull has failed: two round trips between regions and a slow node. */
const PULL_SLACK_MS = 600;

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
	const sources = createRegistrySources({self, registry, clock});
	let stay = {address: '', untilMs: 0};
	let nextOwnReadAtMs = 0;
	let lastSource = '';

	/** Whether the node has never known the catalogue or the targets. */
	const isUnread = (): boolean => registry.ageMs() >= NEVER_READ_AGE_MS;

	const noteSource = (source: string): void => {
		if (source !== lastSource) {
			const topicAgesMs = registry.topicAgesMs();
			logger.info('registry source changed', {event: ports.LogEvent.RegistrySourceChanged, source, topicAgesMs});
			lastSource = source;
		}
	};

	/** Whether the peer gave an answer that is fresh. */
	const pullFrom = async (address: string, request: PullOptions): Promise<boolean> => {
		const {waitMs, staleAbsenceMs, silentAbsenceMs} = isUnread() ? FIRST_PULL : request;
		const fromOffsets = {
			[ports.RegistryTopic.Catalogue]: registry.replicas.catalogue.nextOffset(),
			[ports.RegistryTopic.Targets]: registry.replicas.targets.nextOffset(),
			[ports.RegistryTopic.Nodes]: registry.replicas.nodes.nextOffset(),
		};
		const timed = await runWithTimeout(
			{clock, timeoutMs: waitMs + PULL_SLACK_MS, progressTimeoutMs: PULL_SLACK_MS, signal},
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
			peerStanding.recordFailure(address, reply.error.detail);
			registry.setSourceLost(true);
			sources.passOver(address, silentAbsenceMs);
			return false;
		}

		peerStanding.recordSuccess(address);
		const {topics, isStale, topicAgesMs} = reply.value;
		registry.apply(topics, topicAgesMs);
		registry.setSourceLost(isStale);
		if (isStale) {
			sources.passOver(address, staleAbsenceMs);
		} else {
			sources.readmit(address);
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

	/**
	 * Learns who the others are, from the store or else from the seeds. In a small region a node whose reader knows nothing yet
	 * reads the rest from the store as well; in a large one that would be too many copies at once.
	 */
	const start = async (): Promise<void> => {
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

	/** A reader that lost the store follows the others for a while, since the store may refuse this node only. */
	const notePause = (isLost: boolean): void => {
		if (!isLost) {
			lostBackOff.reset();
			return;
		}

		sources.passOver(self.address, lostBackOff.nextMs());
	};

	/** Sources in the order in which they are asked: the one that was fresh a moment ago, then by rank. */
	const orderByStay = (nodes: readonly domain.RegisteredNode[]): readonly domain.RegisteredNode[] => {
		const isStaying = clock.monotonicMs() < stay.untilMs;
		return isStaying
			? nodes.toSorted((left, right) => Number(right.address === stay.address) - Number(left.address === stay.address))
			: nodes;
	};

	const pullFromAny = async (nodes: readonly domain.RegisteredNode[], request: PullOptions): Promise<boolean> => {
		for (const {address} of nodes) {
			if (await pullFrom(address, request)) {
				const isNew = stay.address !== address || clock.monotonicMs() >= stay.untilMs;
				stay = isNew ? {address, untilMs: clock.monotonicMs() + SOURCE_STAY_MS} : stay;
				return true;
			}
		}

		return false;
	};

	/** Pulls from the relays, or from the readers when there are none. True when one was fresh. */
	const pullOnce = async (): Promise<boolean> => {
		const relays = sources.listRelays();
		if (relays.length > 0) {
			// Relays that are stale or know nothing yet are no reason to ask the reader, which all nodes of the region would do.
			return pullFromAny(orderByStay(relays.slice(0, SOURCE_COUNT)), RELAY_PULL);
		}

		const readers = sources.listReaders().filter(({nodeId}) => nodeId !== self.nodeId);
		return pullFromAny(orderByStay(readers), sources.hasRelays() ? READER_PULL_OF_RELAY : READER_PULL);
	};

	/** One round of a node that does not read for others: learns from peers, or reads for itself. */
	const followOnce = async (): Promise<void> => {
		const isFresh = await pullOnce();
		if (isFresh || signal.aborted) {
			staleBackOff.reset();
			ownReadBackOff.reset();
			return;
		}

		if (sources.listRelays().length > 0) {
			await clock.sleep(isUnread() ? 0 : staleBackOff.nextMs(), signal);
			return;
		}

		if (sources.listReaders().length > 0) {
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
		const isFirst = (): boolean => sources.listReaders()[0]?.nodeId === self.nodeId;
		if (isFirst()) {
			logger.info('reading the store for the region', {event: ports.LogEvent.ReaderStarted});
			noteSource(STORE_SOURCE);
			notePause(await readAsReader(isFirst));
		} else {
			await followOnce();
		}
	}
};
