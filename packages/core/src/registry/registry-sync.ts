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

/** Nodes of a region that may read the store for the others; more than two rarely fail together. */
const READER_COUNT = 3;

/** How long a peer may hold a pull open. It bounds how late a silent peer is noticed. */
const PULL_WAIT_MS = 1000;

/** Time beyond the wait after which a pull has failed: two round trips between regions and a slow node. */
const PULL_SLACK_MS = 600;

/** Age from which what a peer knows is stale; two missed reads of the targets' topic. */
const STALE_AGE_MS = 2200;

/** How long a new node waits for a seed before it reads the store itself. */
const SEED_WAIT_MS = 800;

/** How often a reader checks whether it still ranks first. */
const READER_TURN_MS = 1000;

/** Pause of a follower between reads of its own when every reader is stale; long, because all followers do the same. */
const OWN_READ_BACK_OFF = {firstMs: 1500, limitMs: 4000};

/** Turns that a node reads in place of stale readers before it asks them again. */
const STAND_IN_TURN_COUNT = 4;

/** Keeps the registry up to date, from the store or from peers, until the signal is aborted. */
export const runRegistrySync = async (options: RegistrySyncOptions, signal: AbortSignal): Promise<void> => {
	const {self, registry, peerStanding, clock} = options;
	const ownReadBackOff = createBackOff({random: options.random, ...OWN_READ_BACK_OFF});

	const rankReaders = (): readonly domain.RegisteredNode[] => registry.rankNodes(READER_KEY, self.region, READER_COUNT);

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
			return false;
		}

		peerStanding.recordSuccess(address);
		registry.apply(timed.value.value.topics, timed.value.value.ageMs);
		return timed.value.value.ageMs < STALE_AGE_MS;
	};

	/** Reads the store while this node ranks first, or while those before it are stale. */
	const readAsReader = async (isStillReader: () => boolean): Promise<void> => {
		const controller = new AbortController();
		const stop = (): void => {
			controller.abort(STOP_REASON);
		};

		signal.addEventListener('abort', stop, {once: true});
		const reading = options.storeReader.run(controller.signal);
		do {
			await clock.sleep(READER_TURN_MS, signal);
		} while (!signal.aborted && isStillReader());

		stop();
		signal.removeEventListener('abort', stop);
		await reading;
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

	/** One round of a node that does not rank first: pulls from the readers before it, or reads on its own. */
	const followOnce = async (readers: readonly domain.RegisteredNode[]): Promise<void> => {
		const ownRank = readers.findIndex(({nodeId}) => nodeId === self.nodeId);
		const sources = ownRank === -1 ? readers : readers.slice(0, ownRank);
		for (const {address} of sources) {
			if (await pullFrom(address, PULL_WAIT_MS)) {
				ownReadBackOff.reset();
				return;
			}
		}

		if (signal.aborted) {
			return;
		}

		if (ownRank !== -1) {
			options.logger.info('reading the store in place of stale readers', {event: 'reader-took-over', ownRank});
			let turnsLeft = STAND_IN_TURN_COUNT;
			await readAsReader(() => registry.ageMs() < STALE_AGE_MS && turnsLeft-- > 0);
			return;
		}

		if (registry.ageMs() >= STALE_AGE_MS) {
			await options.storeReader.readOnce(signal);
		}

		await clock.sleep(ownReadBackOff.nextMs(), signal);
	};

	await start();
	while (!signal.aborted) {
		const readers = rankReaders();
		await (readers[0]?.nodeId === self.nodeId
			? readAsReader(() => rankReaders()[0]?.nodeId === self.nodeId)
			: followOnce(readers));
	}
};
