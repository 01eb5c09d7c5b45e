import * as domain from '@bilberrydoor/domain';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import {rankByRendezvous} from '../routing/rendezvous-ranking.js';
import type {TargetGroup} from '../routing/target-groups.js';
import type {ScheduledCall} from '../scheduling/scheduled-call.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';

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
}): GroupDelivery => {
	const {directory, schedulers} = dependencies;
	const {clock, metrics, peerClient} = dependencies.ports;
	const rankings = new Map<string, {version: number; nodes: readonly domain.NodeDescription[]}>();

	const rankNodes = (group: TargetGroup): readonly domain.NodeDescription[] => {
		const cached = rankings.get(group.groupId);
		if (cached?.version === directory.version()) {
			return cached.nodes;
		}

		const eligible = directory.listEligibleNodes(group.region);
		const nodes =
			eligible.length === 0 ? [directory.self] : rankByRendezvous(group.groupId, eligible, RANKING_LIMIT_COUNT);
		rankings.set(group.groupId, {version: directory.version(), nodes});
		return nodes;
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

	const forwardToPeer = async (
		node: domain.NodeDescription,
		group: TargetGroup,
		scheduled: ScheduledCall,
		signal: AbortSignal,
	) =>
		peerClient.forwardCall(
			node.address,
			{
				purpose: ports.ForwardPurpose.Schedule,
				service: group.service,
				groupId: group.groupId,
				remainingMs: scheduled.deadlineAtMs - clock.monotonicMs(),
				...(scheduled.startDeadlineAtMs !== undefined && {
					remainingStartMs: scheduled.startDeadlineAtMs - clock.monotonicMs(),
					// A copy of the message that reaches a later run of the node must not start the work there.
					requiredIncarnationId: node.incarnationId === '' ? undefined : node.incarnationId,
				}),
				call: scheduled.call,
			},
			signal,
		);

	const isMovable = (error: ports.PeerError, scheduled: ScheduledCall): boolean =>
		error.kind === ports.PeerErrorKind.Unreachable ||
		error.kind === ports.PeerErrorKind.Refused ||
		(scheduled.route.repeatability === domain.Repeatability.Repeatable && scheduled.call.body === undefined);

	return {
		rankNodes,
		async deliver(group, scheduled, signal) {
			for (const node of rankNodes(group)) {
				if (node.address === directory.self.address) {
					return scheduleHere(group, scheduled, signal);
				}

				// Asked for each node, because trying an unreachable one takes time.
				const refusal = scheduled.beforeDispatch?.();
				if (refusal) {
					return refusal;
				}

				const forwarded = await forwardToPeer(node, group, scheduled, signal);
				if (forwarded.isOk()) {
					return forwarded.value;
				}

				if (!isMovable(forwarded.error, scheduled)) {
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
