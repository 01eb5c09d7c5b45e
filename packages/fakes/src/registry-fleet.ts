import * as core from '@bilberrydoor/core';
import * as neverthrow from 'neverthrow';
import {buildFleetCatalogue, buildHostRoute, buildNode, buildTarget} from './build-fleet.js';
import {createFakeHost, type FakeHost} from './fake-host.js';
import {createFakeMetrics, createSilentLogger} from './fake-observability.js';
import {createFakeRegistryStore, type FakeRegistryStore} from './fake-registry-store.js';
import {createSeededRandom} from './seeded-random.js';
import {createVirtualClock, type VirtualClock} from './virtual-clock.js';
import {waitForAbort} from './wait-for-abort.js';

/** Delivers a reply from the node `senderId` to the node that sent the request; may delay or change it. */
export type DeliverReply = <Kind extends core.FleetMessageKind>(
	senderId: string,
	kind: Kind,
	reply: core.FleetMessages[Kind]['reply'],
	requestOptions: core.RequestOptions,
) => Promise<core.FleetMessages[Kind]['reply']>;

export type RegistryFleetOptions = {
	readonly nodeCount: number;
	/** Delay until each node starts, in ms. By default, all nodes start at once. */
	readonly startDelayMs?: (index: number) => number;
	readonly clock?: VirtualClock;
	/** Region of a node; by default, all are in the region of the targets. */
	readonly regionOf?: (nodeId: string) => string;
	/** Nodes from which a node pulls at its start if the store does not answer; `node-0` by default. */
	readonly seedIds?: readonly string[];
	/** By default, replies arrive without delay. */
	readonly deliverReply?: DeliverReply;
	/** Network delay of each call to the store, in ms. */
	readonly storeDelayMs?: number;
	/** Wraps each node's client of the store, for example to limit its bandwidth. */
	readonly wrapStore?: (store: core.RegistryStore) => core.RegistryStore;
	/** Fills the store before the nodes start. */
	readonly fillStore?: (store: FakeRegistryStore) => void;
	/** By default, all targets are unreachable. */
	readonly targetClient?: core.FleetTargetClient;
};

const NETWORK_LATENCY_MS = 1;

/** Region of the targets that `buildTarget` builds. */
const TARGET_REGION = 'pwani';

/** Delay of the replies of slow nodes, longer than any time limit for them. */
const SLOW_REPLY_MS = 2000;

/** A request whose reply never arrives. */
const loseReply = async (signal: AbortSignal): Promise<neverthrow.Result<never, core.PeerError>> => {
	await waitForAbort(signal);
	return neverthrow.err({kind: core.PeerErrorKind.Lost, detail: 'no reply'});
};

const UNREACHABLE_TARGETS: core.FleetTargetClient = {
	send: async () => neverthrow.err({kind: core.AttemptErrorKind.Unreachable, detail: 'no target'}),
};

const fillWithDefaults = (store: FakeRegistryStore): void => {
	store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(1, [buildHostRoute()]));
	store.write(core.RegistryTopic.Targets, 'a', buildTarget({targetId: 'a'}));
};

