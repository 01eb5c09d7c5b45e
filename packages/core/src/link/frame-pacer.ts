import type * as ports from '../ports/index.js';

/** The frames of one body. */
export type FrameFlow = {
	/** Resolves with true when the frame may be sent, and with false when the flow has been closed. */
	request(byteCount: number): Promise<boolean>;
	/** Releases what the flow holds. */
	close(): void;
};

/** Grants frames at a rate, and divides it among flows by their weights. */
export type FramePacer = {
	openFlow(weight: number): FrameFlow;
	/** Counts bytes that are not paced. Paced frames wait until the rate has made up for them. */
	debit(byteCount: number): void;
	openFlowCount(): number;
};

type Waiter = {
	readonly flow: FrameFlow;
	readonly byteCount: number;
	/** Virtual finishing time by which waiting frames are ordered (weighted fair queueing). */
	readonly finishTag: number;
	readonly settle: (isGranted: boolean) => void;
};

/** Unpaced traffic defers paced frames by at most this time, so that bulk work makes some progress, in ms. */
const DEBT_LIMIT_MS = 200;

/**
 * Unused rate that is saved up, in ms. It makes up for timers that fire late; more would queue on the link in front of
 * short calls.
 */
const BURST_MS = 2;

const MS_PER_SECOND = 1000;

/** Shortest sleep in ms. Timers of the platform have no finer resolution. */
const SLEEP_MINIMUM_MS = 1;

export const createFramePacer = (dependencies: {
	clock: ports.Clock;
	rateBytesPerSecond: () => number;
	/** Called when the first flow opens. */
	onBusy?: () => void;
}): FramePacer => {
	const {clock, rateBytesPerSecond} = dependencies;
	let waiting: Waiter[] = [];
	let openFlowCount = 0;
	let virtualTime = 0;
	let tokenBytes = 0;
	let refilledAtMs = clock.monotonicMs();
	let isGranting = false;

	const refill = (): void => {
		const nowMs = clock.monotonicMs();
		const earnedBytes = ((nowMs - refilledAtMs) * rateBytesPerSecond()) / MS_PER_SECOND;
		const burstBytes = (BURST_MS * rateBytesPerSecond()) / MS_PER_SECOND;
		tokenBytes = Math.min(tokenBytes + earnedBytes, Math.max(burstBytes, tokenBytes));
		refilledAtMs = nowMs;
	};

	const takeNext = (): Waiter => {
		const next = waiting.reduce((best, waiter) => (waiter.finishTag < best.finishTag ? waiter : best));
		waiting = waiting.filter(waiter => waiter !== next);
		return next;
	};

	/** Grants waiting frames in order, and sleeps while the rate allows none. */
	const grantWaiting = async (): Promise<void> => {
		isGranting = true;
		while (waiting.length > 0) {
			refill();
			if (tokenBytes >= 0) {
				const next = takeNext();
				tokenBytes -= next.byteCount;
				virtualTime = next.finishTag;
				next.settle(true);
			} else {
				const waitMs = (-tokenBytes * MS_PER_SECOND) / rateBytesPerSecond();
				await clock.sleep(Math.max(SLEEP_MINIMUM_MS, waitMs));
			}
		}

		isGranting = false;
	};

	return {
		openFlow(weight) {
			let lastFinishTag = 0;
			let isClosed = false;
			openFlowCount++;
			if (openFlowCount === 1) {
				dependencies.onBusy?.();
			}

			const flow: FrameFlow = {
				async request(byteCount) {
					if (isClosed) {
						return false;
					}

					lastFinishTag = Math.max(virtualTime, lastFinishTag) + byteCount / weight;
					return new Promise(resolve => {
						waiting.push({flow, byteCount, finishTag: lastFinishTag, settle: resolve});
						if (!isGranting) {
							void grantWaiting();
						}
					});
				},
				close() {
					if (isClosed) {
						return;
					}

					isClosed = true;
					openFlowCount--;
					waiting
						.filter(waiter => waiter.flow === flow)
						.forEach(waiter => {
							waiter.settle(false);
						});
					waiting = waiting.filter(waiter => waiter.flow !== flow);
				},
			};
			return flow;
		},
		debit(byteCount) {
			refill();
			const debtLimitBytes = (DEBT_LIMIT_MS * rateBytesPerSecond()) / MS_PER_SECOND;
			tokenBytes = Math.max(tokenBytes - byteCount, Math.min(tokenBytes, -debtLimitBytes));
		},
		openFlowCount: () => openFlowCount,
	};
};
