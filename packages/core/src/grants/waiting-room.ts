import * as ports from '../ports/index.js';
import {STOP_REASON} from '../shared/stop-reason.js';
import {createGrantedWork, type WaitingRank} from '../waiting/granted-work.js';
import {AttemptKind, classify, type WaitingCall} from '../waiting/waiting-call.js';
import {createWaitingQueue} from '../waiting/waiting-queue.js';
import type {FleetRetryBudget} from './fleet-retry-budget.js';
import {deny} from './deny.js';

/** Interval at which waiting calls are checked for a free target; set-aside periods and shed pauses end without an event. */
const CHECK_MS = 100;

/**
 * Calls that are passed over for a freed slot because they cannot use its target: they have tried it, or their node cannot reach
 * it. More of them are passed over in the check of each `CHECK_MS`.
 */
const PASSED_OVER_LIMIT_COUNT = 4;

/** A call that waits for a slot. */
type RoomCall = WaitingCall & {
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
	/** Called when the number of waiting calls has changed. */
	readonly recordCount: (waitingCount: number) => void;
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
	/** Work of the waiting calls that would get slots before a call of this request, in ms. */
	workBeforeMs(request: ports.AcquireGrantRequest): number;
	/** Slots that calls that go before those of this request's priority and class have used lately, on average. */
	slotsBefore(request: ports.AcquireGrantRequest): number;
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

const rankOf = (call: WaitingCall, nowMs: number): WaitingRank => ({
	priority: call.priority,
	waitingClass: classify(call, nowMs),
});

export const createWaitingRoom = (parts: WaitingRoomParts): WaitingRoom => {
	const {clock, budget} = parts;
	const queue = createWaitingQueue<RoomCall>();
	const grantedWork = createGrantedWork();
	let arrivalCount = 0;
	let lastResortCount = 0;
	let isChecking = false;

	const describe = (request: ports.AcquireGrantRequest): WaitingCall => {
		const nowMs = clock.monotonicMs();
		const workMs = Math.max(1, Math.round(parts.usualDurationMs(request.routeId)));
		return {
			priority: request.priority,
			workspace: request.workspace ?? '',
			kind: readKind(request),
			arrivalNumber: arrivalCount,
			objectiveStartMs: nowMs + request.objectiveLeftMs - workMs,
			deadlineStartMs: nowMs + request.remainingMs - workMs,
			workMs,
		};
	};

	const recordWork = (call: WaitingCall): void => {
		const nowMs = clock.monotonicMs();
		grantedWork.record(rankOf(call, nowMs), call.workMs, nowMs);
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

	const serveNext = (passedOverLimitCount: number): void => {
		const passedOver: RoomCall[] = [];
		while (passedOver.length < passedOverLimitCount && canServe()) {
			const call = queue.next(clock.monotonicMs());
			if (!call) {
				break;
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
			serveNext(Number.POSITIVE_INFINITY);
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
			await clock.sleep(Math.min(request.waitLimitMs, startLeftMs), controller.signal);
			signal.removeEventListener('abort', stop);
			if (outcome.reply) {
				return outcome.reply;
			}

			leave(call);
			return startLeftMs < request.waitLimitMs && !signal.aborted ? deny(ports.GrantRefusal.TooLate, 0) : undefined;
		},
		serve() {
			if (queue.count() > 0) {
				serveNext(PASSED_OVER_LIMIT_COUNT);
			}
		},
		count: queue.count,
		workBeforeMs: request => queue.workBeforeMs(describe(request), clock.monotonicMs()),
		slotsBefore(request) {
			const nowMs = clock.monotonicMs();
			return grantedWork.slotsBefore(rankOf(describe(request), nowMs), nowMs);
		},
		recordGrant(request) {
			recordWork(describe(request));
		},
		workMs: request => describe(request).workMs,
	};
};
