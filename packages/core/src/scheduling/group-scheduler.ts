import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {AttemptResult} from '../health/attempt-result.js';
import * as groupHealth from '../health/group-health.js';
import type {LeavingSign} from '../health/leaving-sign.js';
import type {TargetGroup} from '../routing/target-groups.js';
import {limitBody} from '../shared/limit-body.js';
import {observeBody} from '../shared/observe-body.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import type {ScheduledCall, TargetStatus} from './scheduled-call.js';

/** Schedules calls on the targets of one group. */
export type GroupScheduler = {
	/**
	 * Runs a call. The caller of this function reads the answer's body to its end or aborts `signal`; the target's slot
	 * is free after that.
	 */
	schedule(scheduled: ScheduledCall, signal: AbortSignal): Promise<domain.CallEnding>;
	/** Takes over a changed entry at once. */
	replaceGroup(group: TargetGroup, entry: domain.CatalogueEntry): void;
	/** Stops new work on a target that is leaving. */
	markTargetLeaving(targetId: string, sign: LeavingSign): void;
	describeTargets(): readonly TargetStatus[];
	/** Number of calls waiting or in flight. */
	activeCallCount(): number;
	/** Runs the group's background tasks until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
};

export type GroupSchedulerDependencies = {
	readonly ports: ports.NodePorts;
	readonly group: TargetGroup;
	readonly entry: domain.CatalogueEntry;
	/** What the group's health needs beside the ports. */
	readonly health?: Pick<groupHealth.GroupHealthDependencies, 'directory' | 'onLeavingSeen' | 'options'>;
};

type TargetSlots = {
	target: domain.TargetEntry;
	busySlotCount: number;
};

type Waiter = {
	readonly grant: (slots: TargetSlots | undefined) => void;
};

const SERVER_ERROR_STATUS = 500;
const SHED_STATUSES: ReadonlySet<number> = new Set([429, 503]);

const readAnswerResult = (status: number): AttemptResult => {
	if (SHED_STATUSES.has(status)) {
		return AttemptResult.Shed;
	}

	return status >= SERVER_ERROR_STATUS ? AttemptResult.Error : AttemptResult.Success;
};

const ATTEMPT_RESULTS: Record<ports.TargetErrorKind, AttemptResult> = {
	[ports.TargetErrorKind.Unreachable]: AttemptResult.Unreachable,
	[ports.TargetErrorKind.Lost]: AttemptResult.Lost,
	[ports.TargetErrorKind.Cancelled]: AttemptResult.TimedOut,
};

const CONVERT_TARGET_ERROR: Record<
	ports.TargetErrorKind,
	(detail: string) => domain.NotRunEnding | domain.UnknownEnding
> = {
	[ports.TargetErrorKind.Unreachable]: detail => domain.notRun(domain.RefusalReason.TargetUnreachable, detail),
	[ports.TargetErrorKind.Lost]: detail => domain.unknown(domain.RefusalReason.TargetLost, detail),
	[ports.TargetErrorKind.Cancelled]: detail => domain.unknown(domain.RefusalReason.TargetTimedOut, detail),
};

