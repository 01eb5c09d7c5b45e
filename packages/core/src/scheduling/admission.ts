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
	/** Returns the refusal, or undefined for a call that may wait. */
	refuseCall(scheduled: ScheduledCall, need: CallNeed): domain.NotRunEnding | undefined;
	/** Refusal of a call whose time ran out while it waited. */
	refuseLateCall(detail: string): domain.NotRunEnding;
};

/** What a waiting call takes up. */
export type CallNeed = {
	readonly weight: number;
	/** Body bytes held while the call waits. */
	readonly sizeBytes: number;
};

/** Time after which a group without an open target may have one again, in ms. */
const NO_TARGET_RETRY_AFTER_MS = 1000;

/**
 * A workspace may take this multiple of the free places in the queue. A single workspace thus never fills the queue,
 * and a newcomer always finds a place.
 */
const WORKSPACE_SHARE_FACTOR = 2;

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

	/** Time for the whole queue to empty, after which a refused caller has a good chance, in ms. */
	const predictDrainMs = (): number => {
		const holdMs = serviceTimes.meanHoldMs(domain.WorkClass.Short);
		return (queue.totalCount() * holdMs) / Math.max(1, pool.openSlotCount());
	};

	const refuseWithoutTarget = ({route}: ScheduledCall): domain.NotRunEnding | undefined =>
		pool.hasCandidate({
			workClass: route.workClass,
			isRepeatable: route.repeatability === domain.Repeatability.Repeatable,
		})
			? undefined
			: refuse(domain.RefusalReason.NoTarget, 'no target of the group accepts work now', NO_TARGET_RETRY_AFTER_MS);

	const refuseOverRate = ({call, route}: ScheduledCall): domain.NotRunEnding | undefined => {
		const waitMs = rateLimits.take(call.workspace, route);
		return waitMs > 0
			? refuse(domain.RefusalReason.RateLimited, 'the workspace or the route is over its rate limit', waitMs)
			: undefined;
	};

	const refuseOverQueue = ({call}: ScheduledCall, need: CallNeed): domain.NotRunEnding | undefined => {
		const {limitCount, limitBytes} = dependencies.queueLimit();
		const freeCount = limitCount - queue.totalCount();
		const isOverCount =
			freeCount <= 0 || queue.countWorkspace(call.workspace) >= WORKSPACE_SHARE_FACTOR * need.weight * freeCount;
		if (!isOverCount && queue.totalBytes() + need.sizeBytes <= limitBytes) {
			return undefined;
		}

		const detail = `${queue.totalCount()} calls with ${queue.totalBytes()} bytes wait; the limits are ${limitCount} calls and ${limitBytes} bytes, of which a workspace gets a part`;
		return refuse(domain.RefusalReason.QueueFull, detail, predictDrainMs());
	};

	const predictWaitMs = ({call, route}: ScheduledCall, need: CallNeed): number => {
		const {workClass} = route;
		const aheadCount = queue.countAhead(workClass, call.workspace, need.weight);
		const usableCount = shares.countUsableSlots(workClass);
		const isFree = aheadCount === 0 && shares.busyCountOf(workClass) < usableCount;
		if (isFree) {
			return 0;
		}

		// Calls of other workspaces that arrive later may go before this one; the pace of its workspace tells how many.
		const turnsMs = ((aheadCount + 1) * serviceTimes.meanHoldMs(workClass)) / usableCount;
		return Math.max(turnsMs, queue.predictWaitMs(workClass, call.workspace));
	};

	const refuseOverDeadline = (scheduled: ScheduledCall, need: CallNeed): domain.NotRunEnding | undefined => {
		const remainingMs = scheduled.deadlineAtMs - clock.monotonicMs();
		const {workClass} = scheduled.route;
		const waitMs = predictWaitMs(scheduled, need);
		const neededMs = waitMs / dependencies.waitLimitRatio + serviceTimes.typicalHeadMs(workClass);
		// With nothing in flight the call is admitted, because only a call can show that the times have become shorter.
		if (remainingMs > 0 && (neededMs <= remainingMs || shares.busyCountOf(workClass) === 0)) {
			return undefined;
		}

		const detail = `the predicted wait is ${Math.round(waitMs)} ms, which with the work and a margin takes ${Math.round(neededMs)} ms; the call has ${Math.round(remainingMs)} ms left`;
		return refuse(domain.RefusalReason.DeadlineTooShort, detail, waitMs);
	};

	const checks = [refuseWithoutTarget, refuseOverRate, refuseOverQueue, refuseOverDeadline];

	return {
		refuseCall(scheduled, need) {
			let refusal = dependencies.guard.refuseCall();
			for (let index = 0; !refusal && index < checks.length; index++) {
				refusal = checks[index]!(scheduled, need);
			}

			return refusal;
		},
		refuseLateCall: detail => refuse(domain.RefusalReason.DeadlineExceeded, detail, predictDrainMs()),
	};
};
