import * as domain from '@bilberrydoor/domain';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import {rankByRendezvous} from '../routing/rendezvous-ranking.js';
import type {TargetGroup} from '../routing/target-groups.js';
import {drawRetryAfter} from '../scheduling/retry-after.js';
import {STOP_REASON} from '../shared/stop-reason.js';
import type {ScheduledCall} from '../scheduling/scheduled-call.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';

/** How many nodes of a group's ranking are tried. */
const RANKING_LIMIT_COUNT = 3;

/** Time beyond a call's deadline in which the ending of a scheduling node in another region arrives, in ms. */
const ENDING_GRACE_MS = 100;

/** When a caller may try again after no scheduling node could be reached, in ms. */
const RETRY_AFTER_MS = 1000;

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
	const {clock, metrics, peerClient, random} = dependencies.ports;
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
				call: scheduled.call,
			},
			signal,
		);

	/** Forwards the call and gives up some time after its deadline, when the peer's own ending is overdue. */
	const forwardWithinDeadline = async (
		node: domain.NodeDescription,
		group: TargetGroup,
		scheduled: ScheduledCall,
		signal: AbortSignal,
	) => {
		const controller = new AbortController();
		const watchController = new AbortController();
		const cancel = (): void => {
			controller.abort(STOP_REASON);
		};

		const cancelWhenOverdue = async (): Promise<void> => {
			const remainingMs = scheduled.deadlineAtMs - clock.monotonicMs();
			await clock.sleep(remainingMs + ENDING_GRACE_MS, watchController.signal);
			if (!watchController.signal.aborted) {
				cancel();
			}
		};

		if (signal.aborted) {
			cancel();
		}

		// The listener stays, because the signal also ends the transfer of the answer's body.
		signal.addEventListener('abort', cancel, {once: true});
		void cancelWhenOverdue();
		try {
			return await forwardToPeer(node, group, scheduled, controller.signal);
		} finally {
			watchController.abort(STOP_REASON);
		}
	};

	const isBodyUnread = ({call, isBodyUnread}: ScheduledCall): boolean =>
		call.body === undefined || (isBodyUnread?.() ?? false);

	/** Whether the next node may get a call that this peer did not end. */
	const isMovable = (error: ports.PeerError, scheduled: ScheduledCall, signal: AbortSignal): boolean => {
		const isRepeatable = scheduled.route.repeatability === domain.Repeatability.Repeatable;
		const mayHaveArrived = error.kind === ports.PeerErrorKind.Lost;
		const isInTime = clock.monotonicMs() < scheduled.deadlineAtMs && !signal.aborted;
		return isInTime && isBodyUnread(scheduled) && (!mayHaveArrived || isRepeatable);
	};

	/** Asks for the dispatch once, whichever node the call goes to. */
	const askOnce = (scheduled: ScheduledCall): ScheduledCall => {
		let isAsked = false;
		return {
			...scheduled,
			beforeDispatch() {
				const refusal = isAsked ? undefined : scheduled.beforeDispatch?.();
				isAsked = true;
				return refusal;
			},
		};
	};

	const endUndelivered = (error: ports.PeerError, mayHaveArrived: boolean): domain.CallEnding =>
		mayHaveArrived
			? domain.unknown(domain.RefusalReason.PeerLost, error.detail)
			: domain.notRun(domain.RefusalReason.PeerUnreachable, error.detail, {
					retryAfterMs: drawRetryAfter(random, RETRY_AFTER_MS),
				});

	/** After a peer may have got the call, another peer's refusal does not prove that it did not run. */
	const endTruthfully = (ending: domain.CallEnding, mayHaveArrived: boolean): domain.CallEnding =>
		mayHaveArrived && ending.outcome === domain.Outcome.NotRun
			? domain.unknown(domain.RefusalReason.PeerLost, ending.detail)
			: ending;

	const countMove = (error: ports.PeerError, service: string): void => {
		const reason =
			error.kind === ports.PeerErrorKind.Lost ? domain.RetryReason.PeerLost : domain.RetryReason.PeerUnreachable;
		metrics.increment(ports.CounterName.Retries, {service, reason});
	};

	return {
		rankNodes,
		async deliver(group, given, signal) {
			const scheduled = askOnce(given);
			let mayHaveArrived = false;
			let error: ports.PeerError = {kind: ports.PeerErrorKind.Unreachable, detail: 'the group has no scheduling node'};
			for (const node of rankNodes(group)) {
				if (node.address === directory.self.address) {
					return endTruthfully(await scheduleHere(group, scheduled, signal), mayHaveArrived);
				}

				const refusal = scheduled.beforeDispatch?.();
				if (refusal) {
					return refusal;
				}

				const forwarded = await forwardWithinDeadline(node, group, scheduled, signal);
				if (forwarded.isOk()) {
					return endTruthfully(forwarded.value, mayHaveArrived);
				}

				error = forwarded.error;
				mayHaveArrived ||= error.kind === ports.PeerErrorKind.Lost;
				if (!isMovable(error, scheduled, signal)) {
					break;
				}

				countMove(error, group.service);
			}

			return endUndelivered(error, mayHaveArrived);
		},
	};
};
