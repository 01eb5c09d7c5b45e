import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import {createFakeAuthenticator} from './fake-authenticator.js';
import {createFakeHost, type FakeHost} from './fake-host.js';
import {createFakeLogClient, type LogTransfer} from './fake-log-client.js';
import {createFakeLogService, type FakeLogService} from './fake-log-service.js';
import {createFakeNetwork, type FakeNetwork} from './fake-network.js';
import {createFakeMetrics, createSilentLogger, type FakeMetrics} from './fake-observability.js';
import {createFakeTarget, type FakeTarget} from './fake-target.js';
import {createFakeVmList, type FakeVmList} from './fake-vm-list.js';
import {createSeededRandom} from './seeded-random.js';
import {createVirtualClock, type VirtualClock} from './virtual-clock.js';

export type FakeNode = {
	readonly node: core.Node;
	readonly host: FakeHost;
	readonly metrics: FakeMetrics;
	readonly address: string;
	stop(): void;
};

/** Real nodes on fake ports and a virtual clock. */
export type FakeFleet = {
	readonly clock: VirtualClock;
	readonly random: core.Random;
	readonly log: FakeLogService;
	readonly vmList: FakeVmList;
	readonly network: FakeNetwork;
	readonly nodes: readonly FakeNode[];
	readonly targets: ReadonlyMap<string, FakeTarget>;
	/** Called for each completed request of a node to the log service. */
	onLogTransfer?: (transfer: LogTransfer) => void;
	/** Starts a node. If the address is in use, the node there is killed and replaced by a new incarnation. */
	startNode(options: {address: string; region: string; availabilityZone: string}): FakeNode;
	/** Adds the entry's targets to the network. */
	addTargets(entry: domain.CatalogueEntry): void;
	/** Appends an edit and advances the clock by 5 s so that the nodes can apply it. */
	publishEntry(entry: domain.CatalogueEntry, baseRevision?: number): Promise<void>;
};

const SEED_RANGE = 2 ** 32;

export const createFakeFleet = (options: {seed?: number; settings?: Partial<core.NodeSettings>} = {}): FakeFleet => {
	const clock = createVirtualClock();
	const random = createSeededRandom(options.seed ?? 1);
	const log = createFakeLogService(clock);
	const vmList = createFakeVmList(clock);
	const network = createFakeNetwork(clock);
	const targets = new Map<string, FakeTarget>();
	const nodes: FakeNode[] = [];

	const buildPorts = (address: string, host: FakeHost, metrics: FakeMetrics): core.NodePorts => ({
		authenticator: createFakeAuthenticator(),
		catalogueCodec: {serializeItem: item => JSON.stringify(item)},
		clock: host.wrapClock(clock),
		logService: createFakeLogClient({
			log,
			clock,
			host,
			network,
			address,
			onTransfer: transfer => fleet.onLogTransfer?.(transfer),
		}),
		logger: createSilentLogger(),
		metrics,
		nodeLoad: {eventLoopDelayMs: () => 0, residentBytes: () => 0},
		peerClient: network.createPeerClient(address, host),
		random: createSeededRandom(Math.floor(random.fraction() * SEED_RANGE)),
		targetClient: network.createTargetClient(address, host),
		vmList,
	});

	const addToVmList = (address: string, region: string, availabilityZone: string): void => {
		const others = vmList.items().filter(item => item.address !== address);
		const vmId = `vm-${address}`;
		vmList.replace([...others, {vmId, address, region, availabilityZone, isFleetNode: true, isLeaving: false}]);
	};

	const fleet: FakeFleet = {
		clock,
		random,
		log,
		vmList,
		network,
		nodes,
		targets,
		startNode({address, region, availabilityZone}) {
			const replacedIndex = nodes.findIndex(other => other.address === address);
			if (replacedIndex !== -1) {
				nodes[replacedIndex]!.host.kill();
				nodes[replacedIndex]!.stop();
				nodes.splice(replacedIndex, 1);
			}

			const host = createFakeHost();
			const metrics = createFakeMetrics();
			addToVmList(address, region, availabilityZone);
			const node = core.createNode({
				ports: buildPorts(address, host, metrics),
				settings: {
					...options.settings,
					self: {vmId: `vm-${address}`, address, region, availabilityZone, operationsAddress: ''},
				},
			});
			const controller = new AbortController();
			const fakeNode: FakeNode = {
				node,
				host,
				metrics,
				address,
				stop() {
					controller.abort();
				},
			};
			nodes.push(fakeNode);
			network.addNode(address, fakeNode);
			void node.run(controller.signal);
			return fakeNode;
		},
		addTargets(entry) {
			entry.targets.forEach(target => {
				const fakeTarget = createFakeTarget({clock, entry: target});
				targets.set(target.targetId, fakeTarget);
				network.addTarget(fakeTarget);
			});
		},
		async publishEntry(entry, baseRevision = 0) {
			await clock.runUntilSettled(
				log.append({
					kind: domain.CatalogueRecordKind.Edit,
					editId: random.token(),
					service: entry.service,
					author: 'operator',
					baseRevision,
					entry,
				}),
				10_000,
			);
			await clock.advance(5000);
		},
	};
	return fleet;
};
