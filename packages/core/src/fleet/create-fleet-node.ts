import type * as domain from '@bilberrydoor/domain';
import {createDispatcherTable, type DispatcherTable} from '../grants/dispatcher-table.js';
import type {DispatcherOptions} from '../grants/dispatcher-options.js';
import {createGrantClient} from '../grants/grant-client.js';
import {createTargetNotices} from '../grants/target-notices.js';
import {completeZoneOptions, type ZoneOptions} from '../zones/zone-options.js';
import * as ports from '../ports/index.js';
import {createCallProxy, type CallProxy} from '../proxy/call-proxy.js';
import {createCatalogueIndex} from '../proxy/catalogue-index.js';
import {planStop, type StopPlan} from '../proxy/stop-plan.js';
import {createFleetQuotas, type FleetQuotas} from '../quotas/fleet-quotas.js';
import type {QuotaOptions} from '../quotas/quota-options.js';
import {createPeerReachability} from '../registry/peer-reachability.js';
import {createRegistry, type Registry} from '../registry/registry.js';
import {runRegistrySync} from '../registry/registry-sync.js';
import {createStoreReader} from '../registry/store-reader.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import {createCallExplainer, type CallExplainer} from './explain-call.js';
import {keepRegistered} from './keep-registered.js';

export type FleetNodePorts = {
	readonly clock: ports.Clock;
	readonly random: ports.Random;
	readonly logger: ports.Logger;
	readonly metrics: ports.Metrics;
	readonly store: ports.RegistryStore;
	readonly peerClient: ports.FleetPeerClient;
	readonly targetClient: ports.FleetTargetClient;
};

export type FleetNodeSettings = {
	readonly self: domain.RegisteredNode;
	/** Addresses of nodes to pull the registry from at startup when the store does not answer; they may be out of date. */
	readonly seedAddresses: readonly string[];
	readonly dispatcher?: Partial<DispatcherOptions>;
	/** Decisions between zones and regions. */
	readonly zones?: Partial<ZoneOptions>;
	/** Bound on the calls of workspaces with a quota. */
	readonly quotas?: Partial<QuotaOptions>;
	/** Returns the time between two heartbeats of a target, in ms, or undefined for the default. May change at any time. */
	readonly readTargetHeartbeatMs?: () => number | undefined;
};

/** One node of the proxy fleet. */
export type FleetNode = {
	readonly self: domain.RegisteredNode;
	readonly proxy: CallProxy;
	readonly registry: Registry;
	readonly dispatchers: DispatcherTable;
	readonly quotas: FleetQuotas;
	readonly messageHandlers: ports.FleetMessageHandlers;
	/** Explains where a request would go now, without sending it. */
	readonly explainCall: CallExplainer;
	/** Whether the node can serve callers: it is not stopping and has read the catalogue and the targets. */
	isReady(): boolean;
	/** Changes the decisions between zones and regions; what is not given gets its default. */
	configureZones(given: Partial<ZoneOptions>): void;
	/** Keeps the registry up to date and the node registered until the signal is aborted. */
	run(signal: AbortSignal): Promise<void>;
	/** Calls that are being handled. */
	countCalls(): number;
	/**
	 * Starts the graceful shutdown: withdraws the node's registration and limits the attempts that it still starts. Call once.
	 *
	 * @param endsAtMs monotonic time at which calls that are still running are cut off, in ms
	 */
	leave(endsAtMs: number): Promise<void>;
};

/** Time limit for withdrawing the registration; peers detect a stopped node even without it. */
const LEAVE_TIMEOUT_MS = 1000;

export const createFleetNode = (options: {ports: FleetNodePorts; settings: FleetNodeSettings}): FleetNode => {
	const {clock, random, logger, metrics, store, peerClient} = options.ports;
	const {self, seedAddresses, readTargetHeartbeatMs} = options.settings;
	const stopping = new AbortController();
	const peerReachability = createPeerReachability({clock, logger});
	const registry = createRegistry({self, clock, logger, metrics, peerReachability, readTargetHeartbeatMs});
	const storeReader = createStoreReader({registry, store, clock, random, logger});
	const notices = createTargetNotices({clock, logger});
	/** Shared by all parts, so that a change applies to running ones as well. */
	const zoneOptions: ZoneOptions = completeZoneOptions(options.settings.zones ?? {});
	const dispatchers = createDispatcherTable({
		registry,
		zoneOptions,
		options: options.settings.dispatcher,
		clock,
		random,
		logger,
		metrics,
		notices,
	});
	const grants = createGrantClient({
		self,
		registry,
		dispatchers,
		peerClient,
		peerReachability,
		clock,
		logger,
		metrics,
		notices,
		random,
		zoneOptions,
	});
	const readIndex = createCatalogueIndex(registry);
	const quotas = createFleetQuotas({
		self,
		nodes: registry.replicas.nodes,
		hasLimits: () => readIndex()?.workspaces?.hasLimits ?? false,
		findWorkspace: name => readIndex()?.workspaces?.find(name),
		peerClient,
		peerReachability,
		clock,
		random,
		logger,
		metrics,
		options: options.settings.quotas,
	});
	let callCount = 0;
	let stopPlan: StopPlan | undefined;
	const callProxy = createCallProxy({
		registry,
		grants,
		targetClient: options.ports.targetClient,
		clock,
		random,
		logger,
		metrics,
		recordBytes: grants.recordBytes,
		quotas,
		readIndex,
		readStopPlan: () => stopPlan,
	});

	const proxy: CallProxy = {
		admit: callProxy.admit,
		async handle(call, signal) {
			callCount++;
			try {
				return await callProxy.handle(call, signal);
			} finally {
				callCount--;
			}
		},
	};

	return {
		self,
		proxy,
		registry,
		dispatchers,
		quotas,
		messageHandlers: {
			[ports.FleetMessageKind.AcquireGrant]: async (request, signal) =>
				dispatchers.get(request.service, request.region).acquire(request, signal),
			async [ports.FleetMessageKind.ReportResult](request) {
				dispatchers.get(request.service, request.region).report(request);
				return {};
			},
			[ports.FleetMessageKind.PullRegistry]: async (request, signal) => registry.pull(request, signal),
			[ports.FleetMessageKind.LeaseQuota]: async request => quotas.handleLease(request),
			[ports.FleetMessageKind.ClaimQuotaShares]: async request => quotas.handleClaim(request),
		},
		configureZones(given) {
			Object.assign(zoneOptions, completeZoneOptions(given));
		},
		explainCall: createCallExplainer({self, registry, dispatchers, planner: grants.planner}),
		countCalls: () => callCount,
		isReady: () =>
			!stopping.signal.aborted && registry.catalogue() !== undefined && registry.replicas.targets.nextOffset() >= 0,
		async run(signal) {
			const sync = {
				self,
				seedAddresses,
				registry,
				storeReader,
				peerClient,
				peerReachability,
				clock,
				random,
				logger,
				metrics,
			};
			const registration = {self, registry, store, clock, random, logger, stopSignal: stopping.signal};
			await Promise.all([runRegistrySync(sync, signal), keepRegistered(registration, signal), quotas.run(signal)]);
		},
		async leave(endsAtMs) {
			stopPlan = planStop(clock.monotonicMs(), endsAtMs);
			stopping.abort();
			quotas.stop();
			const {signal} = new AbortController();
			await runWithTimeout({clock, timeoutMs: LEAVE_TIMEOUT_MS, signal}, async leaveSignal =>
				store.withdrawNode(self.nodeId, leaveSignal),
			);
		},
	};
};
