import * as timersPromises from 'node:timers/promises';
import type * as core from '@bilberrydoor/core';

type Timer = {readonly dueMs: number; readonly order: number; readonly fire: () => void; isCancelled: boolean};

/** Clock that moves only when it is told to. */
export type VirtualClock = core.Clock & {
	/** Runs all timers that are due within `durationMs`, and the tasks that they wake. */
	advance(durationMs: number): Promise<void>;
	/** Advances until the promise settles. Rejects after `limitMs` of virtual time. */
	runUntilSettled<T>(promise: Promise<T>, limitMs: number): Promise<T>;
};

const isBefore = (left: Timer, right: Timer): boolean =>
	left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.order < right.order);

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

/** Lets every promise that is ready run. The fakes do no input or output, so one turn of the event loop is enough. */
const runReadyTasks = async (): Promise<void> => timersPromises.setImmediate();

export const createVirtualClock = (): VirtualClock => {
	const timers = createTimerHeap();
	let nowMs = 0;
	let order = 0;

	/** Fires the next timer that is due by `limitMs`. */
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
					order: order++,
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
			await runReadyTasks();
			while (fireNext(limitMs)) {
				await runReadyTasks();
			}

			nowMs = limitMs;
		},
		async runUntilSettled(promise, limitMs) {
			const progress = {isSettled: false};
			const settle = async (): Promise<void> => {
				await Promise.allSettled([promise]);
				progress.isSettled = true;
			};

			void settle();
			const deadlineMs = nowMs + limitMs;
			await runReadyTasks();
			while (!progress.isSettled && fireNext(deadlineMs)) {
				await runReadyTasks();
			}

			if (!progress.isSettled) {
				throw new Error(`the promise was not settled within ${limitMs} ms of virtual time`);
			}

			return promise;
		},
	};
};
