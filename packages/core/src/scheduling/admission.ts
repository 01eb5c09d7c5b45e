import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import type {NodeGuard} from './node-guard.js';
import type {RateLimits} from './rate-limits.js';
import {drawRetryAfter} from './retry-after.js';
import type {ScheduledCall} from './scheduled-call.js';
import type {ServiceTimes} from './service-times.js';
import type {SlotShares} from './slot-shares.js';
import type {TargetPool} from './target-pool.js';
import type {WaitQueue} from './wait-queue.js';

/** Decides whether a call may wait for a slot. */
export type Admission = {
	/** Returns the refusal, or undefined for a call that may wait. Takes tokens from the rate limits. */
	findRefusal(scheduled: ScheduledCall, queueParameters: QueueParameters): domain.NotRunEnding | undefined;
	/** Builds the refusal of a call that can no longer meet its deadline after waiting. */
	refuseLateCall(detail: string): domain.NotRunEnding;
};

/** Values that determine a call's share of the wait queue. */
export type QueueParameters = {
	/** Weight of the call's workspace, as a multiple of the smallest weight in the entry. */
	readonly weight: number;
	/** Bytes of the request body that are held while the call waits. */
	readonly bodyBytes: number;
};

/** Assumed time until a group without an available target has one again, in ms. */
const NO_TARGET_RETRY_AFTER_MS = 1000;

/**
 * A workspace may occupy this multiple of the free places in the queue, times its weight. One workspace alone therefore
 * never fills the queue, and there is always a place for another workspace.
 */
const WORKSPACE_QUEUE_SHARE_FACTOR = 2;

export const createAdmission = (dependencies: {
	ports: Pick<ports.NodePorts, 'clock' | 'random'>;
	guard: NodeGuard;
	pool: TargetPool;
	queue: WaitQueue;
	rateLimits: RateLimits;
	serviceTimes: ServiceTimes;
	shares: SlotShares;
	queueLimit: () => domain.QueueLimit;
	waitLimitRatio: number;
}): Admission => {
	const {pool, queue, rateLimits, serviceTimes, shares} = dependencies;
	const {clock, random} = dependencies.ports;

	const refuse = (reason: domain.RefusalReason, detail: string, expectedMs: number): domain.NotRunEnding =>
		domain.notRun(reason, detail, {retryAfterMs: drawRetryAfter(random, expectedMs)});

	/** Predicted time until the queue is empty, after which a retry is likely to be admitted, in ms. */
	const predictDrainMs = (): number => {
		const slotTimeMs = serviceTimes.meanSlotTimeMs(domain.WorkClass.Short);
		return (queue.totalCount() * slotTimeMs) / Math.max(1, pool.openSlotCount());
	};

	const checkTargetAvailability = ({route}: ScheduledCall): domain.NotRunEnding | undefined =>
		pool.hasCandidate({
			workClass: route.workClass,
			isRepeatable: route.repeatability === domain.Repeatability.Repeatable,
		})
			? undefined
			: refuse(domain.RefusalReason.NoTarget, 'no target of the group accepts work now', NO_TARGET_RETRY_AFTER_MS);

	const checkRateLimit = ({call, route}: ScheduledCall): domain.NotRunEnding | undefined => {
		const waitMs = rateLimits.take(call.workspace, route);
		return waitMs > 0
			? refuse(domain.RefusalReason.RateLimited, 'the workspace or the route is over its rate limit', waitMs)
			: undefined;
	};

	const checkQueueLimit = (
		{call}: ScheduledCall,
		queueParameters: QueueParameters,
	): domain.NotRunEnding | undefined => {
		const {limitCount, limitBytes} = dependencies.queueLimit();
		const freeCount = limitCount - queue.totalCount();
		const isOverCount =
			freeCount <= 0 ||
			queue.countWorkspace(call.workspace) >= WORKSPACE_QUEUE_SHARE_FACTOR * queueParameters.weight * freeCount;
		if (!isOverCount && queue.totalBytes() + queueParameters.bodyBytes <= limitBytes) {
			return undefined;
		}

		const detail = `${queue.totalCount()} calls with ${queue.totalBytes()} bytes wait; the limits are ${limitCount} calls and ${limitBytes} bytes, of which a workspace gets a part`;
		return refuse(domain.RefusalReason.QueueFull, detail, predictDrainMs());
	};

	const predictWaitMs = ({call, route}: ScheduledCall, queueParameters: QueueParameters): number => {
		const {workClass} = route;
		const aheadCount = queue.countAhead(workClass, call.workspace, queueParameters.weight);
		const usableCount = shares.countUsableSlots(workClass);
		const isFree = aheadCount === 0 && shares.busyCountOf(workClass) < usableCount;
		if (isFree) {
			return 0;
		}

		// Later calls of other workspaces may be served before this one. The interval between turns of its own workspace
		// accounts for them.
		const queuedWorkMs = ((aheadCount + 1) * serviceTimes.meanSlotTimeMs(workClass)) / usableCount;
		return Math.max(queuedWorkMs, queue.predictWaitMs(workClass, call.workspace));
	};

	const checkDeadline = (
		scheduled: ScheduledCall,
		queueParameters: QueueParameters,
	): domain.NotRunEnding | undefined => {
		const remainingMs = scheduled.deadlineAtMs - clock.monotonicMs();
		const {workClass} = scheduled.route;
		const waitMs = predictWaitMs(scheduled, queueParameters);
		const neededMs = waitMs / dependencies.waitLimitRatio + serviceTimes.typicalLatencyMs(workClass);
		// Without calls in flight the call is admitted, because only new samples can lower the measured service times.
		if (remainingMs > 0 && (neededMs <= remainingMs || shares.busyCountOf(workClass) === 0)) {
			return undefined;
		}

		const detail = `the predicted wait is ${Math.round(waitMs)} ms, which with the work and a margin takes ${Math.round(neededMs)} ms; the call has ${Math.round(remainingMs)} ms left`;
		return refuse(domain.RefusalReason.DeadlineTooShort, detail, waitMs);
	};

	const checks = [checkTargetAvailability, checkRateLimit, checkQueueLimit, checkDeadline];

	return {
		findRefusal(scheduled, queueParameters) {
			let refusal = dependencies.guard.findRefusal();
			for (let index = 0; !refusal && index < checks.length; index++) {
				refusal = checks[index]!(scheduled, queueParameters);
			}

			return refusal;
		},
		refuseLateCall: detail => refuse(domain.RefusalReason.DeadlineExceeded, detail, predictDrainMs()),
	};
};
