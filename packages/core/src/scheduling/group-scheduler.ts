import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
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
	markTargetLeaving(targetId: string): void;
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
};

type TargetSlots = {
	target: domain.TargetEntry;
	busySlotCount: number;
	isLeaving: boolean;
};

type Waiter = {
	readonly grant: (slots: TargetSlots | undefined) => void;
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
	const {clock, targetClient, metrics} = dependencies.ports;
	let {group, entry} = dependencies;
	let targets = new Map<string, TargetSlots>();
	let waiters: Waiter[] = [];
	let activeCallCount = 0;

	const loadTargets = (): void => {
		targets = new Map(
			group.targets.map(target => {
				const existing = targets.get(target.targetId);
				const slots = existing ?? {target, busySlotCount: 0, isLeaving: false};
				slots.target = target;
				return [target.targetId, slots];
			}),
		);
	};

	const findFreeTarget = (): TargetSlots | undefined =>
		[...targets.values()]
			.filter(slots => !slots.isLeaving && !slots.target.isDraining && slots.busySlotCount < slots.target.slotCount)
			.toSorted((left, right) => left.busySlotCount - right.busySlotCount)[0];

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
		const sent = await targetClient.send(
			slots.target,
			{
				method: call.method,
				pathAndQuery: call.path + call.query,
				headers: call.headers,
				body: call.body,
				bodyLengthBytes: call.bodyLengthBytes,
				remainingMs: scheduled.deadlineAtMs - clock.monotonicMs(),
			},
			signal,
		);
		if (sent.isErr()) {
			releaseSlot(slots);
			return CONVERT_TARGET_ERROR[sent.error.kind](sent.error.detail);
		}

		const answer = sent.value;
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
			loadTargets();
			grantNext();
		},
		markTargetLeaving(targetId) {
			const slots = targets.get(targetId);
			if (slots) {
				slots.isLeaving = true;
			}
		},
		describeTargets: () =>
			[...targets.values()].map(({target, busySlotCount, isLeaving}) => ({
				service: entry.service,
				groupId: group.groupId,
				targetId: target.targetId,
				address: target.address,
				availabilityZone: target.availabilityZone,
				state: isLeaving || target.isDraining ? domain.TargetState.Draining : domain.TargetState.Healthy,
				reason: '',
				sinceMs: 0,
				slotCount: target.slotCount,
				openSlotCount: target.slotCount,
				busySlotCount,
			})),
		activeCallCount: () => activeCallCount,
		async run() {
			// The group has no background task yet.
		},
	};
};
