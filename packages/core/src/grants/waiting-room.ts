import * as ports from '../ports/index.js';
import {STOP_REASON} from '../shared/stop-reason.js';
import {createGrantedWork, type WaitingRank} from '../waiting/granted-work.js';
import {createOvertakingWork} from '../waiting/overtaking-work.js';
import {AttemptKind, classify, readLatestStartMs, type WaitingCall} from '../waiting/waiting-call.js';
import {createWaitingQueue} from '../waiting/waiting-queue.js';
import type {FleetRetryBudget} from './fleet-retry-budget.js';
import {deny} from './deny.js';

/** Interval at which waiting calls are checked for a free target; set-aside periods and shed pauses end without an event. */
const CHECK_MS = 100;

type ServeLimits = {
	/**
	 * Calls that are passed over because they cannot use a free slot: they have tried its target, their node cannot reach it, or it is
	 * kept for callers of another zone or region.
	 */
	readonly passedOverCount: number;
	/** Calls that are passed over before those of an origin that got no target are passed over without an attempt. */
	readonly triedCount: number;
};

/**
 * Limits for a freed slot, which keep its cost constant. A slot that is kept for other callers must not stand idle behind calls that
 * may not have it, and attempts cost most.
 */
const FREED_SLOT_LIMITS: ServeLimits = {passedOverCount: 36, triedCount: 4};

/** Limits for the check of each `CHECK_MS`. */
const CHECK_LIMITS: ServeLimits = {
	passedOverCount: Number.POSITIVE_INFINITY,
	triedCount: Number.POSITIVE_INFINITY,
};

/** Part of the slots that a prediction counts on although calls that go before have used more lately. */
const MIN_SLOT_RATIO = 0.05;

/** A call with the time of its arrival. */
type ArrivedCall = WaitingCall & {readonly arrivedAtMs: number};

/** A call that waits for a slot. */
type RoomCall = ArrivedCall & {
	readonly request: ports.AcquireGrantRequest;
	/** Ends the wait. */
	settle(reply: ports.AcquireGrantReply): void;
};

export type WaitingRoomParts = {
	readonly clock: ports.Clock;
	readonly budget: Pick<FleetRetryBudget, 'reserveRetry' | 'releaseRetry' | 'hasReservedRetry'>;
	/** Usual duration of a route's calls, in ms. */
	readonly usualDurationMs: (routeId: string) => number;
	/** Grants a target if one is available. */
	readonly tryGrant: (request: ports.AcquireGrantRequest) => ports.Grant | undefined;
	/** Whether a target can take a call. */
	readonly hasRoom: () => boolean;
	/** Slots of the group's sound targets. */
	readonly readSlotCount: () => number;
	/** Time until the first pause ends if all targets pause, in ms. */
	readonly shortestPauseMs: () => number;
	/** Mean duration of the group's calls, in ms. */
	readonly overallDurationMs: () => number;
	/** Called when the number of waiting calls has changed. */
	readonly recordCount: (waitingCount: number) => void;
};

/** Expected waits of a call. */
export type WaitPrediction = {
	/** Wait until the work that is ahead of it is done, in ms. */
	readonly waitMs: number;
	/** Wait if calls keep arriving that overtake it, as many as lately, in ms. */
	readonly overtakenWaitMs: number;
};

/** Calls of a group that wait for a slot. */
export type WaitingRoom = {
	/**
	 * Waits for a grant until the request's wait limit, or until the call can no longer be served in time. Undefined when the
	 * signal is aborted or the wait limit has passed.
	 */
	wait(request: ports.AcquireGrantRequest, signal: AbortSignal): Promise<ports.AcquireGrantReply | undefined>;
	/** Grants free slots to the calls that are next. */
	serve(): void;
	count(): number;
	/** Expected waits of a call of this request. */
	predict(request: ports.AcquireGrantRequest): WaitPrediction;
	/** Accounts for a grant to a call that has not waited. */
	recordGrant(request: ports.AcquireGrantRequest): void;
	/** Usual duration of the request's route, in ms. */
	workMs(request: ports.AcquireGrantRequest): number;
};

const readKind = ({attemptIndex, isReplacement}: ports.AcquireGrantRequest): AttemptKind => {
	if (isReplacement) {
		return AttemptKind.Replacement;
	}

	return attemptIndex === 0 ? AttemptKind.First : AttemptKind.Retry;
};

/** Calls of one origin may get the same slots as far as these are kept for callers of a zone or region. */
const readOrigin = ({request: {availabilityZone, isFromOtherRegion = false, priority}}: RoomCall): string =>
	`${availabilityZone}/${isFromOtherRegion}/${priority}`;

const rankOf = (call: WaitingCall, nowMs: number): WaitingRank => ({
	priority: call.priority,
	waitingClass: classify(call, nowMs),
});

