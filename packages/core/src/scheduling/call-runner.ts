import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {createHeldBody, type HeldBody} from '../shared/held-body.js';
import {readAhead} from '../shared/read-ahead.js';
import {AttemptEnd, REFUSED_ENDS} from './attempt-end.js';
import type {AttemptOutcome, AttemptRunner} from './attempt.js';
import type {RetryBudget} from './retry-budget.js';
import type {ScheduledCall} from './scheduled-call.js';
import type {SchedulerOptions} from './scheduler-options.js';
import type {ServiceTimes} from './service-times.js';
import {isSlotGrant, type SlotBroker, type SlotRequest} from './slot-broker.js';
import type {SlotGrant} from './slot-grant.js';
import {SlotUse, type SlotShares} from './slot-shares.js';
import type {TargetPool} from './target-pool.js';

/** Runs admitted calls: waits for slots, makes attempts and retries them where that is allowed. */
export type CallRunner = {
	run(
		scheduled: ScheduledCall,
		queueParameters: {weight: number; bodyBytes: number},
		signal: AbortSignal,
	): Promise<domain.CallEnding>;
};

const RETRY_REASONS: Partial<Record<AttemptEnd, domain.RetryReason>> = {
	[AttemptEnd.Error]: domain.RetryReason.TargetError,
	[AttemptEnd.Refused]: domain.RetryReason.TargetRefused,
	[AttemptEnd.UnconfirmedRefusal]: domain.RetryReason.TargetRefused,
	[AttemptEnd.Unreachable]: domain.RetryReason.TargetUnreachable,
	[AttemptEnd.Lost]: domain.RetryReason.TargetLost,
	[AttemptEnd.TimedOut]: domain.RetryReason.TargetTimedOut,
	[AttemptEnd.Reclaimed]: domain.RetryReason.SlotReclaimed,
};

/** Ends that prove that the target did not run the work. */
const PROVABLY_NOT_RUN_ENDS: ReadonlySet<AttemptEnd> = new Set([AttemptEnd.Refused, AttemptEnd.Unreachable]);

const REFUSAL_REASONS: Record<AttemptEnd, domain.RefusalReason> = {
	[AttemptEnd.Answered]: domain.RefusalReason.Internal,
	[AttemptEnd.Error]: domain.RefusalReason.TargetLost,
	[AttemptEnd.Refused]: domain.RefusalReason.TargetRefused,
	[AttemptEnd.UnconfirmedRefusal]: domain.RefusalReason.TargetRefused,
	[AttemptEnd.Unreachable]: domain.RefusalReason.TargetUnreachable,
	[AttemptEnd.Lost]: domain.RefusalReason.TargetLost,
	[AttemptEnd.TimedOut]: domain.RefusalReason.TargetTimedOut,
	[AttemptEnd.Cancelled]: domain.RefusalReason.CallerCancelled,
	[AttemptEnd.Reclaimed]: domain.RefusalReason.TargetTimedOut,
};

/** State of a call across its attempts. */
type CallState = {
	readonly scheduled: ScheduledCall;
	readonly body?: HeldBody;
	readonly queueParameters: {weight: number; bodyBytes: number};
	readonly signal: AbortSignal;
	attemptCount: number;
	/** True when a target may have run the work. */
	mayHaveRun: boolean;
	wasReclaimed: boolean;
	lastTargetId?: string;
};

