import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import * as groupHealth from '../health/group-health.js';
import type {LeavingSign} from '../health/leaving-sign.js';
import type {TargetGroup} from '../routing/target-groups.js';
import {observeBody} from '../shared/observe-body.js';
import {createAdmission, type QueueParameters} from './admission.js';
import {createAttemptRunner} from './attempt.js';
import {createCallRunner} from './call-runner.js';
import {createNodeGuard} from './node-guard.js';
import {createRateLimits, findWorkspaceLimit} from './rate-limits.js';
import {drawRetryAfter} from './retry-after.js';
import {createRetryBudget} from './retry-budget.js';
import type {ScheduledCall, TargetStatus} from './scheduled-call.js';
import {DEFAULT_SCHEDULER_OPTIONS, type SchedulerOptions} from './scheduler-options.js';
import {createServiceTimes} from './service-times.js';
import {createSlotBroker, type SlotBroker} from './slot-broker.js';
import {createSlotShares} from './slot-shares.js';
import {createTargetPool, type TargetSlots} from './target-pool.js';
import {createWaitQueue} from './wait-queue.js';

/** Schedules calls on the targets of one group. */
export type GroupScheduler = {
	/**
	 * Runs a call. The code that calls this function must read the answer's body to its end or abort `signal`; that frees
	 * the target's slot.
	 */
	schedule(scheduled: ScheduledCall, signal: AbortSignal): Promise<domain.CallEnding>;
	/** Applies a changed catalogue entry immediately. */
	replaceGroup(group: TargetGroup, entry: domain.CatalogueEntry): void;
	/** Stops new work on a target that is leaving. */
	markTargetLeaving(targetId: string, sign: LeavingSign): void;
	describeTargets(): readonly TargetStatus[];
	/** Number of calls waiting or in flight. */
	activeCallCount(): number;
	/** Calls that wait for a slot. */
	queuedCallCount(): number;
	/** Runs the group's background tasks until `signal` is aborted, then refuses the calls that still wait. */
	run(signal: AbortSignal): Promise<void>;
};

export type GroupSchedulerDependencies = {
	readonly ports: ports.NodePorts;
	readonly group: TargetGroup;
	readonly entry: domain.CatalogueEntry;
	readonly options?: Partial<SchedulerOptions>;
	/** Dependencies of the group's health tracking, other than the ports. */
	readonly health?: Pick<groupHealth.GroupHealthDependencies, 'directory' | 'onLeavingSeen' | 'options'>;
};

/** Assumed time until the group can run a refused call, in ms. */
const REFUSED_RETRY_AFTER_MS = 1000;

/** Smallest workspace weight of an entry; weights are expressed as multiples of it. */
const findWeightUnit = (entry: domain.CatalogueEntry): number =>
	Math.min(entry.defaultWorkspaceLimit.weight, ...Object.values(entry.workspaceLimits).map(limit => limit.weight));

