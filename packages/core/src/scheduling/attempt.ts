import type * as domain from '@bilberrydoor/domain';
import * as groupHealth from '../health/group-health.js';
import * as ports from '../ports/index.js';
import {closeBody} from '../shared/close-body.js';
import {limitBody} from '../shared/limit-body.js';
import {BodyEnd, observeBody} from '../shared/observe-body.js';
import {STOP_REASON} from '../shared/stop-reason.js';
import {AttemptEnd, ENDS_BY_ERROR, HEALTH_RESULTS_BY_END, REFUSED_ENDS} from './attempt-end.js';
import {createAttemptStopper, type AttemptStopper} from './attempt-stopper.js';
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

export type AttemptRequest = {
	readonly grant: SlotGrant;
	readonly scheduled: ScheduledCall;
	readonly body?: domain.BodyStream;
	/** Instant after which the attempt is aborted if a retry is possible, on the node's monotonic clock, in ms. */
	readonly softTimeoutAtMs: number;
	readonly mayRetryNow: () => boolean;
	/** Whether calls of the class that lent the slot are waiting for it and this call can be retried. */
	readonly isReclaimDue: () => boolean;
	/** Signal of the caller, which cancels the attempt and the body of its answer. */
	readonly signal: AbortSignal;
};

export type AttemptRunner = {
	run(request: AttemptRequest): Promise<AttemptOutcome>;
	/** Aborts answers whose bodies have not ended within `answerBodyTimeoutMs`. */
	abortOverdueBodies(): void;
};

const SERVER_ERROR_STATUS = 500;
const BACK_PRESSURE_STATUSES: ReadonlySet<number> = new Set([429, 503]);

type SendResult = Awaited<ReturnType<ports.TargetClient['send']>>;

