import * as domain from '@bilberrydoor/domain';
import {LinkDirection, type RegionLink} from '../link/region-link.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import type {TargetGroup} from '../routing/target-groups.js';
import type {ScheduledCall} from '../scheduling/scheduled-call.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';
import {observeBody} from '../shared/observe-body.js';
import {forwardWithinDeadline} from './bounded-forward.js';
import {createRankingCache} from './ranking-cache.js';

/** How many nodes of a group's ranking are tried. */
const RANKING_LIMIT_COUNT = 3;

/** Brings calls to the scheduling node of a group. */
export type GroupDelivery = {
	deliver(group: TargetGroup, scheduled: ScheduledCall, signal: AbortSignal): Promise<domain.CallEnding>;
	/** The group's scheduling node and its successors. This node itself when it knows none in the region. */
	rankNodes(group: TargetGroup): readonly domain.NodeDescription[];
};

export const createGroupDelivery = (dependencies: {
	ports: ports.NodePorts;
	directory: MemberDirectory;
	schedulers: SchedulerRegistry;
	link: RegionLink;
	/** Relative share of a service among the bodies on a link. */
	linkWeightOf: (service: string) => number;
}): GroupDelivery => {
	const {directory, schedulers, link} = dependencies;
	const {clock, metrics} = dependencies.ports;
	const rankingCache = createRankingCache({directory, limitCount: RANKING_LIMIT_COUNT});

	const rankNodes = (group: TargetGroup): readonly domain.NodeDescription[] => {
		const nodes = rankingCache.rank(group.groupId, group.region);
		return nodes.length === 0 ? [directory.self] : nodes;
	};

	const scheduleHere = async (
		group: TargetGroup,
		scheduled: ScheduledCall,
		signal: AbortSignal,
	): Promise<domain.CallEnding> => {
		const scheduler = schedulers.openScheduler(group.service, group.groupId);
		return scheduler
			? scheduler.schedule(scheduled, signal)
			: domain.notRun(domain.RefusalReason.NoTarget, `service ${group.service} has no targets in its entry`);
	};

	/** Wraps a body when it crosses the link to another region. */
	const wrapForLink = (
		body: domain.BodyStream,
		route: {readonly node: domain.NodeDescription; readonly direction: LinkDirection},
		{service, workClass}: {readonly service: string; readonly workClass: domain.WorkClass},
		signal: AbortSignal,
	): domain.BodyStream => {
		const {region} = route.node;
		const linkWeight = dependencies.linkWeightOf(service);
		return region === directory.self.region
			? body
			: link.wrapBody(body, {region, direction: route.direction, service, workClass, linkWeight}, signal);
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

	/**
	 * Whether another node may get the call. A body that was read cannot be sent again, so a bulk body crosses the link a
	 * second time only when nothing of it was read.
	 */
	const isMovable = (error: ports.PeerError, scheduled: ScheduledCall, isBodyRead: boolean): boolean =>
		!isBodyRead &&
		(error.kind === ports.PeerErrorKind.Unreachable ||
			error.kind === ports.PeerErrorKind.Refused ||
			(clock.monotonicMs() < scheduled.deadlineAtMs &&
				scheduled.route.repeatability === domain.Repeatability.Repeatable));

	return {
		rankNodes,
		async deliver(group, given, signal) {
			let isFirst = true;
			let isBodyRead = false;
			const body =
				given.call.body &&
				observeBody(given.call.body, {
					onChunk() {
						isBodyRead = true;
					},
				});
			const scheduled = {...given, call: {...given.call, body}};
			for (const node of rankNodes(group)) {
				if (node.address === directory.self.address) {
					return scheduleHere(group, scheduled, signal);
				}

				if (isFirst) {
					const refusal = scheduled.beforeDispatch?.();
					if (refusal) {
						return refusal;
					}

					isFirst = false;
				}

				const forwarded = await forwardToPeer(node, group, scheduled, signal);
				if (forwarded.isOk()) {
					return forwarded.value;
				}

				if (!isMovable(forwarded.error, scheduled, isBodyRead)) {
					return domain.unknown(domain.RefusalReason.PeerLost, forwarded.error.detail);
				}

				const reason =
					forwarded.error.kind === ports.PeerErrorKind.Lost
						? domain.RetryReason.PeerLost
						: domain.RetryReason.PeerUnreachable;
				metrics.increment(ports.CounterName.Retries, {service: group.service, reason});
			}

			return domain.notRun(
				domain.RefusalReason.PeerUnreachable,
				`no scheduling node of group ${group.groupId} could be reached`,
				{retryAfterMs: 1000},
			);
		},
	};
};
