import * as domain from '@bilberrydoor/domain';
import {createAdministration, type Administration, type OperationView} from '../administration/administration.js';
import * as catalogueReplicator from '../catalogue/catalogue-replicator.js';
import type {CatalogueReplicatorOptions} from '../catalogue/replicator-options.js';
import {createCatalogueStore, type CatalogueStore} from '../catalogue/catalogue-store.js';
import {createEntryService} from '../entry/entry-service.js';
import {createGroupDelivery} from '../entry/group-delivery.js';
import type {HealthOptions} from '../health/health-options.js';
import type {LinkOptions} from '../link/link-options.js';
import {createRegionLink, type RegionLink} from '../link/region-link.js';
import * as memberDirectory from '../membership/member-directory.js';
import type {MembershipOptions} from '../membership/membership-options.js';
import {createOperations, type Operations, type OperationsOptions} from '../operations/operations.js';
import {runWithStartLimit} from '../operations/start-limit.js';
import * as ports from '../ports/index.js';
import {createRouteTable} from '../routing/route-table.js';
import type {SchedulerOptions} from '../scheduling/scheduler-options.js';
import {createSchedulerRegistry, type SchedulerRegistry} from '../scheduling/scheduler-registry.js';
import {STOP_REASON} from '../shared/stop-reason.js';
import {createCallTracker, type DrainResult} from './call-tracker.js';
import {createLeavingTargetReporter} from './leaving-target-reporter.js';
import {createPeerHandlers} from './peer-handlers.js';

/** Settings of a node. Each component defines its own options, defaults and validation. */
export type NodeSettings = {
	/** Description of this VM for other nodes. The incarnation id is generated at start. */
	readonly self: Omit<domain.NodeDescription, 'incarnationId'>;
	readonly catalogue?: Partial<CatalogueReplicatorOptions>;
	readonly health?: Partial<HealthOptions>;
	readonly membership?: Partial<MembershipOptions>;
	readonly link?: Partial<LinkOptions>;
	readonly operations?: Partial<OperationsOptions>;
	readonly scheduling?: Partial<SchedulerOptions>;
};

/** A node, assembled from its ports. Protocols, codecs and the real clock stay in the adapters. */
export type Node = {
	readonly self: domain.NodeDescription;
	readonly store: CatalogueStore;
	readonly replicator: catalogueReplicator.CatalogueReplicator;
	readonly directory: memberDirectory.MemberDirectory;
	readonly schedulers: SchedulerRegistry;
	readonly link: RegionLink;
	readonly administration: Administration;
	readonly peerHandlers: ports.PeerHandlers;
	/** Generates operation ids and reads the state of an operation. */
	readonly operations: Pick<Operations, 'mintOperations' | 'readOperation'>;
	/**
	 * Handles a caller's request. `signal` is aborted when the caller has disconnected, and also once the ending has been
	 * delivered, so that all resources of the call are released.
	 */
	handleCall(call: domain.CallRequest, signal: AbortSignal): Promise<domain.CallEnding>;
	/** Handles a call that a peer has forwarded. */
	handleForwardedCall(forwarded: ports.ForwardedCall, signal: AbortSignal): Promise<domain.CallEnding>;
	/** Service whose route matches a method and path; undefined when there is none. */
	findService(method: string, path: string): string | undefined;
	/** Number of calls in flight. */
	inFlightCount(): number;
	/** Whether the node accepts callers' requests. */
	isReady(): boolean;
	/** Whether a catalogue is in force, even while the node is stopping. */
	isCatalogueReady(): boolean;
	/** Runs the node's tasks until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
	/**
	 * Refuses new calls after `noticeMs`, waits for at most `limitMs` until no call is in flight, and transfers the
	 * records of operations to other nodes.
	 */
	drain(options: {noticeMs: number; limitMs: number}): Promise<DrainResult>;
};

