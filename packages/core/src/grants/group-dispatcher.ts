import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {STOP_REASON} from '../shared/stop-reason.js';
import {createDecisionClock} from './decision-clock.js';
import type {DispatcherOptions} from './dispatcher-options.js';
import {createFleetRetryBudget} from './fleet-retry-budget.js';
import {createGrayPhaseEstimator} from './gray-phase-estimator.js';
import {createLedgerTable} from './ledger-table.js';
import {hasFreeSlot, pickTarget} from './pick-target.js';
import {createTargetLedger, GrantStanding} from './target-ledger.js';
import type {TargetNotices} from './target-notices.js';
import {createToldNotices} from './told-notices.js';
import {createUnservedRatio} from './unserved-ratio.js';
import {createUsualDurations} from './usual-durations.js';
import {createUsualFailureRatio} from './usual-failure-ratio.js';
import {createWaitingCalls, type WaitingCall} from './waiting-calls.js';

/** Interval at which waiting calls are checked for a free target; set-aside periods and shed pauses end without an event. */
const WAITING_CALLS_CHECK_MS = 100;

/** A call is refused when less than this fraction of its route's mean duration remains before its deadline. */
const MIN_REMAINING_TIME_RATIO = 0.5;

/** Trials are expected to get repeatable calls when the group received one within this time. */
const REPEATABLE_WORK_WINDOW_MS = 1000;

/** Mean duration assumed until the group's first successful call. */
const DEFAULT_DURATION_MS = 250;

const MS_PER_SECOND = 1000;

/** Grants slots of one group's targets. */
export type GroupDispatcher = {
	acquire(request: ports.AcquireGrantRequest, signal: AbortSignal): Promise<ports.AcquireGrantReply>;
	report(request: ports.ReportResultRequest): void;
	/** Targets by standing, for metrics. */
	countStandings(): ReadonlyMap<GrantStanding, number>;
};

export type GroupDispatcherParts = {
	readonly groupId: string;
	readonly options: DispatcherOptions;
	readonly clock: ports.Clock;
	readonly random: ports.Random;
	readonly logger: ports.Logger;
	readonly metrics: ports.Metrics;
	/** Announcements of targets that this node knows of. */
	readonly notices: TargetNotices;
	/** Currently registered targets of the group. */
	readonly listTargets: () => readonly domain.RegisteredTarget[];
	/** Offset of the record that registered a target, if this node has it. */
	readonly readTargetOffset: (targetId: string) => number | undefined;
	/** Era of the store to which that offset belongs. */
	readonly readTargetEra?: (targetId: string) => number | undefined;
};

/** Requesting nodes for which it is kept which notices they have. */
const TOLD_NODE_LIMIT_COUNT = 4096;

/** Id of no node. A target's standing for it does not depend on the paths that single nodes have lost. */
const NO_NODE_ID = '';

/** Standings of targets that get no calls, except as a last resort or to meet the floor. */
const STANDINGS_WITHOUT_GRANTS: ReadonlySet<GrantStanding> = new Set([GrantStanding.SetAside, GrantStanding.Paused]);

