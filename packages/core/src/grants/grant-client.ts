import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {readPeerReply} from '../registry/peer-reply.js';
import type {PeerReachability} from '../registry/peer-reachability.js';
import {KeyState} from '../registry/key-state.js';
import type {Registry} from '../registry/registry.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import {PlaceRelation, relatePlaces} from '../zones/place-relation.js';
import {createRegionPlanner, MESSAGE_BYTES, type RegionPlanner} from '../zones/region-planner.js';
import {DEFAULT_ZONE_OPTIONS, type ZoneOptions} from '../zones/zone-options.js';
import {createRegionAcquirer} from './acquire-from-regions.js';
import type {DispatcherTable} from './dispatcher-table.js';
import type {AttemptBytes, CallGrantRequest, GrantAnswer, HeldGrant} from './held-grant.js';
import {createNoticeExchange} from './notice-exchange.js';
import {createRegionRequester, rankDispatchers} from './request-from-region.js';
import type {TargetNotices} from './target-notices.js';

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

/** Counts and learns what an attempt has sent and received, as far as its length is known. */
export type ByteRecorder = (grant: HeldGrant, bytes: AttemptBytes) => void;

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
	readonly random: ports.Random;
	/** Decisions between zones and regions; the defaults if absent. */
	readonly zoneOptions?: ZoneOptions;
};

/** Grants of blocked targets that are returned for one call before it is refused. */
const BLOCKED_GRANT_LIMIT = 3;

const REPORT_TIMEOUT_MS = 1000;

/** The grant client of a node with what the node's other parts use. */
export type NodeGrants = GrantClient & {readonly recordBytes: ByteRecorder; readonly planner: RegionPlanner};

export const createGrantClient = (parts: GrantClientParts): NodeGrants => {
	const {self, registry, dispatchers, metrics, notices} = parts;
	const noticeExchange = createNoticeExchange({self, registry, notices, logger: parts.logger});
	const planner = createRegionPlanner({
		ownRegion: self.region,
		options: parts.zoneOptions ?? DEFAULT_ZONE_OPTIONS,
		clock: parts.clock,
		random: parts.random,
		logger: parts.logger,
		countNodes: () => registry.nodesOf(self.region).length,
	});
	const requestFromRegion = createRegionRequester({...parts, noticeExchange, planner});
	const acquireFromRegions = createRegionAcquirer({...parts, planner, requestFromRegion});

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

	/** Learns from a result how far its target is, and counts the attempt by that. */
	const recordPlace = (
		{target, region, usualDurationMs}: HeldGrant,
		result: ports.GrantResult,
		durationMs: number,
	): void => {
		const relation = relatePlaces(self, target);
		metrics.increment(ports.CounterName.PlacedCalls, {relation});
		if (relation === PlaceRelation.OtherRegion && result === ports.GrantResult.Success) {
			planner.recordAnswer(target.service, region, usualDurationMs === undefined ? 0 : durationMs - usualDurationMs);
		}
	};

	const recordBytes: ByteRecorder = ({target, routeId}, {requestBytes, answerBytes}) => {
		const relation = relatePlaces(self, target);
		const messageBytes = relation === PlaceRelation.OtherRegion ? MESSAGE_BYTES : 0;
		metrics.increment(ports.CounterName.PlacedBytes, {relation}, requestBytes + (answerBytes ?? 0) + messageBytes);
		if (answerBytes !== undefined) {
			planner.routes.recordAnswer(routeId, answerBytes);
		}
	};

	const report: GrantClient['report'] = (grant, result, durationMs, announcement) => {
		const {service} = grant.target;
		if (result !== ports.GrantResult.Cancelled) {
			recordPlace(grant, result, durationMs);
		}

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
		const successors = grant.region === self.region ? rankDispatchers(registry, service, grant.region) : [];
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
		recordBytes,
		planner,
	};
};