export const createNode = (dependencies: {ports: ports.NodePorts; settings: NodeSettings}): Node => {
	const {settings} = dependencies;
	const {authenticator, catalogueCodec, clock, random} = dependencies.ports;
	const self: domain.NodeDescription = {...settings.self, incarnationId: random.token()};
	const store = createCatalogueStore({authenticator, codec: catalogueCodec});
	const routeTable = createRouteTable();
	store.subscribe((service, entry) => {
		routeTable.replaceServiceRoutes(service, entry?.routes ?? []);
	});
	const membership = memberDirectory.createMembership({
		ports: dependencies.ports,
		self,
		appliedOffset: store.appliedOffset,
		options: settings.membership,
	});
	const {directory} = membership;
	const schedulers = createSchedulerRegistry({
		ports: dependencies.ports,
		store,
		directory,
		options: settings.scheduling,
		health: settings.health,
	});
	const replicator = catalogueReplicator.createCatalogueReplicator({
		ports: dependencies.ports,
		store,
		directory,
		options: settings.catalogue,
	});
	const link = createRegionLink({
		ports: dependencies.ports,
		countRegionNodes: () => directory.listEligibleNodes(self.region).length,
		measureRoundTripMs: membership.measureRoundTripMs,
		options: settings.link,
	});
	const delivery = createGroupDelivery({
		ports: dependencies.ports,
		directory,
		schedulers,
		link,
		linkWeightOf: service => store.findItem(service)?.entry?.linkWeight ?? 1,
	});
	const leavingTargetReporter = createLeavingTargetReporter({
		ports: dependencies.ports,
		store,
		directory,
		delivery,
		schedulers,
	});
	const operations = createOperations({
		ports: dependencies.ports,
		directory,
		store,
		routeTable,
		schedulers,
		delivery,
		options: settings.operations,
	});
	const entryService = createEntryService({
		ports: dependencies.ports,
		directory,
		routeTable,
		schedulers,
		delivery,
		isReady: replicator.isReady,
		nodeGuard: settings.scheduling?.nodeGuard,
		handleSingleWork: operations.requireOperationId,
		submitOperation: operations.submit,
	});
	const callTracker = createCallTracker({clock});

	const scheduleForwardedCall = async (
		forwarded: ports.ForwardedCall,
		signal: AbortSignal,
	): Promise<domain.CallEnding> => {
		const route = routeTable.findRoute(forwarded.call.method, forwarded.call.path);
		const scheduler = schedulers.getOrCreateScheduler(forwarded.service, forwarded.groupId);
		if (!scheduler || route.isErr()) {
			return domain.notRun(domain.RefusalReason.NoTarget, `group ${forwarded.groupId} is unknown on this node`, {
				retryAfterMs: 1000,
			});
		}

		const nowMs = clock.monotonicMs();
		const scheduled = {call: forwarded.call, route: route.value.route, deadlineAtMs: nowMs + forwarded.remainingMs};
		if (forwarded.remainingStartMs === undefined) {
			return scheduler.schedule(scheduled, signal);
		}

		const startDeadlineAtMs = nowMs + forwarded.remainingStartMs;
		// This node's catalogue may be newer and declare the route repeatable; the sender's decision applies.
		const singleRoute = {...scheduled.route, repeatability: domain.Repeatability.Single};
		return runWithStartLimit(
			{clock, scheduled: {...scheduled, route: singleRoute, startDeadlineAtMs}, startDeadlineAtMs, signal},
			scheduler.schedule,
		);
	};

	const forwardHandlers: Record<ports.ForwardPurpose, typeof scheduleForwardedCall> = {
		[ports.ForwardPurpose.Schedule]: scheduleForwardedCall,
		[ports.ForwardPurpose.Execute]: operations.executeForwarded,
		[ports.ForwardPurpose.Consult]: operations.consultForwarded,
	};

	return {
		self,
		store,
		replicator,
		directory,
		schedulers,
		link,
		administration: createAdministration({
			ports: dependencies.ports,
			store,
			replicator,
			directory,
			routeTable,
			schedulers,
			async readOperation(operationId, workspace, signal) {
				const found = await operations.readOperation(operationId, workspace, signal);
				return found.match<OperationView>(
					reply => reply,
					failure => ({isExpired: false, ...failure}),
				);
			},
		}),
		peerHandlers: createPeerHandlers({
			replicator,
			probeHandlers: membership.peerHandlers,
			operationHandlers: operations.peerHandlers,
			store,
			schedulers,
			ports: dependencies.ports,
		}),
		operations,
		handleCall: async (call, signal) =>
			callTracker.track(async () => entryService.handleCall(call, signal), signal, callTracker.findRefusal(call)),
		handleForwardedCall: async (forwarded, signal) =>
			callTracker.track(async () => forwardHandlers[forwarded.purpose](forwarded, signal), signal),
		findService: (method, path) => routeTable.findRoute(method, path).unwrapOr(undefined)?.service,
		inFlightCount: callTracker.inFlightCount,
		isCatalogueReady: replicator.isReady,
		isReady: () => replicator.isReady() && !callTracker.isDraining(),
		async run(signal) {
			await Promise.all([
				replicator.run(signal),
				membership.run(signal),
				schedulers.run(signal),
				leavingTargetReporter.run(signal),
				operations.run(signal),
			]);
		},
		async drain(options) {
			const limitAtMs = clock.monotonicMs() + options.noticeMs + options.limitMs;
			const controller = new AbortController();
			// The announcement spreads during the notice period; it must not delay the drain.
			void membership.announceLeaving(controller.signal);
			operations.stopAccepting();
			const result = await callTracker.drain({...options, onNoticeOver: operations.seal});
			await operations.handOver(Math.max(0, limitAtMs - clock.monotonicMs()));
			controller.abort(STOP_REASON);
			return result;
		},
	};
};