export const createGroupScheduler = (dependencies: GroupSchedulerDependencies): GroupScheduler => {
	const options = {...DEFAULT_SCHEDULER_OPTIONS, ...dependencies.options};
	const {clock, metrics, random} = dependencies.ports;
	let {group, entry} = dependencies;
	let weightUnit = findWeightUnit(entry);
	let activeCallCount = 0;
	let isClosed = false;
	const {service} = group;
	const health = groupHealth.createGroupHealth({ports: dependencies.ports, group, ...dependencies.health});
	const serviceTimes = createServiceTimes();
	const rateLimits = createRateLimits({clock, group, entry});
	const budget = createRetryBudget({budgetRatio: entry.retryBudgetRatio, burstCount: options.retryBurstCount});
	const pool = createTargetPool({clock, group, health, options: options.adaptiveLimit});
	const queue = createWaitQueue({clock, metrics, groupId: group.groupId});
	const shares = createSlotShares({
		clock,
		options,
		openSlotCount: pool.openSlotCount,
		waitingCounts: queue.counts,
		shortReserveRatio: () => entry.shortReserveRatio,
	});
	const admission = createAdmission({
		ports: dependencies.ports,
		guard: createNodeGuard({ports: dependencies.ports, options: options.nodeGuard}),
		pool,
		queue,
		rateLimits,
		serviceTimes,
		shares,
		queueLimit: () => entry.queue,
		waitLimitRatio: options.waitLimitRatio,
	});
	const broker: SlotBroker = createSlotBroker({
		ports: dependencies.ports,
		pool,
		queue,
		shares,
		serviceTimes,
		refuseLateCall: admission.refuseLateCall,
	});
	const attemptRunner = createAttemptRunner({
		ports: dependencies.ports,
		health,
		serviceTimes,
		service,
		refusalStatuses: () => entry.refusalStatuses,
		borrowedSlotLimitMs: options.borrowedSlotLimitMs,
		answerBodyTimeoutMs: options.answerBodyTimeoutMs,
	});
	const callRunner = createCallRunner({
		ports: dependencies.ports,
		attemptRunner,
		broker,
		budget,
		pool,
		shares,
		serviceTimes,
		service,
		options,
		retryAfterMs: () => drawRetryAfter(random, REFUSED_RETRY_AFTER_MS),
	});

	const refuseWithoutTarget = (detail: string): domain.NotRunEnding =>
		domain.notRun(domain.RefusalReason.NoTarget, detail, {
			retryAfterMs: drawRetryAfter(random, REFUSED_RETRY_AFTER_MS),
		});

	const buildQueueParameters = ({call}: ScheduledCall): QueueParameters => ({
		weight: findWorkspaceLimit(entry, call.workspace).weight / weightUnit,
		bodyBytes: call.body ? Math.min(call.bodyLengthBytes ?? 0, options.resendLimitBytes) : 0,
	});

	const admitCall = async (scheduled: ScheduledCall, signal: AbortSignal): Promise<domain.CallEnding> => {
		const queueParameters = buildQueueParameters(scheduled);
		const refusal = isClosed
			? refuseWithoutTarget(`group ${group.groupId} is no longer scheduled here`)
			: admission.findRefusal(scheduled, queueParameters);
		return refusal ?? callRunner.run(scheduled, queueParameters, signal);
	};

	const describeTarget = (slots: TargetSlots): TargetStatus => {
		const {target, busySlotCount} = slots;
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
			openSlotCount: pool.openSlotCountOf(slots),
			busySlotCount,
		};
	};

	/** Counts a call as active until it fails, the body of its answer ends, or the caller cancels it. */
	const trackCall = async (
		handle: () => Promise<domain.CallEnding>,
		signal: AbortSignal,
	): Promise<domain.CallEnding> => {
		let isActive = true;
		const finish = (): void => {
			activeCallCount -= isActive ? 1 : 0;
			isActive = false;
			signal.removeEventListener('abort', finish);
		};

		activeCallCount++;
		let ending: domain.CallEnding | undefined;
		try {
			ending = await handle();
		} finally {
			if (ending?.outcome !== domain.Outcome.Completed || signal.aborted) {
				finish();
			}
		}

		if (ending.outcome !== domain.Outcome.Completed || !isActive) {
			return ending;
		}

		signal.addEventListener('abort', finish, {once: true});
		return domain.completed({...ending.answer, body: observeBody(ending.answer.body, {onEnd: finish})});
	};

	const runMaintenance = async (signal: AbortSignal): Promise<void> => {
		while (!signal.aborted) {
			await clock.sleep(options.adaptiveLimit.increasePeriodMs, signal);
			attemptRunner.abortOverdueBodies();
			if (pool.increaseLimits()) {
				broker.grantFreeSlots();
			}
		}
	};

	health.subscribe(broker.grantFreeSlots);
	return {
		schedule: async (scheduled, signal) => trackCall(async () => admitCall(scheduled, signal), signal),
		replaceGroup(newGroup, newEntry) {
			group = newGroup;
			entry = newEntry;
			weightUnit = findWeightUnit(entry);
			health.replaceGroup(group);
			pool.replaceGroup(group);
			rateLimits.replaceGroup(group, entry);
			budget.setBudgetRatio(entry.retryBudgetRatio);
			serviceTimes.retainTargets(new Set(group.targets.map(target => target.targetId)));
			if (group.targets.length === 0) {
				queue.refuseAll(refuseWithoutTarget(`group ${group.groupId} has no targets left`));
			}

			broker.grantFreeSlots();
		},
		markTargetLeaving: health.markLeaving,
		describeTargets: () => pool.listTargets().map(describeTarget),
		activeCallCount: () => activeCallCount,
		queuedCallCount: queue.totalCount,
		async run(signal) {
			await Promise.all([health.run(signal), runMaintenance(signal)]);
			isClosed = true;
			queue.refuseAll(refuseWithoutTarget(`group ${group.groupId} has been closed`));
		},
	};
};
