import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import {buildNode} from './build-fleet.js';
import {createFakeHost, type FakeHost} from './fake-host.js';
import {createFakeMetrics, createSilentLogger} from './fake-observability.js';
import {createSeededRandom} from './seeded-random.js';
import type {VirtualClock} from './virtual-clock.js';
import {waitForAbort} from './wait-for-abort.js';

/** Implementations of the quotas; those other than the product's exist to show that the tests find their faults. */
export enum QuotaVariant {
	Product = 'product',
	/** Leased tokens neither expire at the entry nodes nor are returned. */
	EndlessLeases = 'endless-leases',
}

/** How a variant differs from the product. */
const VARIANTS: Record<
	QuotaVariant,
	{readonly changeLease: (reply: core.LeaseQuotaReply) => core.LeaseQuotaReply; readonly returnsUnused: boolean}
> = {
	[QuotaVariant.Product]: {changeLease: reply => reply, returnsUnused: true},
	[QuotaVariant.EndlessLeases]: {
		changeLease: reply => ({...reply, leaseMs: Number.MAX_SAFE_INTEGER}),
		returnsUnused: false,
	},
};

export type QuotaFleetOptions = {
	readonly clock: VirtualClock;
	readonly seed: number;
	readonly workspaces: readonly domain.FleetWorkspace[];
	readonly regionOf: (nodeId: string) => string;
	/** One-way latencies within a region and between two, in ms. */
	readonly latencyMs?: {readonly near: number; readonly far: number};
	readonly quotas?: Partial<core.QuotaOptions>;
	readonly variant?: QuotaVariant;
	/** Whether the catalogue has workspaces with a limit; true by default. */
	readonly hasLimits?: boolean;
	/** Longest time until a node learns of a change of the registry, in ms. */
	readonly spreadMs?: number;
};

/** A node with its own, possibly old view of the registry. */
type QuotaNode = {
	readonly self: domain.RegisteredNode;
	readonly host: FakeHost;
	readonly quotas: core.FleetQuotas;
	readonly view: {revision: number; nodes: ReadonlyMap<string, domain.RegisteredNode>};
	workspaces: ReadonlyMap<string, domain.FleetWorkspace>;
	/** How late this node learns of changes, in ms. */
	readonly lagMs: number;
};

const DEFAULT_LATENCY_MS = {near: 1, far: 20};
/** Longest additional delay of a message, as a share of the latency. */
const JITTER_RATIO = 0.25;

const DEFAULT_SPREAD_MS = 2500;
const SEED_RANGE = 2 ** 31;

