import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {STOP_REASON} from '../shared/stop-reason.js';
import type {ServiceTimes} from './service-times.js';
import type {SlotGrant} from './slot-grant.js';
import type {SlotShares, SlotUse} from './slot-shares.js';
import type {TargetPool, TargetSlots} from './target-pool.js';
import type {Waiter, WaitQueue} from './wait-queue.js';

export type SlotRequest = Omit<Waiter, 'settle' | 'enqueuedAtMs'>;

/** Assigns free slots to waiting calls. */
export type SlotBroker = {
	/** Waits for a slot until the deadline, or until `signal` is aborted. */
	acquire(request: SlotRequest, signal: AbortSignal): Promise<SlotGrant | domain.NotRunEnding>;
	/** Takes a slot that is free now; undefined when none is. */
	acquireNow(request: SlotRequest): SlotGrant | undefined;
	/** Assigns the free slots to waiting calls and refuses those that are too late. */
	grantFreeSlots(): void;
};

const MS_PER_SECOND = 1000;

export const isSlotGrant = (result: SlotGrant | domain.NotRunEnding): result is SlotGrant => 'release' in result;

export const createSlotBroker = (dependencies: {
	ports: Pick<ports.NodePorts, 'clock' | 'metrics'>;
	pool: TargetPool;
	queue: WaitQueue;
	shares: SlotShares;
	serviceTimes: ServiceTimes;
	refuseLateCall: (detail: string) => domain.NotRunEnding;
}): SlotBroker => {
	const {pool, queue, shares, serviceTimes} = dependencies;
	const {clock, metrics} = dependencies.ports;

	const takeSlot = (slots: TargetSlots, workClass: domain.WorkClass, use: SlotUse): SlotGrant => {
		const takenAtMs = clock.monotonicMs();
		let isReleased = false;
		const heavyCount = workClass === domain.WorkClass.Short ? 0 : 1;
		slots.busySlotCount++;
		slots.heavyCallCount += heavyCount;
		shares.recordStart(workClass);
		return {
			slots,
			use,
			release() {
				if (!isReleased) {
					isReleased = true;
					slots.busySlotCount--;
					slots.heavyCallCount -= heavyCount;
					shares.recordFinish(workClass);
					serviceTimes.recordSlotTime(workClass, clock.monotonicMs() - takenAtMs);
					grantFreeSlots();
				}
			},
		};
	};

	/** A call that is expected to miss its deadline is refused, so that the slot goes to one that can meet its own. */
	const isTooLate = (waiter: Waiter): boolean =>
		shares.busyCountOf(waiter.workClass) > 0 &&
		clock.monotonicMs() + serviceTimes.typicalLatencyMs(waiter.workClass) > waiter.deadlineAtMs;

	/** Grants a slot to the call, or refuses it when it is too late. Returns false when the call has to keep waiting. */
	const trySettle = (waiter: Waiter): boolean => {
		if (isTooLate(waiter)) {
			queue.remove(waiter);
			waiter.settle(dependencies.refuseLateCall('too little time was left when a slot became free'));
			return true;
		}

		const grant = acquireNow(waiter);
		if (!grant) {
			return false;
		}

		queue.remove(waiter);
		metrics.observe(
			ports.HistogramName.QueueSeconds,
			{workClass: waiter.workClass},
			(clock.monotonicMs() - waiter.enqueuedAtMs) / MS_PER_SECOND,
		);
		waiter.settle(grant);
		return true;
	};

	const acquireNow = (request: SlotRequest): SlotGrant | undefined => {
		const use = shares.findSlotUse(request.workClass, request.mayBorrow);
		const slots = use && pool.pick(request);
		return slots && takeSlot(slots, request.workClass, use);
	};

	const serveNextWaiter = (): boolean =>
		shares.listClassesByPriority().some(workClass => queue.listCandidates(workClass).some(trySettle));

	const grantFreeSlots = (): void => {
		while (queue.totalCount() > 0 && serveNextWaiter()) {
			// Each iteration assigns one slot or refuses one call.
		}

		shares.recordDemand();
	};

	const waitForSettlement = async (
		settled: Promise<SlotGrant | domain.NotRunEnding>,
		waiter: Waiter,
		signal: AbortSignal,
	): Promise<SlotGrant | domain.NotRunEnding> => {
		const sleepController = new AbortController();
		const withdraw = (ending: domain.NotRunEnding): void => {
			queue.remove(waiter);
			waiter.settle(ending);
		};

		const onAbort = (): void => {
			withdraw(domain.notRun(domain.RefusalReason.CallerCancelled, 'the caller left while the call waited'));
		};

		const withdrawAtDeadline = async (): Promise<void> => {
			await clock.sleep(waiter.deadlineAtMs - clock.monotonicMs(), sleepController.signal);
			if (!sleepController.signal.aborted) {
				withdraw(dependencies.refuseLateCall('no slot was free before the deadline'));
			}
		};

		signal.addEventListener('abort', onAbort, {once: true});
		void withdrawAtDeadline();
		try {
			return await settled;
		} finally {
			sleepController.abort(STOP_REASON);
			signal.removeEventListener('abort', onAbort);
		}
	};

	return {
		async acquire(request, signal) {
			if (signal.aborted) {
				return domain.notRun(domain.RefusalReason.CallerCancelled, 'the caller left before the call was queued');
			}

			let result: SlotGrant | domain.NotRunEnding | undefined;
			let resolveSettled: ((settled: SlotGrant | domain.NotRunEnding) => void) | undefined;
			const waiter: Waiter = {
				...request,
				enqueuedAtMs: clock.monotonicMs(),
				settle(settled) {
					result ??= settled;
					resolveSettled?.(result);
				},
			};
			queue.push(waiter);
			shares.recordDemand();
			grantFreeSlots();
			if (result) {
				return result;
			}

			const settled = new Promise<SlotGrant | domain.NotRunEnding>(resolve => {
				resolveSettled = resolve;
			});
			return waitForSettlement(settled, waiter, signal);
		},
		acquireNow,
		grantFreeSlots,
	};
};
