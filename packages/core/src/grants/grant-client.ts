import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {readPeerReply} from '../registry/peer-reply.js';
import type {PeerReachability} from '../registry/peer-reachability.js';
import {KeyState} from '../registry/key-state.js';
import type {Registry} from '../registry/registry.js';
import {buildGroupId} from '../registry/target-index.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import type {DispatcherTable} from './dispatcher-table.js';
import {createNoticeExchange} from './notice-exchange.js';
import type {TargetNotices} from './target-notices.js';

/** Request for a grant, without the fields that depend on the region and the requesting node. */
export type CallGrantRequest = {/** Whether the call has a large body. */ readonly isBulk: boolean} & Omit<
	ports.AcquireGrantRequest,
	'region' | 'waitLimitMs' | 'isLastResort' | 'nodeId' | 'availabilityZone' | 'targetNotices'
>;

/** A grant with the dispatcher that issued it. */
export type HeldGrant = ports.Grant & {
	readonly routeId: string;
	readonly region: string;
	readonly dispatcher: domain.RegisteredNode;
};

export type GrantAnswer = HeldGrant | ports.GrantDenial;

/** Requests grants from dispatchers and reports the results of the attempts. */
export type GrantClient = {
	acquire(callRequest: CallGrantRequest, signal: AbortSignal): Promise<GrantAnswer>;
	/**
	 * Sends an attempt's result to the dispatchers without waiting for delivery. From then on, no grant of a target that has
	 * announced that it is leaving, or that it wants a pause, is used by this node.
	 */
	report(
		grant: HeldGrant,
		result: ports.GrantResult,
		durationMs: number,
		announcement?: ports.TargetAnnouncement,
	): void;
};

export type GrantClientParts = {
	readonly self: domain.RegisteredNode;
	readonly registry: Registry;
	readonly dispatchers: DispatcherTable;
	readonly peerClient: ports.FleetPeerClient;
	readonly peerReachability: PeerReachability;
	readonly clock: ports.Clock;
	readonly logger: ports.Logger;
	readonly metrics: ports.Metrics;
	readonly notices: TargetNotices;
};

/** Grants of blocked targets that are returned for one call before it is refused. */
const BLOCKED_GRANT_LIMIT = 3;

/** Ranked nodes that get requests and reports: the dispatcher, and its successor if it becomes unreachable. */
const RANKED_DISPATCHER_COUNT = 2;

/** Reply time allowed beyond the wait limit. A round trip between regions takes 40 ms; the rest is for slow nodes. */
const DISPATCHER_REPLY_MARGIN_MS = 250;

const REPORT_TIMEOUT_MS = 1000;

/** Minimum wait in one region before the request goes to the next: twice the round trip between regions. */
const MIN_REGION_WAIT_MS = 80;

/**
 * Fraction of the time left to the latency objective that a call waits in one region before its request goes to the next.
 * The link between regions is slow and paid by volume, and a short wait does not harm the caller.
 */
const REGION_WAIT_RATIO = 0.2;

/** Fraction of its remaining time that a bulk call waits for a slot in its own region; the rest is for the work. */
const BULK_WAIT_RATIO = 0.4;

/** Request for a grant in one region. */
type RegionQuery = {readonly region: string; readonly waitLimitMs: number; readonly isLastResort: boolean};

