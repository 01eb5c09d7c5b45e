import * as domain from '@bilberrydoor/domain';
import * as tsPattern from 'ts-pattern';
import {LinkDirection, type RegionLink} from '../link/region-link.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import type {TargetGroup} from '../routing/target-groups.js';
import {drawRetryAfter} from '../scheduling/retry-after.js';
import type {ScheduledCall} from '../scheduling/scheduled-call.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';
import {forwardWithinDeadline} from './bounded-forward.js';
import {createRankingCache} from './ranking-cache.js';

/** How many nodes of a group's ranking are tried. */
const RANKING_LIMIT_COUNT = 3;

/** Expected time until a scheduling node can be reached again, in ms. */
const RETRY_AFTER_MS = 1000;

/** Delivers calls to the scheduling node of a group. */
export type GroupDelivery = {
	deliver(group: TargetGroup, scheduled: ScheduledCall, signal: AbortSignal): Promise<domain.CallEnding>;
	/** The group's scheduling node and its successors; only this node itself when the region has no eligible node. */
	rankNodes(group: TargetGroup): readonly domain.NodeDescription[];
};

export const createGroupDelivery = (dependencies: {
	ports: ports.NodePorts;
	directory: MemberDirectory;
	schedulers: SchedulerRegistry;
	link: RegionLink;
	/** Relative weight of a service when bodies share a region link. */
	linkWeightOf: (service: string) => number;
}): GroupDelivery => {
	const {directory, schedulers, link} = dependencies;
	const {clock, metrics, random} = dependencies.ports;
	const rankingCache = createRankingCache({directory, limitCount: RANKING_LIMIT_COUNT});

	const rankNodes = (group: TargetGroup): readonly domain.NodeDescription[] => {
		const nodes = rankingCache.rank(group.groupId, group.region);
		return nodes.length === 0 ? [directory.self] : nodes;
	};

	const scheduleLocally = async (
		group: TargetGroup,
		scheduled: ScheduledCall,
		signal: AbortSignal,
	): Promise<domain.CallEnding> => {
		const scheduler = schedulers.getOrCreateScheduler(group.service, group.groupId);
		return scheduler
			? scheduler.schedule(scheduled, signal)
			: domain.notRun(domain.RefusalReason.NoTarget, `service ${group.service} has no targets in its entry`);
	};

	/** Wraps a body when it crosses the link to another region. */
	const wrapForLink = (
		body: domain.BodyStream,
		hop: {readonly node: domain.NodeDescription; readonly direction: LinkDirection},
		{service, workClass}: {readonly service: string; readonly workClass: domain.WorkClass},
		signal: AbortSignal,
	): domain.BodyStream => {
		const {region} = hop.node;
		const linkWeight = dependencies.linkWeightOf(service);
		return region === directory.self.region
			? body
			: link.wrapBody(body, {region, direction: hop.direction, service, workClass, linkWeight}, signal);
	};

	const forwardToPeer = async (
		node: domain.NodeDescription,
		group: TargetGroup,
		scheduled: ScheduledCall,
		signal: AbortSignal,
	) => {
		const {call, route, deadlineAtMs} = scheduled;
		const transfer = {service: group.service, workClass: route.workClass};
		const body = call.body && wrapForLink(call.body, {node, direction: LinkDirection.Outbound}, transfer, signal);
		const result = await forwardWithinDeadline(
			dependencies.ports,
			node.address,
			{
				purpose: ports.ForwardPurpose.Schedule,
				service: group.service,
				groupId: group.groupId,
				remainingMs: deadlineAtMs - clock.monotonicMs(),
				...(scheduled.startDeadlineAtMs !== undefined && {
					remainingStartMs: scheduled.startDeadlineAtMs - clock.monotonicMs(),
					// A copy of the message that reaches a later incarnation of the node must not start the work there.
					requiredIncarnationId: node.incarnationId === '' ? undefined : node.incarnationId,
				}),
				call: {...call, body},
			},
			signal,
		);
		return result.map(ending =>
			ending.outcome === domain.Outcome.Completed
				? domain.completed({
						...ending.answer,
						body: wrapForLink(ending.answer.body, {node, direction: LinkDirection.Inbound}, transfer, signal),
					})
				: ending,
		);
	};

	const isBodyUnread = ({call, isBodyUnread}: ScheduledCall): boolean =>
		call.body === undefined || (isBodyUnread?.() ?? false);

	/** Whether a call for which this peer returned an error may be forwarded to the next node. */
	const canTryNextNode = (error: ports.PeerError, scheduled: ScheduledCall, signal: AbortSignal): boolean => {
		const isRepeatable = scheduled.route.repeatability === domain.Repeatability.Repeatable;
		const mayHaveArrived = error.kind === ports.PeerErrorKind.Lost;
		const isInTime = clock.monotonicMs() < scheduled.deadlineAtMs && !signal.aborted;
		return isInTime && isBodyUnread(scheduled) && (!mayHaveArrived || isRepeatable);
	};

	const buildUndeliveredEnding = (error: ports.PeerError, mayHaveArrived: boolean): domain.CallEnding =>
		mayHaveArrived
			? domain.unknown(domain.RefusalReason.PeerLost, error.detail)
			: domain.notRun(domain.RefusalReason.PeerUnreachable, error.detail, {
					retryAfterMs: drawRetryAfter(random, RETRY_AFTER_MS),
				});

	/**
	 * Turns a refusal into an unknown ending if an earlier peer may have received the call, because a refusal by another
	 * node does not prove that the call did not run.
	 */
	const finalizeEnding = (ending: domain.CallEnding, mayHaveArrived: boolean): domain.CallEnding =>
		tsPattern
			.match({mayHaveArrived, ending})
			.with({mayHaveArrived: true, ending: {outcome: domain.Outcome.NotRun}}, ({ending: {detail}}) =>
				domain.unknown(domain.RefusalReason.PeerLost, detail),
			)
			.otherwise(() => ending);

	const countFailover = (error: ports.PeerError, service: string): void => {
		const reason =
			error.kind === ports.PeerErrorKind.Lost ? domain.RetryReason.PeerLost : domain.RetryReason.PeerUnreachable;
		metrics.increment(ports.CounterName.Retries, {service, reason});
	};

	return {
		rankNodes,
		async deliver(group, scheduled, signal) {
			let mayHaveArrived = false;
			let error: ports.PeerError = {kind: ports.PeerErrorKind.Unreachable, detail: 'the group has no scheduling node'};
			for (const node of rankNodes(group)) {
				if (node.address === directory.self.address) {
					return finalizeEnding(await scheduleLocally(group, scheduled, signal), mayHaveArrived);
				}

				// Called again for each node, because time has passed if an unreachable one was tried before.
				const refusal = scheduled.beforeDispatch?.();
				if (refusal) {
					return refusal;
				}

				const forwarded = await forwardToPeer(node, group, scheduled, signal);
				if (forwarded.isOk()) {
					return finalizeEnding(forwarded.value, mayHaveArrived);
				}

				error = forwarded.error;
				mayHaveArrived ||= error.kind === ports.PeerErrorKind.Lost;
				if (!canTryNextNode(error, scheduled, signal)) {
					break;
				}

				countFailover(error, group.service);
			}

			return buildUndeliveredEnding(error, mayHaveArrived);
		},
	};
};
