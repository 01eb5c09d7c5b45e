import type * as domain from '@bilberrydoor/domain';
import * as groupHealth from '../health/group-health.js';
import * as ports from '../ports/index.js';
import {closeBody} from '../shared/close-body.js';
import {limitBody} from '../shared/limit-body.js';
import {BodyEnd, observeBody} from '../shared/observe-body.js';
import {STOP_REASON} from '../shared/stop-reason.js';
import {AttemptEnd, ENDS_BY_ERROR, HEALTH_RESULTS} from './attempt-end.js';
import {createStopper, type Stopper} from './attempt-stopper.js';
import type {ScheduledCall} from './scheduled-call.js';
import type {ServiceTimes} from './service-times.js';
import type {SlotGrant} from './slot-grant.js';

export type AttemptOutcome = {
	readonly end: AttemptEnd;
	readonly detail: string;
	/** Present when the target answered. Its body holds the slot until it has ended. */
	readonly answer?: domain.Answer;
	/** Drops the answer and frees the slot. */
	discard(): void;
};

/** One attempt to make. */
export type AttemptRequest = {
	readonly grant: SlotGrant;
	readonly scheduled: ScheduledCall;
	readonly body?: domain.BodyStream;
	/** Instant after which the attempt is given up when a retry is possible, on the node's clock, in ms. */
	readonly softTimeoutAtMs: number;
	readonly mayRetryNow: () => boolean;
	/** Whether the slot is wanted back by the class that lent it, and the call can be made again. */
	readonly isReclaimDue: () => boolean;
	/** The caller's signal, for the attempt and the body of its answer. */
	readonly signal: AbortSignal;
};

export type AttemptRunner = {
	run(request: AttemptRequest): Promise<AttemptOutcome>;
	/** Breaks answers whose bodies have taken too long. */
	breakOverdueBodies(): void;
};

const SERVER_ERROR_STATUS = 500;
const BACK_PRESSURE_STATUSES: ReadonlySet<number> = new Set([429, 503]);

type Sent = Awaited<ReturnType<ports.TargetClient['send']>>;

