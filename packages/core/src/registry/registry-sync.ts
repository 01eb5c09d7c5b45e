import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {createBackOff} from '../shared/back-off.js';
import {STOP_REASON} from '../shared/stop-reason.js';
import type {PeerReachability} from './peer-reachability.js';
import {createRegistryPuller, type PullOptions} from './registry-puller.js';
import {createRegistrySources, listBefore, SOURCE_COUNT} from './registry-sources.js';
import {limitRecordAge} from './record-age-limit.js';
import type {Registry} from './registry.js';
import {createSourceSearch} from './source-search.js';
import type {StoreReader} from './store-reader.js';
import {NEVER_READ_AGE_MS} from './topic-ages.js';
import {verifyOutages} from './verify-outages.js';

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

/** Pulls from readers. The wait limits how late a peer that does not answer is detected. */
const READER_PULL: PullOptions = {waitMs: 500, staleExclusionMs: 1000};

/** Pulls of relays from readers. The shorter wait keeps records from becoming stale before they reach the relay's followers. */
const READER_PULL_OF_RELAY: PullOptions = {...READER_PULL, waitMs: 250};

/** Pulls from relays. A stale relay is excluded only briefly, since it is fresh again once it has found another reader. */
const RELAY_PULL: PullOptions = {...READER_PULL, staleExclusionMs: 300};

/**
 * Pulls of a node that has no records yet. After a restart of all nodes its peers may have no records either, and the reader
 * may not be running yet, so it tries them in quick succession.
 */
const BOOTSTRAP_PULL: PullOptions = {waitMs: 150, staleExclusionMs: 50, noAnswerExclusionMs: 50};

/** Pause of a node without records whose relays are all excluded, in ms. */
const BOOTSTRAP_PAUSE_MS = 50;

/** Interval at which a reader checks whether it still ranks first and is not stale. */
const READER_CHECK_INTERVAL_MS = 1000;

/** Interval at which a follower checks whether a node that ranks before its source is back, times 0.5 to 1.5. */
const SOURCE_CHECK_INTERVAL_MS = 4000;

/** Pauses of a follower after all its sources were stale, before it tries them again. */
const STALE_BACK_OFF = {firstMs: 150, limitMs: 400};

/** Pauses of a reader that cannot read the store, before it becomes a reader again. */
const LOST_STORE_BACK_OFF = {firstMs: 500, limitMs: 1000};

/** Pauses between own reads of a node that has no records and finds no source; long, because all nodes may be reading. */
const FIRST_READ_BACK_OFF = {firstMs: 1500, limitMs: 4000};

/** Most candidates that a follower checks at once. */
const SEARCH_WIDTH_LIMIT_COUNT = 96;

/** Value of `source` in log lines when the registry is read from the store. */
const STORE_SOURCE = 'store';

/**
 * Keeps the registry up to date until the signal is aborted. The node that ranks first in its region, the reader, reads the
 * store. The others, its followers, pull from the reader or, in a large region, from relays.
 *
 * A node gives up a source that works only for one that a check has shown to work, so that lost nodes that rank first do not
 * interrupt it. Candidates are checked at once, not in turn. Independent of both, a node whose records reach an
 * age limit reads the store itself, however many peers are lost, and in whatever way.
 */