export const createGroupDispatcher = (parts: GroupDispatcherParts): GroupDispatcher => {
	const {options, clock, logger, metrics, notices, groupId} = parts;
	const decisionClock = createDecisionClock(clock);
	const failureRatio = createUsualFailureRatio();
	const durations = createUsualDurations();
	const waitingCalls = createWaitingCalls();
	const phases = createGrayPhaseEstimator(options);
	const budget = createFleetRetryBudget(options, clock);
	const unservedRatio = createUnservedRatio(clock);
	const toldNotices = createToldNotices(notices, TOLD_NODE_LIMIT_COUNT);
	/** Makes grant ids unique and orders the waiting calls by arrival. */
	let sequenceNumber = 0;
	let waitingCallsCheckedAtMs = -WAITING_CALLS_CHECK_MS;
	let lastRepeatableAtMs = -REPEATABLE_WORK_WINDOW_MS;

	const readTrialRepeatability = (): domain.Repeatability =>
		clock.monotonicMs() - lastRepeatableAtMs < REPEATABLE_WORK_WINDOW_MS
			? domain.Repeatability.Repeatable
			: domain.Repeatability.Single;

	const ledgers = createLedgerTable({
		listTargets: parts.listTargets,
		notices,
		createLedger: target =>
			createTargetLedger(target, {
				options,
				clock: decisionClock,
				failureRatio,
				durations,
				phases,
				notices,
				readTrialRepeatability,
			}),
	});
	const listReadyLedgers = ledgers.listReady;

	const isWithinBudget = ({attemptIndex}: ports.AcquireGrantRequest): boolean =>
		attemptIndex === 0 || budget.hasRetry();

	/**
	 * Grants a target immediately if one is available. Checks and charges the retry budget here, since other retries may have
	 * used it up while this one waited.
	 */
	const tryGrant = (request: ports.AcquireGrantRequest): ports.Grant | undefined => {
		if (!isWithinBudget(request)) {
			return undefined;
		}

		const pick = decisionClock.decide(() =>
			pickTarget(request, {
				ledgers: listReadyLedgers(),
				options,
				random: parts.random,
				isFloorEnforced: unservedRatio.read() >= options.floorUnservedRatio,
				hasRetry: budget.hasRetry,
			}),
		);
		if (!pick) {
			return undefined;
		}

		const {ledger, isForFloor} = pick;

		const grantId = `${request.requestId}.${request.attemptIndex}.${sequenceNumber++}`;
		const standing = ledger.standingFor(request.nodeId);
		if (request.attemptIndex > 0) {
			budget.consumeRetry();
		}

		ledger.open(grantId, request, {ttlMs: request.remainingMs + options.grantSlackMs, isForFloor});
		return {
			isGranted: true,
			grantId,
			target: ledger.target(),
			targetOffset: parts.readTargetOffset(ledger.target().targetId),
			targetEra: parts.readTargetEra?.(ledger.target().targetId),
			standing,
			usualDurationMs: durations.ofRoute(request.routeId),
		};
	};

	/** Whether any target that is neither set aside nor paused has a free slot. */
	const hasAnyFreeSlot = (): boolean =>
		listReadyLedgers().some(
			ledger => hasFreeSlot(ledger) && !STANDINGS_WITHOUT_GRANTS.has(ledger.standingFor(NO_NODE_ID)),
		);

	const hasReachableTarget = (nodeId: string): boolean =>
		listReadyLedgers().some(ledger => ledger.standingFor(nodeId) !== GrantStanding.PathLost);

	const grantWaitingCalls = (): void => {
		waitingCallsCheckedAtMs = clock.monotonicMs();
		const calls = waitingCalls.list();
		const isLastResortWaiting = calls.some(({request}) => request.isLastResort);
		if (calls.length === 0 || !(hasAnyFreeSlot() || isLastResortWaiting)) {
			return;
		}

		calls.forEach(call => {
			const grant = tryGrant(call.request);
			if (grant) {
				call.resolve(grant);
			}
		});
	};

	/** Runs at most one check per interval for all waiting calls together, so that its cost is linear in their number. */
	const grantWaitingCallsIfDue = (): void => {
		if (clock.monotonicMs() - waitingCallsCheckedAtMs >= WAITING_CALLS_CHECK_MS) {
			grantWaitingCalls();
		}
	};

	const deny = (refusal: ports.GrantRefusal, predictedWaitMs: number): ports.GrantDenial => ({
		isGranted: false,
		refusal,
		predictedWaitMs: Math.round(predictedWaitMs),
	});

	/** Expected wait of a call of this priority, from the number of calls ahead of it and their mean duration, in ms. */
	const predictWaitMs = (priority: number): number => {
		const ready = listReadyLedgers();
		const sound = ready.filter(ledger => ledger.standingFor(NO_NODE_ID) === GrantStanding.Sound);
		const slotCount = sound.reduce((sum, ledger) => sum + ledger.slotCount(), 0);
		const durationMs = durations.overall() ?? DEFAULT_DURATION_MS;
		// Calls wait for a pause to end only if all targets have asked for one.
		const shortestPauseMs = ready.length === 0 ? 0 : Math.min(...ready.map(ledger => ledger.pauseLeftMs()));
		return shortestPauseMs + (durationMs * (waitingCalls.countBefore(priority) + 1)) / Math.max(1, slotCount);
	};

	/** Leaving targets of which a requesting node has not been told. Pauses are short, and this dispatcher sees to them. */
	const tellLeavingTargets = (nodeId: string): readonly ports.TargetNotice[] => {
		const {targetNotices, markTold} = toldNotices.listUntold(nodeId, parts.listTargets());
		markTold();
		return targetNotices.filter(({isLeaving}) => isLeaving);
	};

	const recordNotices = ({
		targetNotices,
		nodeId,
	}: Pick<ports.AcquireGrantRequest, 'targetNotices' | 'nodeId'>): void => {
		targetNotices.forEach(notice => {
			notices.record(notice, nodeId);
		});
	};

	/** Denial for a call that must be refused even if a target is free; undefined when it may be granted. */
	const checkAdmission = (request: ports.AcquireGrantRequest): ports.GrantDenial | undefined => {
		if (request.remainingMs < (durations.ofRoute(request.routeId) ?? 0) * MIN_REMAINING_TIME_RATIO) {
			return deny(ports.GrantRefusal.TooLate, 0);
		}

		return isWithinBudget(request) ? undefined : deny(ports.GrantRefusal.NoBudget, 0);
	};

	const waitForGrant = async (
		request: ports.AcquireGrantRequest,
		signal: AbortSignal,
	): Promise<ports.Grant | undefined> => {
		const deadlineMs = clock.monotonicMs() + request.waitLimitMs;
		const controller = new AbortController();
		const outcome: {grant?: ports.Grant} = {};
		const call: WaitingCall = {
			request,
			arrivalNumber: sequenceNumber++,
			resolve(granted) {
				outcome.grant = granted;
				waitingCalls.remove(call);
				controller.abort(STOP_REASON);
			},
		};
		const stop = (): void => {
			controller.abort(STOP_REASON);
		};

		signal.addEventListener('abort', stop, {once: true});
		waitingCalls.add(call);
		while (!outcome.grant && !signal.aborted && clock.monotonicMs() < deadlineMs) {
			await clock.sleep(Math.min(WAITING_CALLS_CHECK_MS, deadlineMs - clock.monotonicMs()), controller.signal);
			grantWaitingCallsIfDue();
		}

		waitingCalls.remove(call);
		signal.removeEventListener('abort', stop);
		return outcome.grant;
	};

	const countStandings = (): ReadonlyMap<GrantStanding, number> => {
		const counts = new Map<GrantStanding, number>();
		listReadyLedgers().forEach(ledger => {
			const standing = ledger.standingFor(NO_NODE_ID);
			counts.set(standing, (counts.get(standing) ?? 0) + 1);
		});
		return counts;
	};

	const acquire = async (request: ports.AcquireGrantRequest, signal: AbortSignal): Promise<ports.AcquireGrantReply> => {
		recordNotices(request);
		if (request.repeatability === domain.Repeatability.Repeatable) {
			lastRepeatableAtMs = clock.monotonicMs();
		}

		if (request.isNewCall) {
			budget.recordCall();
		}

		const denial = checkAdmission(request);
		if (denial) {
			return denial;
		}

		// Calls that are already waiting take precedence.
		grantWaitingCalls();
		const grant = tryGrant(request);
		if (grant) {
			return grant;
		}

		const predictedWaitMs = predictWaitMs(request.priority);
		if (!hasReachableTarget(request.nodeId)) {
			return deny(ports.GrantRefusal.NoTarget, predictedWaitMs);
		}

		if (predictedWaitMs > request.waitLimitMs) {
			return deny(ports.GrantRefusal.Busy, predictedWaitMs);
		}

		const awaited = await waitForGrant(request, signal);
		return awaited ?? deny(ports.GrantRefusal.Busy, predictWaitMs(request.priority));
	};

	/** Records metrics of a decision, including the time that the call waited for it. */
	const recordDecision = (
		{service}: ports.AcquireGrantRequest,
		reply: ports.AcquireGrantReply,
		waitMs: number,
	): void => {
		const result = reply.isGranted ? reply.standing : reply.refusal;
		metrics.increment(ports.CounterName.Grants, {service, result});
		metrics.observe(ports.HistogramName.QueueSeconds, {}, waitMs / MS_PER_SECOND);
		const verdictAgeMs = reply.isGranted ? ledgers.get(reply.target.targetId)?.verdictAgeMs() : undefined;
		if (verdictAgeMs !== undefined) {
			metrics.observe(ports.HistogramName.VerdictAgeSeconds, {}, verdictAgeMs / MS_PER_SECOND);
		}
	};

	const logSetAside = (request: ports.ReportResultRequest): void => {
		metrics.increment(ports.CounterName.Ejections, {service: request.service, reason: request.result});
		logger.info('target set aside', {
			event: ports.LogEvent.TargetSetAside,
			groupId,
			targetId: request.targetId,
			grantId: request.grantId,
			result: request.result,
			reporter: request.nodeId,
			usualFailureRatio: Number(failureRatio.read().toFixed(4)),
			usualPhaseMs: Math.round(phases.usualMs()),
			standings: Object.fromEntries(countStandings()),
			waitingCount: waitingCalls.list().length,
		});
	};

	return {
		async acquire(request, signal) {
			const requestedAtMs = clock.monotonicMs();
			const reply = await acquire(request, signal);
			recordDecision(request, reply, clock.monotonicMs() - requestedAtMs);
			if (!reply.isGranted) {
				unservedRatio.record(false);
			}

			// Every node that uses the group knows its notices, and tells them to the next dispatcher.
			const targetNotices = tellLeavingTargets(request.nodeId);
			return targetNotices.length === 0 ? reply : {...reply, targetNotices};
		},
		report(request) {
			recordNotices(request);
			const ledger = ledgers.get(request.targetId);
			const graySinceMs = ledger?.graySinceMs();
			const closed = ledger?.close(request);
			// Calls sent only to meet the floor are left out: their failures at gray targets would keep the floor enforced.
			if (request.result !== ports.GrantResult.Cancelled && !closed?.isForFloor) {
				unservedRatio.record(request.result === ports.GrantResult.Success);
			}

			if (closed?.isSetAside) {
				logSetAside(request);
			}

			if (graySinceMs !== undefined && ledger?.graySinceMs() === undefined) {
				const grayMs = Math.round(clock.monotonicMs() - graySinceMs);
				const {targetId, grantId} = request;
				logger.info('target passed its trial', {
					event: ports.LogEvent.TargetReturned,
					groupId,
					targetId,
					grantId,
					grayMs,
				});
			}

			grantWaitingCalls();
		},
		countStandings,
	};
};