export const createGrantClient = (parts: GrantClientParts): GrantClient => {
	const {self, registry, dispatchers, peerReachability, metrics, notices} = parts;
	const noticeExchange = createNoticeExchange({self, registry, notices, logger: parts.logger});
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

	const rankDispatchers = (service: string, region: string): readonly domain.RegisteredNode[] =>
		registry.rankNodes(buildGroupId(service, region), region, RANKED_DISPATCHER_COUNT);

	const requestFromPeer = async (
		dispatcher: domain.RegisteredNode,
		request: ports.AcquireGrantRequest,
		signal: AbortSignal,
	): Promise<ports.AcquireGrantReply | undefined> => {
		const timeoutMs = request.waitLimitMs + DISPATCHER_REPLY_MARGIN_MS;
		const timed = await runWithTimeout({clock: parts.clock, timeoutMs, signal}, async requestSignal =>
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

	/**
	 * Requests a grant from the region's dispatcher. If that does not answer, requests it from the dispatcher's successor, and
	 * then from the dispatcher on this node.
	 */
	const requestFromRegion = async (
		{isBulk: _isBulk, ...callRequest}: CallGrantRequest,
		query: RegionQuery,
		signal: AbortSignal,
	): Promise<GrantAnswer> => {
		const ranking = rankDispatchers(callRequest.service, query.region);
		const peers = ranking[0]?.nodeId === self.nodeId ? [] : ranking.filter(({nodeId}) => nodeId !== self.nodeId);
		const buildRequest = (triedCount: number): ports.AcquireGrantRequest => ({
			...callRequest,
			...query,
			isNewCall: callRequest.isNewCall && triedCount === 0,
			nodeId: self.nodeId,
			availabilityZone: self.availabilityZone,
			targetNotices: [],
		});
		/** Requests a grant from a peer, which also gets the notices that it lacks. */
		const requestWithNotices = async (dispatcher: domain.RegisteredNode, triedCount: number) => {
			const {targetNotices, markTold} = noticeExchange.listUntold(dispatcher, callRequest.service, query.region);
			const reply = await requestFromPeer(dispatcher, {...buildRequest(triedCount), targetNotices}, signal);
			if (reply) {
				markTold();
				reply.targetNotices?.forEach(notice => {
					notices.record(notice, dispatcher.nodeId);
				});
			}

			return reply;
		};

		const toGrantAnswer = (reply: ports.AcquireGrantReply, dispatcher: domain.RegisteredNode): GrantAnswer => {
			recordDispatcher(buildGroupId(callRequest.service, query.region), dispatcher);
			return reply.isGranted ? {...reply, routeId: callRequest.routeId, region: query.region, dispatcher} : reply;
		};

		for (const [index, dispatcher] of peers.entries()) {
			if (signal.aborted) {
				break;
			}

			const reply = await requestWithNotices(dispatcher, index);
			if (reply) {
				return toGrantAnswer(reply, dispatcher);
			}
		}

		const reply = await dispatchers.get(callRequest.service, query.region).acquire(buildRequest(peers.length), signal);
		return toGrantAnswer(reply, self);
	};

	/** Regions of the service, this node's own first, with the time that the call may wait in each. */
	const planRegionQueries = (callRequest: CallGrantRequest): readonly RegionQuery[] => {
		const regions = registry
			.regionsOf(callRequest.service)
			.toSorted((left, right) => Number(right === self.region) - Number(left === self.region));
		const shortWaitMs = Math.max(MIN_REGION_WAIT_MS, callRequest.objectiveLeftMs * REGION_WAIT_RATIO);
		const ownWaitMs = callRequest.isBulk
			? Math.max(shortWaitMs, callRequest.remainingMs * BULK_WAIT_RATIO)
			: shortWaitMs;
		return regions.map((region, index) => ({
			region,
			waitLimitMs: index === 0 ? ownWaitMs : shortWaitMs,
			isLastResort: false,
		}));
	};

	const sendReport = async (node: domain.RegisteredNode, request: ports.ReportResultRequest): Promise<void> => {
		if (node.nodeId === self.nodeId) {
			dispatchers.get(request.service, request.region).report(request);
			return;
		}

		// Each report has its own signal: a shared one would accumulate a listener for each pending report.
		const {signal: reportSignal} = new AbortController();
		const timed = await runWithTimeout(
			{clock: parts.clock, timeoutMs: REPORT_TIMEOUT_MS, signal: reportSignal},
			async signal => parts.peerClient.request(node.address, ports.FleetMessageKind.ReportResult, request, {signal}),
		);
		if (readPeerReply(timed).isErr()) {
			// The grant expires without the report; only the evidence about the target is lost.
			metrics.increment(ports.CounterName.PeerMessages, {kind: ports.FleetMessageKind.ReportResult, result: 'failed'});
			parts.logger.debug('attempt report not delivered', {
				event: ports.LogEvent.ReportLost,
				peer: node.address,
				grantId: request.grantId,
			});
		}
	};

	/** Requests a grant from each region in turn, and then as a last resort. */
	const acquireFromRegions = async (callRequest: CallGrantRequest, signal: AbortSignal): Promise<GrantAnswer> => {
		const queries = planRegionQueries(callRequest);
		const followUpRequest = {...callRequest, isNewCall: false};
		const denials: Array<{query: RegionQuery; denial: ports.GrantDenial}> = [];
		for (const query of queries) {
			if (callRequest.isBulk && denials.some(({denial}) => denial.refusal !== ports.GrantRefusal.NoTarget)) {
				// A large body occupies the link between regions for as long as ten small calls, so a bulk call goes to another
				// region only if its own has no target to wait for.
				break;
			}

			const answer = await requestFromRegion(denials.length === 0 ? callRequest : followUpRequest, query, signal);
			if (answer.isGranted) {
				return answer;
			}

			denials.push({query, denial: answer});
		}

		const shortestWait = denials.toSorted(
			(left, right) => left.denial.predictedWaitMs - right.denial.predictedWaitMs,
		)[0];
		if (!shortestWait) {
			return {isGranted: false, refusal: ports.GrantRefusal.NoTarget, predictedWaitMs: 0};
		}

		const isFinal = [ports.GrantRefusal.NoBudget, ports.GrantRefusal.TooLate].includes(shortestWait.denial.refusal);
		if (isFinal || signal.aborted) {
			return shortestWait.denial;
		}

		// No region granted a target, so the one with the shortest predicted wait may now also grant a gray one.
		return requestFromRegion(
			followUpRequest,
			{region: shortestWait.query.region, waitLimitMs: 0, isLastResort: true},
			signal,
		);
	};

	/**
	 * Whether the target is leaving or has left according to this node's records. Those of its dispatcher may be older, if it has
	 * lost the store or was suspended. A dispatcher of an earlier version does not say how old they are, so then this node's own
	 * records must be up to date.
	 */
	const isWithdrawn = ({target, targetOffset, targetEra}: HeldGrant): boolean => {
		const {targetId, startedAtMs} = target;
		const known = registry.target(targetId);
		const {targets} = registry.replicas;
		if (targetOffset === undefined && registry.isStale()) {
			return false;
		}

		if (known) {
			return known.startedAtMs === startedAtMs && known.readiness === domain.TargetReadiness.Draining;
		}

		return targetOffset === undefined
			? targets.stateOf(targetId) === KeyState.Removed
			: targets.isRemovedAfter(targetId, {era: registry.eras.resolve(targetEra), offset: targetOffset}, target);
	};

	const report: GrantClient['report'] = (grant, result, durationMs, announcement) => {
		const {service} = grant.target;
		const request: ports.ReportResultRequest = {
			grantId: grant.grantId,
			nodeId: self.nodeId,
			routeId: grant.routeId,
			service,
			region: grant.region,
			targetId: grant.target.targetId,
			result,
			durationMs: Math.round(durationMs),
			targetNotices: noticeExchange.recordAnnouncement(grant.target, announcement),
		};
		// The dispatcher on this node gets the result too, since this node uses it when it can reach no other. The successor of
		// another region's dispatcher gets none: it has the results of its own region's calls, and omitting the report saves
		// a message over the region link for each call.
		const successors = grant.region === self.region ? rankDispatchers(service, grant.region) : [];
		const nodes = [grant.dispatcher, ...successors, self];
		const receivers = new Map(nodes.map(node => [node.nodeId, node]));
		[...receivers.values()].forEach(node => {
			void sendReport(node, request);
		});
	};

	return {
		async acquire(callRequest, signal) {
			let request = callRequest;
			for (let blockedCount = 0; blockedCount < BLOCKED_GRANT_LIMIT; blockedCount++) {
				const answer = await acquireFromRegions(request, signal);
				if (!answer.isGranted || !(notices.isBlocked(answer.target) || isWithdrawn(answer))) {
					return answer;
				}

				// The target's announcement arrived after the dispatcher had granted it, or the dispatcher's records are old.
				parts.logger.info('grant returned', {
					event: ports.LogEvent.GrantReturned,
					requestId: callRequest.requestId,
					grantId: answer.grantId,
					targetId: answer.target.targetId,
					dispatcher: answer.dispatcher.nodeId,
					targetRecord: registry.replicas.targets.stateOf(answer.target.targetId),
					topicAgesMs: registry.topicAgesMs(),
				});
				report(answer, ports.GrantResult.Cancelled, 0);
				const excludedTargetIds = [...request.excludedTargetIds, answer.target.targetId];
				request = {...request, isNewCall: false, excludedTargetIds};
			}

			return {isGranted: false, refusal: ports.GrantRefusal.Busy, predictedWaitMs: 0};
		},
		report,
	};
};
