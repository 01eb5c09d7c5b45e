import * as timersPromises from 'node:timers/promises';
import type * as core from '@bilberrydoor/core';

type Timer = {readonly dueMs: number; readonly sequence: number; readonly fire: () => void; isCancelled: boolean};

/** Clock whose time changes only through `advance` and `runUntilSettled`. */
export type VirtualClock = core.Clock & {
	/** Fires all timers that are due within `durationMs` and runs the callbacks of the promises that they resolve. */
	advance(durationMs: number): Promise<void>;
	/** Advances until the promise settles. Rejects after `limitMs` of virtual time. */
	runUntilSettled<T>(promise: Promise<T>, limitMs: number): Promise<T>;
};

const isBefore = (left: Timer, right: Timer): boolean =>
	left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.sequence < right.sequence);

const createTimerHeap = () => {
	const heap: Timer[] = [];
	const swap = (left: number, right: number): void => {
		[heap[left], heap[right]] = [heap[right]!, heap[left]!];
	};

	const siftUp = (start: number): void => {
		let index = start;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(heap[index]!, heap[parent]!)) {
				return;
			}

			swap(index, parent);
			index = parent;
		}
	};

	const siftDown = (): void => {
		let index = 0;
		for (;;) {
			const children = [2 * index + 1, 2 * index + 2].filter(child => child < heap.length);
			const smallest = children.reduce((best, child) => (isBefore(heap[child]!, heap[best]!) ? child : best), index);
			if (smallest === index) {
				return;
			}

			swap(index, smallest);
			index = smallest;
		}
	};

	return {
		push(timer: Timer) {
			heap.push(timer);
			siftUp(heap.length - 1);
		},
		peek: () => heap[0],
		pop() {
			swap(0, heap.length - 1);
			const timer = heap.pop();
			siftDown();
			return timer;
		},
	};
};

/** Runs all pending promise callbacks. The fakes do no I/O, so one turn of the event loop is enough. */
const runPendingCallbacks = async (): Promise<void> => timersPromises.setImmediate();

export const createVirtualClock = (): VirtualClock => {
	const timers = createTimerHeap();
	let nowMs = 0;
	let nextSequence = 0;

	/** Fires the next timer that is due by `limitMs`. Returns false if there is none. */
	const fireNext = (limitMs: number): boolean => {
		for (;;) {
			const next = timers.peek();
			if (!next || next.dueMs > limitMs) {
				return false;
			}

			timers.pop();
			if (!next.isCancelled) {
				nowMs = Math.max(nowMs, next.dueMs);
				next.fire();
				return true;
			}
		}
	};

	return {
		monotonicMs: () => nowMs,
		wallMs: () => nowMs,
		async sleep(durationMs, signal) {
			if (signal?.aborted) {
				return;
			}

			await new Promise<void>(resolve => {
				const cancel = (): void => {
					timer.isCancelled = true;
					resolve();
				};

				const timer: Timer = {
					dueMs: nowMs + Math.max(0, durationMs),
					sequence: nextSequence++,
					isCancelled: false,
					fire() {
						signal?.removeEventListener('abort', cancel);
						resolve();
					},
				};
				timers.push(timer);
				signal?.addEventListener('abort', cancel, {once: true});
			});
		},
		async advance(durationMs) {
			const limitMs = nowMs + durationMs;
			await runPendingCallbacks();
			while (fireNext(limitMs)) {
				await runPendingCallbacks();
			}

			nowMs = limitMs;
		},
		async runUntilSettled(promise, limitMs) {
			const progress = {isSettled: false};
			const recordSettlement = async (): Promise<void> => {
				await Promise.allSettled([promise]);
				progress.isSettled = true;
			};

			void recordSettlement();
			const deadlineMs = nowMs + limitMs;
			await runPendingCallbacks();
			while (!progress.isSettled && fireNext(deadlineMs)) {
				await runPendingCallbacks();
			}

			if (!progress.isSettled) {
				throw new Error(`the promise was not settled within ${limitMs} ms of virtual time`);
			}

			return promise;
		},
	};
};
