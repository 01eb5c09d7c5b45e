import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {createFairQueue, type FairQueue, type FairQueueItem} from './fair-queue.js';
import {createLinkedQueue, type LinkedQueue} from './linked-queue.js';
import type {SlotGrant} from './slot-grant.js';
import type {ClassCounts} from './slot-shares.js';
import type {TargetRequirements} from './target-pool.js';

/** A call that waits for a slot. */
export type Waiter = FairQueueItem &
	TargetRequirements & {
		readonly workClass: domain.WorkClass;
		readonly deadlineAtMs: number;
		readonly enqueuedAtMs: number;
		/** Request body bytes that are held for the call while it waits. */
		readonly bodyBytes: number;
		/** Whether the call may use a slot that another class lends. */
		readonly mayBorrow: boolean;
		/** True for retries, which are served before first attempts. */
		readonly isRetry: boolean;
		/** Ends the wait with a slot or a refusal. Further calls have no effect. */
		settle(result: SlotGrant | domain.NotRunEnding): void;
	};

/** Waiting calls of a group by class of work. */
export type WaitQueue = {
	readonly totalCount: () => number;
	readonly totalBytes: () => number;
	/** Adds a call and returns a function that removes it. Removing it again has no effect. */
	push(waiter: Waiter): () => void;
	/** Calls of a class that may be served next: the first retry, then the first attempt whose turn it is. */
	listCandidates(workClass: domain.WorkClass): readonly Waiter[];
	remove(waiter: Waiter): void;
	counts(): ClassCounts;
	/** Number of calls that would be served before a new call of the workspace with the calls that wait now. */
	countAhead(workClass: domain.WorkClass, workspace: string, weight: number): number;
	countWorkspace(workspace: string): number;
	/** Predicted wait of a new call, from the mean interval between turns of its workspace, in ms; 0 if unknown. */
	predictWaitMs(workClass: domain.WorkClass, workspace: string): number;
	/** Removes all calls and settles them with `ending`. */
	refuseAll(ending: domain.NotRunEnding): void;
};

type ClassQueue = {readonly retries: LinkedQueue<Waiter>; readonly calls: FairQueue<Waiter>};

const createClassQueue = (clock: ports.Clock): ClassQueue => ({
	retries: createLinkedQueue<Waiter>(),
	calls: createFairQueue<Waiter>(clock.monotonicMs),
});

const WORK_CLASSES = [domain.WorkClass.Short, domain.WorkClass.Long, domain.WorkClass.Bulk];

export const createWaitQueue = (dependencies: {
	clock: ports.Clock;
	metrics: ports.Metrics;
	groupId: string;
}): WaitQueue => {
	const {clock, metrics, groupId} = dependencies;
	const queues: Record<domain.WorkClass, ClassQueue> = {
		[domain.WorkClass.Short]: createClassQueue(clock),
		[domain.WorkClass.Long]: createClassQueue(clock),
		[domain.WorkClass.Bulk]: createClassQueue(clock),
	};
	const counts = {[domain.WorkClass.Short]: 0, [domain.WorkClass.Long]: 0, [domain.WorkClass.Bulk]: 0};
	const removals = new Map<Waiter, () => boolean>();
	let totalBytes = 0;

	const changeCount = (workClass: domain.WorkClass, delta: number): void => {
		counts[workClass] += delta;
		metrics.set(ports.GaugeName.QueuedCalls, {group: groupId, workClass}, counts[workClass]);
	};

	const remove = (waiter: Waiter): void => {
		if (removals.get(waiter)?.()) {
			removals.delete(waiter);
			changeCount(waiter.workClass, -1);
			totalBytes -= waiter.bodyBytes;
		}
	};

	const addToClass = (waiter: Waiter): (() => boolean) => {
		const queue = queues[waiter.workClass];
		if (!waiter.isRetry) {
			return queue.calls.push(waiter);
		}

		const place = queue.retries.push(waiter);
		return () => queue.retries.remove(place);
	};

	return {
		push(waiter) {
			removals.set(waiter, addToClass(waiter));
			changeCount(waiter.workClass, 1);
			totalBytes += waiter.bodyBytes;
			return () => {
				remove(waiter);
			};
		},
		listCandidates: workClass =>
			[queues[workClass].retries.peek(), queues[workClass].calls.peek()].filter(waiter => waiter !== undefined),
		remove,
		counts: () => counts,
		totalCount: () => removals.size,
		totalBytes: () => totalBytes,
		countAhead(workClass, workspace, weight) {
			const {calls, retries} = queues[workClass];
			const ownCount = calls.countWorkspace(workspace);
			const activeWeight = calls.activeWeight() + (ownCount === 0 ? weight : 0);
			const turnsAhead = ((ownCount + 1) * activeWeight) / weight - 1;
			return retries.size() + Math.min(calls.size(), turnsAhead);
		},
		predictWaitMs: (workClass, workspace) => queues[workClass].calls.predictWaitMs(workspace),
		countWorkspace: workspace =>
			WORK_CLASSES.reduce((sum, workClass) => sum + queues[workClass].calls.countWorkspace(workspace), 0),
		refuseAll(ending) {
			[...removals.keys()].forEach(waiter => {
				remove(waiter);
				waiter.settle(ending);
			});
		},
	};
};