export const createCallRunner = (dependencies: {
	ports: Pick<ports.NodePorts, 'clock' | 'metrics'>;
	attemptRunner: AttemptRunner;
	broker: SlotBroker;
	budget: RetryBudget;
	pool: TargetPool;
	shares: SlotShares;
	serviceTimes: ServiceTimes;
	service: string;
	options: SchedulerOptions;
	retryAfterMs: () => number;
}): CallRunner => {
	const {attemptRunner, broker, budget, pool, shares, serviceTimes, service, options} = dependencies;
	const {clock, metrics} = dependencies.ports;

	const isRepeatable = ({scheduled}: CallState): boolean =>
		scheduled.route.repeatability === domain.Repeatability.Repeatable;

	const buildSlotRequest = (state: CallState): SlotRequest => ({
		workspace: state.scheduled.call.workspace,
		weight: state.queueParameters.weight,
		bodyBytes: state.queueParameters.bodyBytes,
		workClass: state.scheduled.route.workClass,
		deadlineAtMs: state.scheduled.deadlineAtMs,
		isRepeatable: isRepeatable(state),
		// Only a call that can be retried can be stopped to return a borrowed slot, and it is stopped at most once.
		mayBorrow: isRepeatable(state) && (state.body?.canOpen() ?? true) && !state.wasReclaimed,
		isRetry: state.attemptCount > 0,
		excludedTargetId: state.lastTargetId,
	});

	const mayRetry = (state: CallState, excludedTargetId: string): boolean =>
		isRepeatable(state) &&
		state.attemptCount < options.attemptLimitCount &&
		!state.signal.aborted &&
		state.scheduled.deadlineAtMs - clock.monotonicMs() >
			serviceTimes.typicalLatencyMs(state.scheduled.route.workClass) &&
		(state.body?.canOpen() ?? true) &&
		budget.hasRetry() &&
		pool.hasCandidate({workClass: state.scheduled.route.workClass, isRepeatable: true, excludedTargetId});

	const computeSoftTimeoutAtMs = (state: CallState): number => {
		const typicalMs = serviceTimes.typicalLatencyMs(state.scheduled.route.workClass);
		const limitMs = Math.max(options.minAttemptTimeoutMs, typicalMs * options.attemptTimeoutFactor);
		return isRepeatable(state) && typicalMs > 0 ? clock.monotonicMs() + limitMs : Infinity;
	};

	const makeAttempt = async (state: CallState, grant: SlotGrant): Promise<AttemptOutcome> => {
		const {targetId} = grant.slots.target;
		const {workClass} = state.scheduled.route;
		if (state.attemptCount === 0) {
			budget.recordFirstAttempt();
		}

		state.attemptCount++;
		state.lastTargetId = targetId;
		const outcome = await attemptRunner.run({
			grant,
			scheduled: state.scheduled,
			body: state.body?.open(),
			softTimeoutAtMs: computeSoftTimeoutAtMs(state),
			mayRetryNow: () =>
				mayRetry(state, targetId) &&
				pool.pick({workClass, isRepeatable: true, excludedTargetId: targetId}) !== undefined,
			isReclaimDue: () =>
				grant.use === SlotUse.Borrowed && shares.isLenderWaiting(workClass) && mayRetry(state, targetId),
			signal: state.signal,
		});
		state.wasReclaimed ||= outcome.end === AttemptEnd.Reclaimed;
		state.mayHaveRun ||= !PROVABLY_NOT_RUN_ENDS.has(outcome.end);
		return outcome;
	};

	const endCall = (state: CallState, outcome: AttemptOutcome): domain.CallEnding => {
		if (outcome.answer && !REFUSED_ENDS.has(outcome.end)) {
			// Reading ahead frees the slot when the target has sent its answer, also when the caller reads it slowly.
			const body = readAhead(outcome.answer.body, options.answerReadAheadBytes);
			return domain.completed({...outcome.answer, body});
		}

		outcome.discard();
		const reason = REFUSAL_REASONS[outcome.end];
		return state.mayHaveRun
			? domain.unknown(reason, outcome.detail)
			: domain.notRun(reason, outcome.detail, {retryAfterMs: dependencies.retryAfterMs()});
	};

	/** Acquires a slot for a retry, or returns why none was acquired; undefined when the call ends with this outcome. */
	const acquireForRetry = async (
		state: CallState,
		outcome: AttemptOutcome,
	): Promise<SlotGrant | domain.NotRunEnding | undefined> => {
		const reason = RETRY_REASONS[outcome.end];
		if (reason === undefined || !mayRetry(state, state.lastTargetId!)) {
			return undefined;
		}

		// A server error can be passed to the caller, so it is discarded for a retry only if a slot is free now.
		const freeGrant = outcome.end === AttemptEnd.Error ? broker.acquireNow(buildSlotRequest(state)) : undefined;
		if (outcome.end === AttemptEnd.Error && !freeGrant) {
			return undefined;
		}

		budget.take();
		metrics.increment(ports.CounterName.Retries, {service, reason});
		outcome.discard();
		return freeGrant ?? broker.acquire(buildSlotRequest(state), state.signal);
	};

	/** Calls `beforeDispatch` and releases the slot when it refuses or throws. */
	const checkDispatch = (scheduled: ScheduledCall, grant: SlotGrant): domain.NotRunEnding | undefined => {
		let isAllowed = false;
		try {
			const refusal = scheduled.beforeDispatch?.();
			isAllowed = refusal === undefined;
			return refusal;
		} finally {
			if (!isAllowed) {
				grant.release();
			}
		}
	};

	const runAttempts = async (state: CallState): Promise<domain.CallEnding> => {
		let acquired = await broker.acquire(buildSlotRequest(state), state.signal);
		const refusal = isSlotGrant(acquired) ? checkDispatch(state.scheduled, acquired) : acquired;
		if (refusal) {
			return refusal;
		}

		for (;;) {
			const outcome = await makeAttempt(state, acquired as SlotGrant);
			const next = await acquireForRetry(state, outcome);
			if (next === undefined) {
				return endCall(state, outcome);
			}

			if (!isSlotGrant(next)) {
				return state.mayHaveRun ? domain.unknown(REFUSAL_REASONS[outcome.end], next.detail) : next;
			}

			acquired = next;
		}
	};

	return {
		async run(scheduled, queueParameters, signal) {
			const {body} = scheduled.call;
			const state: CallState = {
				scheduled,
				queueParameters,
				signal,
				body: body && createHeldBody(body, {limitBytes: options.resendLimitBytes}),
				attemptCount: 0,
				mayHaveRun: false,
				wasReclaimed: false,
			};
			const ending = await runAttempts(state);
			if (state.attemptCount > 0 && ending.outcome !== domain.Outcome.Completed) {
				state.body?.close();
			}

			return ending;
		},
	};
};
