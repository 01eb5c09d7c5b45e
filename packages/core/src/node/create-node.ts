import * as domain from '@bilberrydoor/domain';
import {createAdministration, type Administration} from '../administration/administration.js';
import * as catalogueReplicator from '../catalogue/catalogue-replicator.js';
import {createCatalogueStore, type CatalogueStore} from '../catalogue/catalogue-store.js';
import {createEntryService} from '../entry/entry-service.js';
import {createGroupDelivery} from '../entry/group-delivery.js';
import type {HealthOptions} from '../health/health-options.js';
import * as memberDirectory from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import {createRouteTable} from '../routing/route-table.js';
import {createSchedulerRegistry, type SchedulerRegistry} from '../scheduling/scheduler-registry.js';
import {createCallTracker, type DrainResult} from './call-tracker.js';
import {createLeavingReports} from './leaving-reports.js';
import {createPeerHandlers} from './peer-handlers.js';

/** Settings of a node. Each part owns its options, defaults and validation. */
export type NodeSettings = {
	/** This VM as the fleet knows it; the incarnation id is drawn at start. */
	readonly self: Omit<domain.NodeDescription, 'incarnationId'>;
	readonly catalogue?: Partial<catalogueReplicator.CatalogueReplicatorOptions>;
	readonly health?: Partial<HealthOptions>;
	readonly membership?: Partial<memberDirectory.MembershipOptions>;
};

/** A node, assembled over its ports. It knows no protocol, codec or real time. */
export type Node = {
	readonly self: domain.NodeDescription;
	readonly store: CatalogueStore;
	readonly replicator: catalogueReplicator.CatalogueReplicator;
	readonly directory: memberDirectory.MemberDirectory;
	readonly schedulers: SchedulerRegistry;
	readonly administration: Administration;
	readonly peerHandlers: ports.PeerHandlers;
	/**
	 * Handles a caller's request. `signal` is aborted when the caller has gone, and also once the ending has been
	 * delivered, so that whatever the call still holds is released.
	 */
	handleCall(call: domain.CallRequest, signal: AbortSignal): Promise<domain.CallEnding>;
	/** Handles a call that a peer has forwarded. */
	handleForwardedCall(forwarded: ports.ForwardedCall, signal: AbortSignal): Promise<domain.CallEnding>;
	/** Number of calls in flight. */
	inFlightCount(): number;
	/** Whether the node may receive callers' requests. */
	isReady(): boolean;
	/** Runs the node's tasks until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
	/** Refuses new calls after `noticeMs` and resolves when no call is in flight, or after `limitMs`. */
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
	const replicator = catalogueReplicator.createCatalogueReplicator({
		ports: dependencies.ports,
		store,
		options: settings.catalogue,
	});
	const membership = memberDirectory.createMembership({
		ports: dependencies.ports,
		self,
		options: settings.membership,
	});
	const {directory} = membership;
	const schedulers = createSchedulerRegistry({ports: dependencies.ports, store, directory, health: settings.health});
	const delivery = createGroupDelivery({ports: dependencies.ports, directory, schedulers});
	const leavingReports = createLeavingReports({ports: dependencies.ports, store, directory, delivery, schedulers});
	const entryService = createEntryService({
		ports: dependencies.ports,
		directory,
		routeTable,
		schedulers,
		delivery,
		isReady: replicator.isReady,
		handleSingleWork: async () =>
			domain.notRun(domain.RefusalReason.OperationIdRequired, 'this work runs at most once and needs an operation id'),
	});
	const callTracker = createCallTracker({clock});

	const scheduleForwardedCall = async (
		forwarded: ports.ForwardedCall,
		signal: AbortSignal,
	): Promise<domain.CallEnding> => {
		const route = routeTable.findRoute(forwarded.call.method, forwarded.call.path);
		const scheduler = schedulers.openScheduler(forwarded.service, forwarded.groupId);
		if (!scheduler || route.isErr()) {
			return domain.notRun(domain.RefusalReason.NoTarget, `group ${forwarded.groupId} is unknown on this node`, {
				retryAfterMs: 1000,
			});
		}

		const deadlineAtMs = clock.monotonicMs() + forwarded.remainingMs;
		return scheduler.schedule({call: forwarded.call, route: route.value.route, deadlineAtMs}, signal);
	};

	const forwardHandlers: Record<ports.ForwardPurpose, typeof scheduleForwardedCall> = {
		[ports.ForwardPurpose.Schedule]: scheduleForwardedCall,
		[ports.ForwardPurpose.Execute]: async () =>
			domain.notRun(domain.RefusalReason.OperationIdInvalid, 'this node executes no operations yet'),
	};

	return {
		self,
		store,
		replicator,
		directory,
		schedulers,
		administration: createAdministration({ports: dependencies.ports, store, replicator, directory, schedulers}),
		peerHandlers: createPeerHandlers({self, store, schedulers, ports: dependencies.ports}),
		handleCall: async (call, signal) =>
			callTracker.track(async () => entryService.handleCall(call, signal), signal, callTracker.refuseNewCalls()),
		handleForwardedCall: async (forwarded, signal) =>
			callTracker.track(async () => forwardHandlers[forwarded.purpose](forwarded, signal), signal),
		inFlightCount: callTracker.inFlightCount,
		isReady: () => replicator.isReady() && !callTracker.isDraining(),
		async run(signal) {
			await Promise.all([
				replicator.run(signal),
				membership.run(signal),
				schedulers.run(signal),
				leavingReports.run(signal),
			]);
		},
		drain: async options => callTracker.drain(options),
	};
};
