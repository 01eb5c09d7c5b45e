import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import {waitForAbort} from './wait-for-abort.js';

export enum FakeTargetFault {
	None = 'none',
	/** Runs calls, but answers them with status 500. */
	Errors = 'errors',
	/** Takes ten times as long for each call. */
	Slow = 'slow',
	/** Never answers calls. */
	Stall = 'stall',
	/** Answers calls with status 503 without running them. */
	Shed = 'shed',
	/** Refuses connections. */
	Down = 'down',
	/** Runs calls, but the connection breaks before the answer. */
	LoseAnswers = 'lose-answers',
	/** Runs calls, but sends only the first half of each answer body. */
	Truncate = 'truncate',
}

const SLOW_FACTOR = 10;

/** `status` is 0 when no answer is sent. `timeFactor` multiplies the service time; it is 0 when calls are not run. */
type FaultBehaviour = {readonly status: number; readonly timeFactor: number; readonly isTruncated?: boolean};

const FAULT_BEHAVIOURS: Record<FakeTargetFault, FaultBehaviour> = {
	[FakeTargetFault.None]: {status: 200, timeFactor: 1},
	[FakeTargetFault.Errors]: {status: 500, timeFactor: 1},
	[FakeTargetFault.Slow]: {status: 200, timeFactor: SLOW_FACTOR},
	[FakeTargetFault.Stall]: {status: 200, timeFactor: Infinity},
	[FakeTargetFault.Shed]: {status: 503, timeFactor: 0},
	[FakeTargetFault.Down]: {status: 0, timeFactor: 0},
	[FakeTargetFault.LoseAnswers]: {status: 0, timeFactor: 1},
	[FakeTargetFault.Truncate]: {status: 200, timeFactor: 1, isTruncated: true},
};

/** In-memory target. Calls beyond its slots are queued; calls beyond the queue limit are answered with status 503. */
export type FakeTarget = {
	readonly entry: domain.TargetEntry;
	fault: FakeTargetFault;
	/** Whether answers name the attempt that they belong to. */
	namesAttempts: boolean;
	/** Whether answers and health probes report that the target is leaving. */
	isLeaving: boolean;
	/** Time that the target takes to run a call, in ms. */
	serviceTimeMs: (request: core.TargetRequest) => number;
	queueLimitCount: number;
	readonly receivedCount: () => number;
	/** Sizes of the request bodies that were received completely, in bytes. */
	readonly receivedBodySizes: readonly number[];
	readonly busyCount: () => number;
	/** Number of executions by the value of the `x-operation` header. */
	readonly executions: ReadonlyMap<string, number>;
	serve(
		request: core.TargetRequest,
		signal: AbortSignal,
	): Promise<neverthrow.Result<core.MatchedAnswer, core.TargetError>>;
};

const encoder = new TextEncoder();

async function* writeAnswerBody(text: string, isTruncated: boolean): AsyncGenerator<Uint8Array> {
	yield encoder.encode(isTruncated ? text.slice(0, text.length / 2) : text);
	if (isTruncated) {
		throw new Error('the target broke off its answer');
	}
}

export const createFakeTarget = (options: {
	clock: core.Clock;
	entry: domain.TargetEntry;
	serviceTimeMs?: (request: core.TargetRequest) => number;
}): FakeTarget => {
	const {clock, entry} = options;
	const executions = new Map<string, number>();
	const receivedBodySizes: number[] = [];
	let waitingCalls: Array<() => void> = [];
	let busyCount = 0;
	let receivedCount = 0;

	const acquireSlot = async (): Promise<void> => {
		if (busyCount < entry.slotCount) {
			busyCount++;
			return;
		}

		await new Promise<void>(resolve => {
			waitingCalls = [...waitingCalls, resolve];
		});
	};

	const releaseSlot = (): void => {
		const [next, ...rest] = waitingCalls;
		waitingCalls = rest;
		if (next) {
			next();
		} else {
			busyCount--;
		}
	};

	/** Reads a request body to its end. Returns false if the stream fails. */
	const readRequestBody = async (body: domain.BodyStream | undefined): Promise<boolean> => {
		let sizeBytes = 0;
		try {
			for await (const chunk of body ?? []) {
				sizeBytes += chunk.byteLength;
			}
		} catch {
			return false;
		}

		if (body) {
			receivedBodySizes.push(sizeBytes);
		}

		return true;
	};

	const runCall = async (request: core.TargetRequest, timeFactor: number, signal: AbortSignal): Promise<void> => {
		await acquireSlot();
		const operation = request.headers.find(([name]) => name === 'x-operation')?.[1];
		if (operation !== undefined) {
			executions.set(operation, (executions.get(operation) ?? 0) + 1);
		}

		const durationMs = target.serviceTimeMs(request) * timeFactor;
		await (Number.isFinite(durationMs) ? clock.sleep(durationMs, signal) : waitForAbort(signal));
		releaseSlot();
	};

	const buildAnswer = (status: number, request: core.TargetRequest, isTruncated: boolean): core.MatchedAnswer => ({
		status,
		isConfirmed: target.namesAttempts,
		headers: [['content-type', 'text/plain'], ...(target.isLeaving ? [['bilberrydoor-leaving', '1'] as const] : [])],
		body: writeAnswerBody(`${entry.targetId} ${request.pathAndQuery}`, isTruncated),
	});

	const target: FakeTarget = {
		entry,
		fault: FakeTargetFault.None,
		namesAttempts: true,
		isLeaving: false,
		serviceTimeMs: options.serviceTimeMs ?? (() => 10),
		queueLimitCount: 1000,
		receivedCount: () => receivedCount,
		receivedBodySizes,
		busyCount: () => busyCount,
		executions,
		async serve(request, signal) {
			const {status, timeFactor, isTruncated = false} = FAULT_BEHAVIOURS[target.fault];
			if (target.fault === FakeTargetFault.Down) {
				return neverthrow.err({kind: core.TargetErrorKind.Unreachable, detail: 'connection refused'});
			}

			receivedCount++;
			if (timeFactor === 0 || waitingCalls.length >= target.queueLimitCount) {
				return neverthrow.ok(buildAnswer(503, request, false));
			}

			if (!(await readRequestBody(request.body))) {
				return neverthrow.err({kind: core.TargetErrorKind.Lost, detail: 'the request body broke off'});
			}

			await runCall(request, timeFactor, signal);
			if (signal.aborted) {
				return neverthrow.err({kind: core.TargetErrorKind.Cancelled, detail: 'the attempt was cancelled'});
			}

			return status === 0
				? neverthrow.err({kind: core.TargetErrorKind.Lost, detail: 'the connection broke'})
				: neverthrow.ok(buildAnswer(status, request, isTruncated));
		},
	};
	return target;
};