export const runRegistrySync = async (options: RegistrySyncOptions, signal: AbortSignal): Promise<void> => {
	const {self, registry, clock, random, logger} = options;
	const firstReadBackOff = createBackOff({random, ...FIRST_READ_BACK_OFF});
	const staleBackOff = createBackOff({random, ...STALE_BACK_OFF});
	const lostStoreBackOff = createBackOff({random, ...LOST_STORE_BACK_OFF});
	const sources = createRegistrySources({self, registry, clock});
	const puller = createRegistryPuller({...options, sources});
	const search = createSourceSearch({sources, registry, peerClient: options.peerClient, clock});
	/** The peer whose last reply was fresh. */
	let source: string | undefined;
	let nextSourceCheckAtMs = 0;
	let nextOwnReadAtMs = 0;
	let searchWidth = SOURCE_COUNT;
	let isReading = false;
	let lastLoggedSource = '';

	/** True until the node has read both the catalogue and the targets. */
	const hasNeverRead = (): boolean => registry.ageMs() >= NEVER_READ_AGE_MS;

	const logSource = (current: string): void => {
		if (current !== lastLoggedSource) {
			const topicAgesMs = registry.topicAgesMs();
			logger.info('registry source changed', {
				event: ports.LogEvent.RegistrySourceChanged,
				source: current,
				topicAgesMs,
			});
			lastLoggedSource = current;
		}
	};

	/** Pulls changes from a peer and applies them. True if the peer answered and is not stale. */
	const pullFrom = async (address: string, pullOptions: PullOptions): Promise<boolean> => {
		const isFresh = await puller.pull(address, hasNeverRead() ? BOOTSTRAP_PULL : pullOptions, signal);
		if (isFresh) {
			logSource(address);
		}

		return isFresh;
	};

	/** Reads the store once, although this node is not the reader. */
	const readStore = async (): Promise<void> => {
		logSource(STORE_SOURCE);
		await options.storeReader.readOnce(signal);
	};

	/** Nodes that this one may pull from, best first: its relays, or the readers that rank before it. */
	const listCandidates = (limitCount = SOURCE_COUNT): readonly domain.RegisteredNode[] =>
		sources.isRelayFollower()
			? sources.listRelays(limitCount)
			: listBefore(sources.listReaders(limitCount), self.address);

	/** The node that reads the store and ranks before the given one, if there is one. */
	const findReaderBefore = async (address: string | undefined): Promise<string | undefined> => {
		const candidates = [...listBefore(sources.listReaders(), address), ...sources.listDueSilentBefore(address)];
		const reader = await search.findReader(
			candidates.filter(({nodeId}) => nodeId !== self.nodeId),
			signal,
		);
		return reader?.address;
	};

	/** Whether a node that ranks before this one reads the store, so that this one may stop. */
	const isReplaced = async (): Promise<boolean> => {
		source = await findReaderBefore(self.address);
		return source !== undefined;
	};

	/** Reads the store until the registry is stale or a better-ranked node reads it. True if the registry became stale. */
	const readAsReader = async (): Promise<boolean> => {
		const controller = new AbortController();
		const stop = (): void => {
			controller.abort(STOP_REASON);
		};

		signal.addEventListener('abort', stop, {once: true});
		isReading = true;
		const reading = options.storeReader.run(controller.signal);
		do {
			await clock.sleep(READER_CHECK_INTERVAL_MS, signal);
		} while (!signal.aborted && !registry.isStale() && !(await isReplaced()));

		const isLost = registry.isStale();
		stop();
		signal.removeEventListener('abort', stop);
		await reading;
		isReading = false;
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

		sources.excludeStale(self.address, lostStoreBackOff.nextMs());
	};

	/**
	 * One round of a node without records: pulls from its sources in turn. A pull waits for the peer's first records, which a
	 * check does not.
	 */
	const pullFirstRecords = async (): Promise<void> => {
		for (const {address} of listCandidates()) {
			if (await pullFrom(address, READER_PULL)) {
				source = address;
				return;
			}
		}

		if (sources.isRelayFollower()) {
			await clock.sleep(listCandidates().length > 0 ? 0 : BOOTSTRAP_PAUSE_MS, signal);
			return;
		}

		if (sources.listReaders().length > 0) {
			// Readers that were not fresh are excluded now, so the next in the ranking, maybe this node, becomes the reader.
			return;
		}

		if (clock.monotonicMs() >= nextOwnReadAtMs) {
			nextOwnReadAtMs = clock.monotonicMs() + firstReadBackOff.nextMs();
			await readStore();
		}

		await clock.sleep(staleBackOff.nextMs(), signal);
	};

	/** Finds a source among the candidates. Checks more of them after each search in which none answered. */
	const findSource = async (): Promise<void> => {
		const candidates = listCandidates(searchWidth);
		const dueSilent = sources.listDueSilentBefore(self.address);
		const found = await search.findSource([...candidates, ...dueSilent], signal);
		source = found.node?.address;
		searchWidth = found.hasAnswer ? SOURCE_COUNT : Math.min(searchWidth * 2, SEARCH_WIDTH_LIMIT_COUNT);
		const isNextReader = sources.listReaders()[0]?.nodeId === self.nodeId;
		if (source === undefined && !isNextReader && (found.hasAnswer || candidates.length === 0)) {
			await clock.sleep(staleBackOff.nextMs(), signal);
		}
	};

	/** Moves to a better-ranked source if a check shows that it works. */
	const checkBetterSources = async (): Promise<void> => {
		if (clock.monotonicMs() < nextSourceCheckAtMs) {
			return;
		}

		nextSourceCheckAtMs = clock.monotonicMs() + SOURCE_CHECK_INTERVAL_MS * (0.5 + random.fraction());
		const better = sources.isRelayFollower()
			? (await search.findSource(listBefore(listCandidates(), source), signal)).node?.address
			: await findReaderBefore(source);
		source = better ?? source;
	};

	/** One round of a node that is not the reader: pulls from its source, or finds one. */
	const followOnce = async (): Promise<void> => {
		registry.setRole(sources.isRelayFollower() ? ports.RegistryRole.Follower : ports.RegistryRole.Relay);
		if (hasNeverRead()) {
			await pullFirstRecords();
			return;
		}

		if (source === undefined || !sources.isIncluded(source)) {
			await findSource();
			return;
		}

		const readerPull = sources.hasRelays() ? READER_PULL_OF_RELAY : READER_PULL;
		const pulledAddress = source;
		const [isFresh] = await Promise.all([
			pullFrom(pulledAddress, sources.isRelayFollower() ? RELAY_PULL : readerPull),
			checkBetterSources(),
		]);
		if (isFresh) {
			staleBackOff.reset();
		} else if (source === pulledAddress) {
			source = undefined;
		}
	};

	const followOrRead = async (): Promise<void> => {
		while (!signal.aborted) {
			if (sources.listReaders()[0]?.nodeId === self.nodeId) {
				logger.info('started reading the store for the region', {event: ports.LogEvent.ReaderStarted});
				logSource(STORE_SOURCE);
				excludeSelfIfLost(await readAsReader());
			} else {
				await followOnce();
			}
		}
	};

	await bootstrap();
	await Promise.all([
		followOrRead(),
		verifyOutages({self, registry, random, clock, askPeers: search.askAll}, signal),
		limitRecordAge(
			{
				registry,
				clock,
				random,
				readStore,
				isExempt: () => isReading || hasNeverRead(),
				hasAnsweringRelay: sources.hasAnsweringRelay,
			},
			signal,
		),
	]);
};