export const createGroupScheduler = (dependencies: GroupSchedulerDependencies): GroupScheduler => {
	const {clock, targetClient, metrics, random} = dependencies.ports;
	let {group, entry} = dependencies;
	let targets = new Map<string, TargetSlots>();
	const health = groupHealth.createGroupHealth({ports: dependencies.ports, group, ...dependencies.health});
	let waiters: Waiter[] = [];
	let activeCallCount = 0;

	const loadTargets = (): void => {
		targets = new Map(
			group.targets.map(target => {
				const existing = targets.get(target.targetId);
				const slots = existing ?? {target, busySlotCount: 0};
				slots.target = target;
				return [target.targetId, slots];
			}),
		);
	};

	const openSlotCount = (target: domain.TargetEntry): number =>
		Math.floor(target.slotCount * health.standingOf(target.targetId).openRatio);

	const findFreeTarget = (): TargetSlots | undefined => {
		const free = [...targets.values()].filter(({target, busySlotCount}) => busySlotCount < openSlotCount(target));
		// The weight is the share of choices in which a target takes part, so a suspect still gets work to be judged by.
		const drawn = free.filter(({target}) => random.fraction() < health.standingOf(target.targetId).weight);
		return (drawn.length > 0 ? drawn : free).toSorted((left, right) => left.busySlotCount - right.busySlotCount)[0];
	};

	const grantNext = (): void => {
		while (waiters.length > 0) {
			const slots = findFreeTarget();
			if (!slots) {
				return;
			}

			slots.busySlotCount++;
			waiters.shift()!.grant(slots);
		}
	};

	const releaseSlot = (slots: TargetSlots): void => {
		slots.busySlotCount--;
		grantNext();
	};

	const waitForSlot = async (signal: AbortSignal): Promise<TargetSlots | undefined> =>
		new Promise(resolve => {
			const waiter: Waiter = {grant: resolve};
			waiters.push(waiter);
			signal.addEventListener(
				'abort',
				() => {
					waiters = waiters.filter(other => other !== waiter);
					resolve(undefined);
				},
				{once: true},
			);
			grantNext();
		});

	const sendToTarget = async (
		slots: TargetSlots,
		scheduled: ScheduledCall,
		signal: AbortSignal,
	): Promise<domain.CallEnding> => {
		const {call, route} = scheduled;
		metrics.increment(ports.CounterName.Attempts, {service: group.service});
		const attempt = health.startAttempt(slots.target.targetId, route.workClass);
		const remainingMs = scheduled.deadlineAtMs - clock.monotonicMs();
		const deadline = new AbortController();
		const headArrival = new AbortController();
		const enforceDeadline = async (): Promise<void> => {
			await clock.sleep(remainingMs, headArrival.signal);
			if (!headArrival.signal.aborted) {
				deadline.abort();
			}
		};

		void enforceDeadline();
		const sent = await targetClient.send(
			slots.target,
			{
				method: call.method,
				pathAndQuery: call.path + call.query,
				headers: call.headers,
				body: call.body,
				bodyLengthBytes: call.bodyLengthBytes,
				remainingMs,
			},
			AbortSignal.any([signal, deadline.signal]),
		);
		headArrival.abort();
		if (sent.isErr()) {
			attempt.finish(signal.aborted ? AttemptResult.Cancelled : ATTEMPT_RESULTS[sent.error.kind]);
			releaseSlot(slots);
			return CONVERT_TARGET_ERROR[sent.error.kind](sent.error.detail);
		}

		const answer = sent.value;
		attempt.finish(readAnswerResult(answer.status));
		const body = limitBody(answer.body, route.answerBodyLimitBytes);
		return domain.completed({
			...answer,
			body: observeBody(body, {
				onEnd() {
					releaseSlot(slots);
				},
			}),
		});
	};

	const scheduleWithinDeadline = async (scheduled: ScheduledCall, signal: AbortSignal): Promise<domain.CallEnding> => {
		const waited = await runWithTimeout(
			{clock, timeoutMs: scheduled.deadlineAtMs - clock.monotonicMs(), signal},
			waitForSlot,
		);
		if (waited.isTimedOut || !waited.value) {
			return domain.notRun(domain.RefusalReason.DeadlineExceeded, 'no slot was free before the deadline', {
				retryAfterMs: scheduled.route.deadlineMs,
			});
		}

		const refusal = scheduled.beforeDispatch?.();
		if (refusal) {
			releaseSlot(waited.value);
			return refusal;
		}

		return sendToTarget(waited.value, scheduled, signal);
	};

	loadTargets();
	health.subscribe(grantNext);
	return {
		async schedule(scheduled, signal) {
			activeCallCount++;
			try {
				return await scheduleWithinDeadline(scheduled, signal);
			} finally {
				activeCallCount--;
			}
		},
		replaceGroup(newGroup, newEntry) {
			group = newGroup;
			entry = newEntry;
			health.replaceGroup(group);
			loadTargets();
			grantNext();
		},
		markTargetLeaving: health.markLeaving,
		describeTargets: () =>
			[...targets.values()].map(({target, busySlotCount}) => {
				const {state, reason, sinceMs} = health.standingOf(target.targetId);
				return {
					service: entry.service,
					groupId: group.groupId,
					targetId: target.targetId,
					address: target.address,
					availabilityZone: target.availabilityZone,
					state,
					reason,
					sinceMs,
					slotCount: target.slotCount,
					openSlotCount: openSlotCount(target),
					busySlotCount,
				};
			}),
		activeCallCount: () => activeCallCount,
		run: async signal => health.run(signal),
	};
};
