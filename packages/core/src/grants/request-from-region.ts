import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import type {PeerReachability} from '../registry/peer-reachability.js';
import {readPeerReply} from '../registry/peer-reply.js';
import type {Registry} from '../registry/registry.js';
import {buildGroupId} from '../registry/target-index.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import type {RegionPlanner} from '../zones/region-planner.js';
import type {DispatcherTable} from './dispatcher-table.js';
import type {CallGrantRequest, GrantAnswer} from './held-grant.js';
import type {NoticeExchange} from './notice-exchange.js';
import type {TargetNotices} from './target-notices.js';

/** Request for a grant in one region. */
export type RegionQuery = {
	readonly region: string;
	readonly waitLimitMs: number;
	readonly isLastResort: boolean;
};

export type RegionRequesterParts = {
	readonly self: domain.RegisteredNode;
	readonly registry: Registry;
	readonly dispatchers: DispatcherTable;
	readonly peerClient: ports.FleetPeerClient;
	readonly peerReachability: PeerReachability;
	readonly clock: ports.Clock;
	readonly logger: ports.Logger;
	readonly metrics: ports.Metrics;
	readonly notices: TargetNotices;
	readonly noticeExchange: NoticeExchange;
	readonly planner: RegionPlanner;
};

/**
 * Requests a grant from the region's dispatcher. If that does not answer, requests it from the dispatcher's successor, and then
 * from the dispatcher on this node.
 */
export type RegionRequester = (
	callRequest: CallGrantRequest,
	query: RegionQuery,
	signal: AbortSignal,
) => Promise<GrantAnswer>;

/** Ranked nodes that get requests and reports: the dispatcher, and its successor if it becomes unreachable. */
const RANKED_DISPATCHER_COUNT = 2;

/** Reply time allowed beyond the wait limit. A round trip between regions takes 40 ms; the rest is for slow nodes. */
const DISPATCHER_REPLY_MARGIN_MS = 250;

/** Nodes that get the requests and reports of a group, its dispatcher first. */
export const rankDispatchers = (
	registry: Registry,
	service: string,
	region: string,
): readonly domain.RegisteredNode[] =>
	registry.rankNodes(buildGroupId(service, region), region, RANKED_DISPATCHER_COUNT);

export const createRegionRequester = (parts: RegionRequesterParts): RegionRequester => {
	const {self, registry, dispatchers, peerReachability, clock, metrics, notices, noticeExchange, planner} = parts;
	/** Node id of the dispatcher that last answered for each group. */
	const lastDispatchers = new Map<string, string>();

	const recordDispatcher = (groupId: string, {nodeId}: domain.RegisteredNode): void => {
		const previous = lastDispatchers.get(groupId);
		if (previous === nodeId) {
			return;
		}

		lastDispatchers.set(groupId, nodeId);
		parts.logger.info('dispatcher changed', {
			event: ports.LogEvent.DispatcherChanged,
			groupId,
			dispatcher: nodeId,
			previous,
		});
	};

	const requestFromPeer = async (
		dispatcher: domain.RegisteredNode,
		request: ports.AcquireGrantRequest,
		signal: AbortSignal,
	): Promise<ports.AcquireGrantReply | undefined> => {
		const timeoutMs = request.waitLimitMs + DISPATCHER_REPLY_MARGIN_MS;
		const timed = await runWithTimeout({clock, timeoutMs, signal}, async requestSignal =>
			parts.peerClient.request(dispatcher.address, ports.FleetMessageKind.AcquireGrant, request, {
				signal: requestSignal,
			}),
		);
		if (signal.aborted) {
			return undefined;
		}

		const reply = readPeerReply(timed);
		if (reply.isErr()) {
			peerReachability.recordFailure(dispatcher.address, reply.error.detail);
			metrics.increment(ports.CounterName.PeerMessages, {kind: ports.FleetMessageKind.AcquireGrant, result: 'failed'});
			return undefined;
		}

		peerReachability.recordSuccess(dispatcher.address);
		return reply.value;
	};

	return async ({isBulk: _isBulk, bodyBytes, ...callRequest}, query, signal) => {
		const {service, routeId} = callRequest;
		const isOtherRegion = query.region !== self.region;
		const ranking = rankDispatchers(registry, service, query.region);
		const peers = ranking[0]?.nodeId === self.nodeId ? [] : ranking.filter(({nodeId}) => nodeId !== self.nodeId);
		const expectedBytes = planner.expectBytes({routeId, bodyBytes});
		const buildRequest = (triedCount: number): ports.AcquireGrantRequest => ({
			...callRequest,
			...query,
			// Fractions of a ms would add a fifth to the size of the message.
			waitLimitMs: Math.round(query.waitLimitMs),
			remainingMs: Math.round(callRequest.remainingMs),
			objectiveLeftMs: Math.round(callRequest.objectiveLeftMs),
			...(isOtherRegion
				? {isFromOtherRegion: true}
				: {bodyBytes: Math.round(planner.expectBodyBytes({routeId, bodyBytes}))}),
			isNewCall: callRequest.isNewCall && triedCount === 0,
			nodeId: self.nodeId,
			availabilityZone: self.availabilityZone,
			targetNotices: [],
		});
		/** Requests a grant from a peer, which also gets the notices that it lacks. */
		const requestWithNotices = async (dispatcher: domain.RegisteredNode, triedCount: number) => {
			const {targetNotices, markTold} = noticeExchange.listUntold(dispatcher, service, query.region);
			const reply = await requestFromPeer(dispatcher, {...buildRequest(triedCount), targetNotices}, signal);
			if (reply) {
				markTold();
				reply.targetNotices?.forEach(notice => {
					notices.record(notice, dispatcher.nodeId);
				});
			}

			return reply;
		};

		const recordReply = (reply: ports.AcquireGrantReply | undefined, startedAtMs: number): void => {
			if (isOtherRegion) {
				const elapsedMs = clock.monotonicMs() - startedAtMs;
				const {waitLimitMs} = query;
				planner.recordReply(service, query.region, {reply, elapsedMs, waitLimitMs, expectedBytes});
			}
		};

		const toGrantAnswer = (reply: ports.AcquireGrantReply, dispatcher: domain.RegisteredNode): GrantAnswer => {
			recordDispatcher(buildGroupId(service, query.region), dispatcher);
			if (!reply.isGranted) {
				return reply;
			}

			planner.recordGrant(service, query.region);
			if (reply.usualDurationMs !== undefined) {
				planner.routes.recordWork(routeId, reply.usualDurationMs);
			}

			return {...reply, routeId, region: query.region, dispatcher};
		};

		for (const [index, dispatcher] of peers.entries()) {
			if (signal.aborted) {
				break;
			}

			const startedAtMs = clock.monotonicMs();
			const reply = await requestWithNotices(dispatcher, index);
			if (reply) {
				recordReply(reply, startedAtMs);
				return toGrantAnswer(reply, dispatcher);
			}
		}

		const startedAtMs = clock.monotonicMs();
		const reply = await dispatchers.get(service, query.region).acquire(buildRequest(peers.length), signal);
		const hasNodes = registry.nodesOf(query.region).length > 0;
		if (!signal.aborted) {
			// The dispatcher on this node knows nothing of a region whose own nodes do not answer.
			recordReply(hasNodes ? undefined : reply, startedAtMs);
		}

		return toGrantAnswer(reply, self);
	};
};