export const createAttemptRunner = (dependencies: {
	ports: Pick<ports.NodePorts, 'clock' | 'metrics' | 'targetClient' | 'logger' | 'random'>;
	health: groupHealth.GroupHealth;
	serviceTimes: ServiceTimes;
	service: string;
	refusalStatuses: () => readonly number[];
	borrowedSlotLimitMs: number;
	answerBodyTimeoutMs: number;
}): AttemptRunner => {
	const {health, serviceTimes, service} = dependencies;
	const {clock, metrics, targetClient, logger, random} = dependencies.ports;
	const bodyDeadlinesMs = new Map<AttemptStopper, number>();

	/**
	 * Stops the attempt at its deadline, at its soft timeout or when its borrowed slot is reclaimed, until the head of the
	 * answer has arrived.
	 */
	const enforceTimeLimits = async (
		request: AttemptRequest,
		stopper: AttemptStopper,
		stopSignal: AbortSignal,
	): Promise<void> => {
		const {deadlineAtMs} = request.scheduled;
		let reclaimCheckAtMs = clock.monotonicMs() + dependencies.borrowedSlotLimitMs;
		let {softTimeoutAtMs} = request;
		for (;;) {
			const wakeAtMs = Math.min(deadlineAtMs, softTimeoutAtMs, reclaimCheckAtMs);
			await clock.sleep(wakeAtMs - clock.monotonicMs(), stopSignal);
			if (stopSignal.aborted) {
				return;
			}

			const nowMs = clock.monotonicMs();
			const isSoftTimeout = nowMs >= softTimeoutAtMs && request.mayRetryNow();
			if (nowMs >= deadlineAtMs || isSoftTimeout) {
				stopper.stop(AttemptEnd.TimedOut);
				return;
			}

			if (nowMs >= reclaimCheckAtMs && request.isReclaimDue()) {
				stopper.stop(AttemptEnd.Reclaimed);
				return;
			}

			softTimeoutAtMs = nowMs >= softTimeoutAtMs ? Infinity : softTimeoutAtMs;
			reclaimCheckAtMs = nowMs >= reclaimCheckAtMs ? nowMs + dependencies.borrowedSlotLimitMs : reclaimCheckAtMs;
		}
	};

	/** Sends the request. An exception of the client counts as a lost attempt, because bytes may have been sent. */
	const send = async (request: AttemptRequest, stopper: AttemptStopper): Promise<SendResult | Error> => {
		const {call, deadlineAtMs} = request.scheduled;
		try {
			return await targetClient.send(
				request.grant.slots.target,
				{
					attemptId: random.token(),
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

	/** Counts and discards an answer that arrives after its attempt was stopped. */
	const dropLateAnswer = async (sending: Promise<SendResult | Error>): Promise<void> => {
		const sent = await sending;
		if (!(sent instanceof Error) && sent.isOk()) {
			metrics.increment(ports.CounterName.LateAnswers, {service});
			await closeBody(sent.value.body[Symbol.asyncIterator]());
		}
	};

	const classifyAnswer = ({status, isConfirmed}: ports.MatchedAnswer): AttemptEnd => {
		if (dependencies.refusalStatuses().includes(status)) {
			return isConfirmed ? AttemptEnd.Refused : AttemptEnd.UnconfirmedRefusal;
		}

		return status >= SERVER_ERROR_STATUS ? AttemptEnd.Error : AttemptEnd.Answered;
	};

	/** Returns the answer with a body that frees the slot when it ends, whether complete or not. */
	const deliverAnswer = (request: AttemptRequest, stopper: AttemptStopper, answer: domain.Answer): domain.Answer => {
		const finish = (): void => {
			bodyDeadlinesMs.delete(stopper);
			stopper.detach();
			request.grant.release();
		};

		bodyDeadlinesMs.set(stopper, clock.monotonicMs() + dependencies.answerBodyTimeoutMs);
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

	const finishFailedAttempt = (
		request: AttemptRequest,
		stopper: AttemptStopper,
		end: AttemptEnd,
		detail: string,
	): AttemptOutcome => {
		stopper.detach();
		request.grant.release();
		return {end, detail, discard: () => undefined};
	};

	const finishAnsweredAttempt = (
		request: AttemptRequest,
		stopper: AttemptStopper,
		answer: domain.Answer,
		end: AttemptEnd,
	): AttemptOutcome => {
		const {slots} = request.grant;
		const {targetId} = slots.target;
		if (REFUSED_ENDS.has(end) || BACK_PRESSURE_STATUSES.has(answer.status)) {
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

	const classifyForHealth = (end: AttemptEnd, sent: SendResult | Error | undefined): groupHealth.AttemptResult =>
		sent && !(sent instanceof Error) && sent.isOk() && BACK_PRESSURE_STATUSES.has(sent.value.status)
			? groupHealth.AttemptResult.Shed
			: HEALTH_RESULTS_BY_END[end];

	const classifyAttempt = (sent: SendResult | Error | undefined, stopper: AttemptStopper): AttemptEnd => {
		if (sent === undefined || stopper.cause() !== undefined) {
			return stopper.cause() ?? AttemptEnd.Lost;
		}

		if (sent instanceof Error) {
			return AttemptEnd.Lost;
		}

		return sent.isErr() ? ENDS_BY_ERROR[sent.error.kind] : classifyAnswer(sent.value);
	};

	/** Counts answers that cannot be assigned to the attempt by its id. */
	const countUnmatchedAnswer = (sent: SendResult | Error | undefined): void => {
		if (sent === undefined || sent instanceof Error) {
			return;
		}

		if (sent.isOk() && !sent.value.isConfirmed) {
			metrics.increment(ports.CounterName.UnconfirmedAnswers, {service});
		} else if (sent.isErr() && sent.error.kind === ports.TargetErrorKind.Mismatched) {
			metrics.increment(ports.CounterName.MismatchedAnswers, {service});
		}
	};

	const describeFailure = (sent: SendResult | Error | undefined, targetId: string): string => {
		if (sent instanceof Error) {
			return sent.message;
		}

		return sent?.isErr() ? sent.error.detail : `the attempt at target ${targetId} was given up`;
	};

	return {
		async run(request) {
			const {slots} = request.grant;
			const {workClass} = request.scheduled.route;
			const stopper = createAttemptStopper(request.signal);
			if (request.signal.aborted) {
				return finishFailedAttempt(request, stopper, AttemptEnd.Cancelled, 'the caller left before the attempt');
			}

			metrics.increment(ports.CounterName.Attempts, {service});
			const observed = health.startAttempt(slots.target.targetId, workClass);
			const startedAtMs = clock.monotonicMs();
			const timeLimitController = new AbortController();
			void enforceTimeLimits(request, stopper, timeLimitController.signal);
			const sending = send(request, stopper);
			const sent = await Promise.race([sending, stopper.stopped]);
			timeLimitController.abort(STOP_REASON);
			const end = classifyAttempt(sent, stopper);
			observed.finish(classifyForHealth(end, sent));
			countUnmatchedAnswer(sent);
			if (sent === undefined || stopper.cause() !== undefined) {
				void dropLateAnswer(sending);
				return finishFailedAttempt(request, stopper, end, describeFailure(undefined, slots.target.targetId));
			}

			if (sent instanceof Error || sent.isErr()) {
				return finishFailedAttempt(request, stopper, end, describeFailure(sent, slots.target.targetId));
			}

			if (end === AttemptEnd.Answered) {
				serviceTimes.recordLatency(slots.target.targetId, workClass, clock.monotonicMs() - startedAtMs);
			}

			return finishAnsweredAttempt(request, stopper, sent.value, end);
		},
		abortOverdueBodies() {
			const nowMs = clock.monotonicMs();
			[...bodyDeadlinesMs]
				.filter(([, deadlineMs]) => deadlineMs <= nowMs)
				.forEach(([stopper]) => {
					stopper.stop(AttemptEnd.TimedOut);
				});
		},
	};
};