/** Starts nodes on a virtual clock, which replicate the records of the store. */
export const createRegistryFleet = (options: RegistryFleetOptions) => {
	const {
		clock = createVirtualClock(),
		deliverReply = async (_senderId, _kind, reply) => reply,
		storeDelayMs = 0,
		wrapStore = store => store,
		fillStore = fillWithDefaults,
		startDelayMs,
		regionOf = () => TARGET_REGION,
		seedIds = ['node-0'],
		targetClient = UNREACHABLE_TARGETS,
	} = options;
	const store = createFakeRegistryStore(clock);
	const logger = createSilentLogger();
	const metrics = createFakeMetrics();
	const cutNodeIds = new Set<string>();
	const silentNodeIds = new Set<string>();
	const slowNodeIds = new Set<string>();
	const nodes = new Map<string, core.FleetNode>();
	const nodesByAddress = new Map<string, core.FleetNode>();
	const controllers = new Map<string, AbortController>();
	const hosts = new Map<string, FakeHost>();
	let startCount = 0;

	/** The process of a node; a restarted node keeps it. */
	const hostOf = (nodeId: string): FakeHost => {
		const host = hosts.get(nodeId) ?? createFakeHost();
		hosts.set(nodeId, host);
		return host;
	};

	/** Makes a paused node learn of a result only once it runs again. */
	const deliverTo = async <T>(nodeId: string, result: Promise<T>): Promise<T> => {
		const value = await result;
		await hostOf(nodeId).waitUntilRunning();
		return value;
	};

	const pauseStoreClient = (nodeId: string, client: core.RegistryStore): core.RegistryStore => ({
		readChanges: async (...parameters) => deliverTo(nodeId, client.readChanges(...parameters)),
		readAll: async (...parameters) => deliverTo(nodeId, client.readAll(...parameters)),
		publishNode: async (...parameters) => deliverTo(nodeId, client.publishNode(...parameters)),
		withdrawNode: async (...parameters) => deliverTo(nodeId, client.withdrawNode(...parameters)),
	});

	const createPeerClient = (senderId: string): core.FleetPeerClient => ({
		async request(address, kind, request, {signal, noteProgress}) {
			await clock.sleep(NETWORK_LATENCY_MS, signal);
			const receiver = nodesByAddress.get(address);
			if (!receiver || cutNodeIds.has(senderId) || cutNodeIds.has(receiver.self.nodeId)) {
				return neverthrow.err({kind: core.PeerErrorKind.Unreachable, detail: 'cut'});
			}

			if (silentNodeIds.has(receiver.self.nodeId)) {
				return loseReply(signal);
			}

			await hostOf(receiver.self.nodeId).waitUntilRunning();
			await clock.sleep(slowNodeIds.has(receiver.self.nodeId) ? SLOW_REPLY_MS : 0, signal);
			const reply = await receiver.messageHandlers[kind](request, signal);
			// A reply that was pending when its sender became silent does not arrive.
			if (silentNodeIds.has(receiver.self.nodeId)) {
				return loseReply(signal);
			}

			await hostOf(receiver.self.nodeId).waitUntilRunning();
			const delivered = deliverReply(receiver.self.nodeId, kind, reply, {signal, noteProgress});
			return neverthrow.ok(await deliverTo(senderId, delivered));
		},
	});
	const startNode = (nodeId: string, seed: number): void => {
		const node = core.createFleetNode({
			ports: {
				clock: hostOf(nodeId).wrapClock(clock),
				random: createSeededRandom(seed),
				logger,
				metrics,
				store: pauseStoreClient(nodeId, wrapStore(store.createClient(nodeId, storeDelayMs))),
				peerClient: createPeerClient(nodeId),
				targetClient,
			},
			settings: {
				self: buildNode(nodeId, {
					region: regionOf(nodeId),
					...(nodes.has(nodeId) && {incarnationId: `${nodeId}#restarted-${startCount}`}),
				}),
				seedAddresses: seedIds.map(seedId => buildNode(seedId).address),
			},
		});
		startCount++;
		nodes.set(nodeId, node);
		nodesByAddress.set(node.self.address, node);
		const controller = new AbortController();
		controllers.get(nodeId)?.abort();
		controllers.set(nodeId, controller);
		void node.run(controller.signal);
	};

	fillStore(store);
	const startAfterDelay = async (index: number): Promise<void> => {
		if (startDelayMs) {
			await clock.sleep(startDelayMs(index));
		}

		startNode(`node-${index}`, index);
	};

	const indexes = Array.from({length: options.nodeCount}, (_, index) => index);
	indexes.forEach(index => {
		void startAfterDelay(index);
	});
	return {
		clock,
		store,
		nodes,
		cutNodeIds,
		/** Nodes whose replies arrive late. */
		slowNodeIds,
		/** Makes a node silent for good, like a machine without power: it does nothing, and requests to it hang. */
		loseNode(nodeId: string) {
			silentNodeIds.add(nodeId);
			controllers.get(nodeId)?.abort();
		},
		startNode,
		/** Suspends a node: nothing happens on it until it is resumed, and what it is sent waits. */
		pauseNode(nodeId: string) {
			hostOf(nodeId).pause();
		},
		resumeNode(nodeId: string) {
			hostOf(nodeId).resume();
		},
		listVersions: (): Array<number | undefined> =>
			[...nodes.values()].map(({registry}) => registry.catalogue()?.version),
		stop() {
			controllers.forEach(controller => {
				controller.abort();
			});
		},
	};
};