export const createAttemptRunner = (dependencies: {
	ports: Pick<ports.NodePorts, 'clock' | 'metrics' | 'targetClient' | 'logger'>;
	health: groupHealth.GroupHealth;
	serviceTimes: ServiceTimes;
	service: string;
	refusalStatuses: () => readonly number[];
	borrowedSlotLimitMs: number;
	answerBodyTimeoutMs: number;
}): AttemptRunner => {
	const {health, serviceTimes, service} = dependencies;
	const {clock, metrics, targetClient, logger} = dependencies.ports;
	const openBodies = new Map<Stopper, number>();

	/** Stops the attempt when its time is up or its slot is wanted back, until the head of the answer has arrived. */
	const watchTime = async (request: AttemptRequest, stopper: Stopper, watchSignal: AbortSignal): Promise<void> => {
		const {deadlineAtMs} = request.scheduled;
		let reclaimAtMs = clock.monotonicMs() + dependencies.borrowedSlotLimitMs;
		let {softTimeoutAtMs} = request;
		for (;;) {
			const dueMs = Math.min(deadlineAtMs, softTimeoutAtMs, reclaimAtMs);
			await clock.sleep(dueMs - clock.monotonicMs(), watchSignal);
			if (watchSignal.aborted) {
				return;
			}

			const nowMs = clock.monotonicMs();
			const isSoftTimeout = nowMs >= softTimeoutAtMs && request.mayRetryNow();
			if (nowMs >= deadlineAtMs || isSoftTimeout) {
				stopper.stop(AttemptEnd.TimedOut);
				return;
			}

			if (nowMs >= reclaimAtMs && request.isReclaimDue()) {
				stopper.stop(AttemptEnd.Reclaimed);
				return;
			}

			softTimeoutAtMs = nowMs >= softTimeoutAtMs ? Infinity : softTimeoutAtMs;
			reclaimAtMs = nowMs >= reclaimAtMs ? nowMs + dependencies.borrowedSlotLimitMs : reclaimAtMs;
		}
	};

	/** Sends the attempt; a client that throws counts as a lost attempt, because bytes may have been sent. */
	const send = async (request: AttemptRequest, stopper: Stopper): Promise<Sent | Error> => {
		const {call, deadlineAtMs} = request.scheduled;
		try {
			return await targetClient.send(
				request.grant.slots.target,
				{
					method: call.method,
					pathAndQuery: call.path + call.query,
					headers: call.headers,
					body: request.body,
					bodyLengthBytes: call.bodyLengthBytes,
					remainingMs: deadlineAtMs - clock.monotonicMs(),
				},
				stopper.signal,
			);
		} catch (error) {
			logger.error('target client failed', {service, error: String(error)});
			return error instanceof Error ? error : new Error(String(error));
		}
	};

	/** Drops an answer that arrives after its attempt was given up. */
	const dropLateAnswer = async (sending: Promise<Sent | Error>): Promise<void> => {
		const sent = await sending;
		if (!(sent instanceof Error) && sent.isOk()) {
			metrics.increment(ports.CounterName.LateAnswers, {service});
			await closeBody(sent.value.body[Symbol.asyncIterator]());
		}
	};

	const classifyStatus = (status: number): AttemptEnd => {
		if (dependencies.refusalStatuses().includes(status)) {
			return AttemptEnd.Refused;
		}

		return status >= SERVER_ERROR_STATUS ? AttemptEnd.Error : AttemptEnd.Answered;
	};

	/** Hands the answer over. The slot is free when its body has ended, however it ended. */
	const deliverAnswer = (request: AttemptRequest, stopper: Stopper, answer: domain.Answer): domain.Answer => {
		const finish = (): void => {
			openBodies.delete(stopper);
			stopper.detach();
			request.grant.release();
		};

		openBodies.set(stopper, clock.monotonicMs() + dependencies.answerBodyTimeoutMs);
		stopper.signal.addEventListener('abort', finish, {once: true});
		return {
			...answer,
			body: observeBody(limitBody(answer.body, request.scheduled.route.answerBodyLimitBytes), {
				onEnd(end) {
					finish();
					if (end !== BodyEnd.Complete) {
						stopper.stop(AttemptEnd.Cancelled);
					}
				},
			}),
		};
	};

	const finishFailed = (request: AttemptRequest, stopper: Stopper, end: AttemptEnd, detail: string): AttemptOutcome => {
		stopper.detach();
		request.grant.release();
		return {end, detail, discard: () => undefined};
	};

	const finishAnswered = (request: AttemptRequest, stopper: Stopper, answer: domain.Answer): AttemptOutcome => {
		const end = classifyStatus(answer.status);
		const {slots} = request.grant;
		const {targetId} = slots.target;
		if (end === AttemptEnd.Refused || BACK_PRESSURE_STATUSES.has(answer.status)) {
			slots.limit.reportShedding(clock.monotonicMs(), slots.busySlotCount);
		} else if (end === AttemptEnd.Answered) {
			slots.limit.reportAnswer(
				clock.monotonicMs(),
				serviceTimes.latencyRatio(targetId, request.scheduled.route.workClass),
			);
		}

		return {
			end,
			detail: `target ${targetId} answered with status ${answer.status}`,
			answer: deliverAnswer(request, stopper, answer),
			discard() {
				stopper.stop(AttemptEnd.Cancelled);
				void closeBody(answer.body[Symbol.asyncIterator]());
			},
		};
	};

	const findHealthResult = (end: AttemptEnd, sent: Sent | Error | undefined): groupHealth.AttemptResult =>
		sent && !(sent instanceof Error) && sent.isOk() && BACK_PRESSURE_STATUSES.has(sent.value.status)
			? groupHealth.AttemptResult.Shed
			: HEALTH_RESULTS[end];

	const findEnd = (sent: Sent | Error | undefined, stopper: Stopper): AttemptEnd => {
		if (sent === undefined || stopper.cause() !== undefined) {
			return stopper.cause() ?? AttemptEnd.Lost;
		}

		if (sent instanceof Error) {
			return AttemptEnd.Lost;
		}

		return sent.isErr() ? ENDS_BY_ERROR[sent.error.kind] : classifyStatus(sent.value.status);
	};

	const describeFailure = (sent: Sent | Error | undefined, targetId: string): string => {
		if (sent instanceof Error) {
			return sent.message;
		}

		return sent?.isErr() ? sent.error.detail : `the attempt at target ${targetId} was given up`;
	};

	return {
		async run(request) {
			const {slots} = request.grant;
			const {workClass} = request.scheduled.route;
			const stopper = createStopper(request.signal);
			if (request.signal.aborted) {
				return finishFailed(request, stopper, AttemptEnd.Cancelled, 'the caller left before the attempt');
			}

			metrics.increment(ports.CounterName.Attempts, {service});
			const observed = health.startAttempt(slots.target.targetId, workClass);
			const startedAtMs = clock.monotonicMs();
			const watchController = new AbortController();
			void watchTime(request, stopper, watchController.signal);
			const sending = send(request, stopper);
			const sent = await Promise.race([sending, stopper.stopped]);
			watchController.abort(STOP_REASON);
			const end = findEnd(sent, stopper);
			observed.finish(findHealthResult(end, sent));
			if (sent === undefined || stopper.cause() !== undefined) {
				void dropLateAnswer(sending);
				return finishFailed(request, stopper, end, describeFailure(undefined, slots.target.targetId));
			}

			if (sent instanceof Error || sent.isErr()) {
				return finishFailed(request, stopper, end, describeFailure(sent, slots.target.targetId));
			}

			if (end === AttemptEnd.Answered) {
				serviceTimes.recordHead(slots.target.targetId, workClass, clock.monotonicMs() - startedAtMs);
			}

			return finishAnswered(request, stopper, sent.value);
		},
		breakOverdueBodies() {
			const nowMs = clock.monotonicMs();
			[...openBodies]
				.filter(([, dueMs]) => dueMs <= nowMs)
				.forEach(([stopper]) => {
					stopper.stop(AttemptEnd.TimedOut);
				});
		},
	};
};
