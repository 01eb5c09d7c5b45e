import type * as ports from '../ports/index.js';

/** The frames of one body. */
export type FrameFlow = {
	/** Resolves with true when the frame may be sent, and with false when the flow has been closed. */
	request(byteCount: number): Promise<boolean>;
	/** Closes the flow. Its waiting frames are not sent. */
	close(): void;
};

/** Limits the rate at which frames are sent, and divides it among flows by weight. */
export type FramePacer = {
	openFlow(weight: number): FrameFlow;
	/** Charges bytes that are sent without pacing against the rate. Paced frames are delayed accordingly. */
	debit(byteCount: number): void;
	openFlowCount(): number;
};

type WaitingFrame = {
	readonly flow: FrameFlow;
	readonly byteCount: number;
	/** Virtual finishing time by which waiting frames are ordered (weighted fair queueing). */
	readonly finishTag: number;
	readonly settle: (isGranted: boolean) => void;
};

/** Longest time for which unpaced traffic can delay paced frames, so that bulk work is not starved, in ms. */
const UNPACED_DELAY_LIMIT_MS = 200;

/**
 * Depth of the token bucket, in ms at the full rate. It compensates for timers that fire late; a larger burst would
 * queue on the link ahead of short calls.
 */
const BURST_MS = 2;

const MS_PER_SECOND = 1000;

/** Shortest sleep, in ms. Node.js timers have no finer resolution. */
const MIN_SLEEP_MS = 1;

export const createFramePacer = (dependencies: {
	clock: ports.Clock;
	rateBytesPerSecond: () => number;
	/** Called when a flow opens while no other is open. */
	onBusy?: () => void;
}): FramePacer => {
	const {clock, rateBytesPerSecond} = dependencies;
	let waiting: WaitingFrame[] = [];
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

	const takeNext = (): WaitingFrame => {
		const next = waiting.reduce((best, frame) => (frame.finishTag < best.finishTag ? frame : best));
		waiting = waiting.filter(frame => frame !== next);
		return next;
	};

	/** Grants the waiting frames in order, and sleeps while the bucket is empty. */
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
				await clock.sleep(Math.max(MIN_SLEEP_MS, waitMs));
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
						.filter(frame => frame.flow === flow)
						.forEach(frame => {
							frame.settle(false);
						});
					waiting = waiting.filter(frame => frame.flow !== flow);
				},
			};
			return flow;
		},
		debit(byteCount) {
			refill();
			const debtLimitBytes = (UNPACED_DELAY_LIMIT_MS * rateBytesPerSecond()) / MS_PER_SECOND;
			tokenBytes = Math.max(tokenBytes - byteCount, Math.min(tokenBytes, -debtLimitBytes));
		},
		openFlowCount: () => openFlowCount,
	};
};
