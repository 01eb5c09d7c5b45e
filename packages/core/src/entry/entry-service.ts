import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as routeTables from '../routing/route-table.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';
import {createNodeGuard} from '../scheduling/node-guard.js';
import type {NodeGuardOptions} from '../scheduling/scheduler-options.js';
import {limitBody} from '../shared/limit-body.js';
import {trackReading} from '../shared/track-reading.js';
import type {AdmittedCall} from './admitted-call.js';
import {createGroupOffers} from './group-offers.js';
import type {GroupDelivery} from './group-delivery.js';

/** Checks callers' requests at the entry node and runs the admitted ones. */
export type EntryService = {
	handleCall(call: domain.CallRequest, signal: AbortSignal): Promise<domain.CallEnding>;
};

/** Handles calls that have passed the checks at the entry node. */
export type AdmittedCallHandler = (admitted: AdmittedCall, signal: AbortSignal) => Promise<domain.CallEnding>;

/** Refusal reason for each kind of route miss. */
export const ROUTE_MISS_REASONS: Record<routeTables.RouteMiss, domain.RefusalReason> = {
	[routeTables.RouteMiss.UnknownPath]: domain.RefusalReason.UnknownRoute,
	[routeTables.RouteMiss.MethodNotAllowed]: domain.RefusalReason.MethodNotAllowed,
};

export const createEntryService = (dependencies: {
	ports: ports.NodePorts;
	directory: MemberDirectory;
	routeTable: routeTables.RouteTable;
	schedulers: SchedulerRegistry;
	delivery: GroupDelivery;
	isReady: () => boolean;
	/** Handles calls without an operation id on routes whose work may run at most once. */
	handleSingleWork: AdmittedCallHandler;
	nodeGuard?: Partial<NodeGuardOptions>;
	/** Handles all calls with an operation id. */
	submitOperation: (call: domain.CallRequest, signal: AbortSignal) => Promise<domain.CallEnding>;
}): EntryService => {
	const {clock, metrics} = dependencies.ports;
	const offers = createGroupOffers(dependencies);
	const guard = createNodeGuard({ports: dependencies.ports, options: dependencies.nodeGuard});

	/**
	 * Refuses repeatable calls while the node is overloaded. Other work is not refused here, because only its executor can
	 * determine whether an earlier submission ran.
	 */
	const handleRepeatable = async (admitted: AdmittedCall, signal: AbortSignal): Promise<domain.CallEnding> =>
		guard.findRefusal() ?? offers.deliver(admitted, signal);

	const handlersByRepeatability: Record<domain.Repeatability, AdmittedCallHandler> = {
		[domain.Repeatability.Repeatable]: handleRepeatable,
		[domain.Repeatability.Single]: dependencies.handleSingleWork,
	};

	const admitCall = async (call: domain.CallRequest, signal: AbortSignal): Promise<domain.CallEnding> => {
		// The operation may have run through another node, so only its executor may report that it did not run. This holds
		// even when this node's catalogue is out of date or now lists the route as repeatable.
		if (call.operationId !== undefined) {
			return dependencies.submitOperation(call, signal);
		}

		if (!dependencies.isReady()) {
			return domain.notRun(domain.RefusalReason.NoCatalogue, 'this node has no catalogue yet', {
				retryAfterMs: 1000,
			});
		}

		const found = dependencies.routeTable.findRoute(call.method, call.path);
		if (found.isErr()) {
			const detail = `no route accepts ${call.method} ${call.path}; see the routes of the catalogue entries`;
			return domain.notRun(ROUTE_MISS_REASONS[found.error], detail);
		}

		const {service, route} = found.value;
		if ((call.bodyLengthBytes ?? 0) > route.requestBodyLimitBytes) {
			const detail = `the body has ${call.bodyLengthBytes} bytes; the route accepts at most ${route.requestBodyLimitBytes}`;
			return domain.notRun(domain.RefusalReason.BodyTooLarge, detail);
		}

		const deadlineMs = Math.min(route.deadlineMs, call.deadlineMs ?? route.deadlineMs);
		const tracked = call.body && trackReading(call.body);
		const admitted: AdmittedCall = {
			service,
			route,
			call: {...call, body: tracked && limitBody(tracked.body, route.requestBodyLimitBytes)},
			isBodyUnread: () => tracked?.isUnread() ?? true,
			deadlineAtMs: clock.monotonicMs() + deadlineMs,
		};
		return handlersByRepeatability[route.repeatability](admitted, signal);
	};

	return {
		async handleCall(call, signal) {
			const ending = await admitCall(call, signal);
			metrics.increment(ports.CounterName.Calls, {outcome: ending.outcome});
			if (ending.outcome !== domain.Outcome.Completed) {
				metrics.increment(ports.CounterName.Refusals, {reason: ending.reason});
			}

			return ending;
		},
	};
};