export const createWaitingRoom = (parts: WaitingRoomParts): WaitingRoom => {
	const {clock, budget} = parts;
	const queue = createWaitingQueue<RoomCall>();
	const grantedWork = createGrantedWork();
	const overtakingWork = createOvertakingWork();
	let arrivalCount = 0;
	let lastResortCount = 0;
	let isChecking = false;

	const describe = (request: ports.AcquireGrantRequest): ArrivedCall => {
		const nowMs = clock.monotonicMs();
		const workMs = Math.max(1, Math.round(parts.usualDurationMs(request.routeId)));
		return {
			arrivedAtMs: nowMs,
			priority: request.priority,
			workspace: request.workspace ?? '',
			kind: readKind(request),
			arrivalNumber: arrivalCount,
			objectiveStartMs: nowMs + request.objectiveLeftMs - workMs,
			deadlineStartMs: nowMs + request.remainingMs - workMs,
			workMs,
		};
	};

	/** The calls among which a call is ordered by its latest start, and that start. */
	const readFlow = (call: WaitingCall, nowMs: number) => {
		const flow = {...rankOf(call, nowMs), workspace: call.workspace};
		return {flow, latestStartMs: readLatestStartMs(call, flow.waitingClass)};
	};

	/** Expected waits of a call, from the work of the calls that get slots before it and of one that has to end. */
	const predict = (call: ArrivedCall): WaitPrediction => {
		const nowMs = clock.monotonicMs();
		const slotCount = parts.readSlotCount();
		const {flow, latestStartMs} = readFlow(call, nowMs);
		const leftCount = Math.max(slotCount * MIN_SLOT_RATIO, slotCount - grantedWork.slotsBefore(flow, nowMs));
		const workMs = parts.overallDurationMs() + queue.workBeforeMs(call, nowMs);
		const ahead = {workMs, slotCount: Math.max(1, leftCount)};
		const pauseMs = parts.shortestPauseMs();
		return {
			waitMs: pauseMs + ahead.workMs / ahead.slotCount,
			overtakenWaitMs: pauseMs + overtakingWork.predictWaitMs(flow, latestStartMs - nowMs, ahead, nowMs),
		};
	};

	const recordWork = (call: ArrivedCall): void => {
		const nowMs = clock.monotonicMs();
		const {flow, latestStartMs} = readFlow(call, nowMs);
		grantedWork.record(flow, call.workMs, nowMs);
		overtakingWork.record(flow, latestStartMs - call.arrivedAtMs, call.workMs, nowMs);
	};

	const isWithinReserve = ({request}: RoomCall): boolean => request.attemptIndex === 0 || budget.hasReservedRetry();

	/** The reply to the call that is next; undefined if no target that it may use is available. */
	const answer = (call: RoomCall): ports.AcquireGrantReply | undefined => {
		if (call.deadlineStartMs < clock.monotonicMs()) {
			return deny(ports.GrantRefusal.TooLate, 0);
		}

		// Budget that is not used expires, also while it is reserved.
		return isWithinReserve(call) ? parts.tryGrant(call.request) : deny(ports.GrantRefusal.NoBudget, 0);
	};

	const canServe = (): boolean => parts.hasRoom() || lastResortCount > 0;

	const serveNext = ({passedOverCount, triedCount}: ServeLimits): void => {
		const passedOver: RoomCall[] = [];
		const keptOrigins = new Set<string>();
		while (passedOver.length < passedOverCount && canServe()) {
			const call = queue.next(clock.monotonicMs());
			if (!call) {
				break;
			}

			if (passedOver.length >= triedCount && keptOrigins.has(readOrigin(call))) {
				queue.remove(call);
				passedOver.push(call);
				continue;
			}

			const reply = answer(call);
			if (reply?.isGranted) {
				queue.take(call);
				recordWork(call);
			} else {
				queue.remove(call);
			}

			if (reply) {
				call.settle(reply);
			} else {
				passedOver.push(call);
				if (call.request.excludedTargetIds.length === 0) {
					keptOrigins.add(readOrigin(call));
				}
			}
		}

		passedOver.forEach(call => {
			queue.add(call, clock.monotonicMs());
		});
	};

	/** Checks all waiting calls at an interval while there are any. */
	const runChecks = async (): Promise<void> => {
		isChecking = true;
		while (queue.count() > 0) {
			await clock.sleep(CHECK_MS);
			serveNext(CHECK_LIMITS);
		}

		isChecking = false;
	};

	const enter = (call: RoomCall): void => {
		arrivalCount++;
		queue.add(call, clock.monotonicMs());
		lastResortCount += call.request.isLastResort ? 1 : 0;
		if (call.request.attemptIndex > 0) {
			budget.reserveRetry();
		}

		parts.recordCount(queue.count());
		if (!isChecking) {
			void runChecks();
		}
	};

	const leave = (call: RoomCall): void => {
		queue.remove(call);
		lastResortCount -= call.request.isLastResort ? 1 : 0;
		if (call.request.attemptIndex > 0) {
			budget.releaseRetry();
		}

		parts.recordCount(queue.count());
	};

	return {
		async wait(request, signal) {
			const startedAtMs = clock.monotonicMs();
			const controller = new AbortController();
			const stop = (): void => {
				controller.abort(STOP_REASON);
			};

			const outcome: {reply?: ports.AcquireGrantReply} = {};
			const call: RoomCall = {
				...describe(request),
				request,
				settle(reply) {
					outcome.reply = reply;
					leave(call);
					stop();
				},
			};
			const startLeftMs = call.deadlineStartMs - startedAtMs;
			signal.addEventListener('abort', stop, {once: true});
			enter(call);
			const limitMs = Math.min(request.waitLimitMs, startLeftMs);
			await clock.sleep(limitMs, controller.signal);
			signal.removeEventListener('abort', stop);
			if (outcome.reply) {
				return outcome.reply;
			}

			leave(call);
			return startLeftMs < request.waitLimitMs && !signal.aborted ? deny(ports.GrantRefusal.TooLate, 0) : undefined;
		},
		serve() {
			if (queue.count() > 0) {
				serveNext(FREED_SLOT_LIMITS);
			}
		},
		count: queue.count,
		predict: request => predict(describe(request)),
		recordGrant(request) {
			recordWork(describe(request));
		},
		workMs: request => describe(request).workMs,
	};
};