/** Nodes that limit the calls of workspaces together, with a registry whose changes reach them late and a faulty network. */
export const createQuotaFleet = (options: QuotaFleetOptions) => {
	const {clock, regionOf, latencyMs = DEFAULT_LATENCY_MS, variant = QuotaVariant.Product} = options;
	const {spreadMs = DEFAULT_SPREAD_MS} = options;
	const {changeLease, returnsUnused} = VARIANTS[variant];
	const random = createSeededRandom(options.seed);
	const metrics = createFakeMetrics();
	const nodes = new Map<string, QuotaNode>();
	const nodesByAddress = new Map<string, QuotaNode>();
	const controllers = new Map<string, AbortController>();
	const registered = new Map<string, domain.RegisteredNode>();
	/** Nodes that reach neither peers nor the registry. */
	const cutNodeIds = new Set<string>();
	/** Pairs `from>to` of regions whose messages are lost. */
	const cutRegions = new Set<string>();
	/** Regions that do not reach the registry. */
	const staleRegions = new Set<string>();
	const network = {lossRatio: 0, leaseCount: 0, claimCount: 0};
	let workspaces = new Map(options.workspaces.map(workspace => [workspace.name, workspace]));
	let runCount = 0;

	const isReachable = (from: domain.RegisteredNode, to: domain.RegisteredNode): boolean =>
		!cutNodeIds.has(from.nodeId) &&
		!cutNodeIds.has(to.nodeId) &&
		!cutRegions.has(`${from.region}>${to.region}`) &&
		random.fraction() >= network.lossRatio;

	const handlers: {
		readonly [Kind in core.FleetMessageKind]?: (
			node: QuotaNode,
			request: never,
			signal: AbortSignal,
		) => Promise<core.FleetMessages[Kind]['reply']>;
	} = {
		[core.FleetMessageKind.LeaseQuota]: async (node, request: core.LeaseQuotaRequest) =>
			changeLease(await node.quotas.handleLease(request)),
		[core.FleetMessageKind.ClaimQuotaShares]: async (node, request: core.ClaimQuotaSharesRequest) =>
			node.quotas.handleClaim(request),
	};

	const createPeerClient = (self: domain.RegisteredNode, host: FakeHost): core.FleetPeerClient => ({
		async request(address, kind, request, {signal}) {
			const lose = async () => {
				await waitForAbort(signal);
				return neverthrow.err({kind: core.PeerErrorKind.Lost, detail: 'no reply'});
			};

			network.leaseCount += kind === core.FleetMessageKind.LeaseQuota ? 1 : 0;
			network.claimCount += kind === core.FleetMessageKind.ClaimQuotaShares ? 1 : 0;
			const receiver = nodesByAddress.get(address);
			const delayMs = receiver && receiver.self.region !== self.region ? latencyMs.far : latencyMs.near;
			await clock.sleep(delayMs * (1 + JITTER_RATIO * random.fraction()));
			if (!receiver || receiver.host.isDead()) {
				return neverthrow.err({kind: core.PeerErrorKind.Unreachable, detail: 'no such node'});
			}

			if (!isReachable(self, receiver.self)) {
				return lose();
			}

			await receiver.host.waitUntilRunning();
			const reply = await handlers[kind]!(receiver, request as never, signal);
			if (!isReachable(receiver.self, self)) {
				return lose();
			}

			await clock.sleep(delayMs * (1 + JITTER_RATIO * random.fraction()));
			await host.waitUntilRunning();
			return neverthrow.ok(reply as never);
		},
	});

	const isUpToDate = ({self}: QuotaNode): boolean => !cutNodeIds.has(self.nodeId) && !staleRegions.has(self.region);

	const refresh = (node: QuotaNode): void => {
		node.view.nodes = new Map(registered);
		node.view.revision++;
		node.workspaces = workspaces;
	};

	/** Brings a change to a node after its lag; one that does not reach the registry learns of it when it does again. */
	const notify = async (node: QuotaNode): Promise<void> => {
		await clock.sleep(node.lagMs);
		if (isUpToDate(node)) {
			await node.host.waitUntilRunning();
			refresh(node);
		}
	};

	const notifyAll = (): void => {
		nodes.forEach(node => {
			void notify(node);
		});
	};

	const startNode = (nodeId: string): void => {
		const host = createFakeHost();
		const self = buildNode(nodeId, {region: regionOf(nodeId), incarnationId: `${nodeId}#${runCount++}`});
		const view = {revision: 0, nodes: new Map<string, domain.RegisteredNode>()};
		const node: QuotaNode = {
			self,
			host,
			view,
			workspaces: new Map(),
			lagMs: spreadMs * random.fraction(),
			quotas: core.createFleetQuotas({
				self,
				nodes: {revision: () => view.revision, values: () => view.nodes},
				hasLimits: () => options.hasLimits ?? true,
				findWorkspace: name => node.workspaces.get(name),
				peerClient: createPeerClient(self, host),
				peerReachability: {isUsable: () => true},
				clock: host.wrapClock(clock),
				random: createSeededRandom(Math.floor(random.fraction() * SEED_RANGE)),
				logger: createSilentLogger(),
				metrics,
				options: options.quotas,
			}),
		};
		const isNew = !registered.has(nodeId);
		registered.set(nodeId, self);
		nodes.set(nodeId, node);
		nodesByAddress.set(self.address, node);
		refresh(node);
		const controller = new AbortController();
		controllers.set(nodeId, controller);
		if (returnsUnused) {
			void node.quotas.run(controller.signal);
		}

		if (isNew) {
			notifyAll();
		}
	};

	const endNode = (nodeId: string): void => {
		nodes.get(nodeId)?.host.kill();
		controllers.get(nodeId)?.abort();
		nodes.delete(nodeId);
	};

	return {
		clock,
		nodes,
		network,
		cutNodeIds,
		cutRegions,
		staleRegions,
		startNode,
		/** Ends a process without notice. Its record stays. */
		killNode: endNode,
		/** Stops a node as planned: it withdraws its record first. */
		stopNode(nodeId: string) {
			nodes.get(nodeId)?.quotas.stop();
			registered.delete(nodeId);
			notifyAll();
			endNode(nodeId);
		},
		/** Lets nodes that were cut off learn of all changes. */
		notifyAll,
		changeWorkspace(workspace: domain.FleetWorkspace) {
			workspaces = new Map([...workspaces, [workspace.name, workspace]]);
			notifyAll();
		},
		stop() {
			controllers.forEach(controller => {
				controller.abort();
			});
		},
	};
};

export type QuotaFleet = ReturnType<typeof createQuotaFleet>;
