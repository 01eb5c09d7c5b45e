import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {STOP_REASON} from '../shared/stop-reason.js';
import type {DispatcherOptions} from './dispatcher-options.js';
import {createFleetRetryBudget} from './fleet-retry-budget.js';
import {createGrayPhases} from './gray-phases.js';
import {createLedgerTable} from './ledger-table.js';
import {hasRoom, pickTarget} from './pick-target.js';
import {createTargetLedger, GrantStanding} from './target-ledger.js';
import {createUnservedRatio} from './unserved-ratio.js';
import {createUsualDurations} from './usual-durations.js';
import {createUsualFailureRatio} from './usual-failure-ratio.js';
import {createWaitingCalls, type WaitingCall} from './waiting-calls.js';

/** How often a waiting call looks again, since absences and rests end without an event. */
const WAIT_TURN_MS = 100;

/** Share of the usual duration that must be left for a call to be worth starting. */
const WORTHWHILE_RATIO = 0.5;

/** A group that had repeatable work within this time will have some for a trial. */
const REPEATABLE_MEMORY_MS = 1000;

/** Duration assumed before any call has ended, in ms. */
const UNKNOWN_DURATION_MS = 250;

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
	/** Targets of the group as they are registered now. */
	readonly listTargets: () => readonly domain.RegisteredTarget[];
};

/** A node id that no path was lost from, for looking at a target as such. */
const ANY_NODE = '';

export const createGroupDispatcher = (parts: GroupDispatcherParts): GroupDispatcher => {
	const {options, clock, logger, metrics, groupId} = parts;
	const failureRatio = createUsualFailureRatio();
	const durations = createUsualDurations();
	const waiting = createWaitingCalls();
	const phases = createGrayPhases(options);
	const budget = createFleetRetryBudget(options, clock);
	const unservedRatio = createUnservedRatio(clock);
	let order = 0;
	let servedWaitingAtMs = -WAIT_TURN_MS;
	let lastRepeatableAtMs = -REPEATABLE_MEMORY_MS;

	const readTrialWork = (): domain.Repeatability =>
		clock.monotonicMs() - lastRepeatableAtMs < REPEATABLE_MEMORY_MS
			? domain.Repeatability.Repeatable
			: domain.Repeatability.Single;

	const ledgers = createLedgerTable({
		listTargets: parts.listTargets,
		createLedger: target =>
			createTargetLedger(target, {options, clock, failureRatio, durations, phases, readTrialWork}),
	});
	const listLedgers = ledgers.listReady;

	const isWithinBudget = ({attemptIndex}: ports.AcquireGrantRequest): boolean =>
		attemptIndex === 0 || budget.hasRetry();

	/** Grants a target at once, if there is one. Retries that wait are charged here, since others may have used the budget up. */
	const tryGrant = (request: ports.AcquireGrantRequest): ports.Grant | undefined => {
		if (!isWithinBudget(request)) {
			return undefined;
		}

		const pick = pickTarget(request, {
			ledgers: listLedgers(),
			options,
			random: parts.random,
			isTroubled: unservedRatio.read() >= options.floorUnservedRatio,
			hasRetry: budget.hasRetry,
		});
		if (!pick) {
			return undefined;
		}

		const {ledger, isForFloor} = pick;

		const grantId = `${request.requestId}.${request.attemptIndex}.${order++}`;
		const standing = ledger.standingFor(request.nodeId);
		if (request.attemptIndex > 0) {
			budget.takeRetry();
		}

		ledger.open(grantId, request, {ttlMs: request.remainingMs + options.grantSlackMs, isForFloor});
		return {
			isGranted: true,
			grantId,
			target: ledger.target(),
			standing,
			usualDurationMs: durations.ofRoute(request.routeId),
		};
	};

	/** Whether any target could be given a call, whatever the call. */
	const hasAnyRoom = (): boolean =>
		listLedgers().some(ledger => hasRoom(ledger) && ledger.standingFor(ANY_NODE) !== GrantStanding.SetAside);

	const hasReachableTarget = (nodeId: string): boolean =>
		listLedgers().some(ledger => ledger.standingFor(nodeId) !== GrantStanding.PathLost);

	const serveWaiting = (): void => {
		servedWaitingAtMs = clock.monotonicMs();
		const calls = waiting.list();
		const isLastResortWaiting = calls.some(({request}) => request.isLastResort);
		if (calls.length === 0 || !(hasAnyRoom() || isLastResortWaiting)) {
			return;
		}

		calls.forEach(call => {
			const grant = tryGrant(call.request);
			if (grant) {
				call.offer(grant);
			}
		});
	};

	/** All waiting calls share a turn, so that the work of a turn grows with their number and not with its square. */
	const takeWaitTurn = (): void => {
		if (clock.monotonicMs() - servedWaitingAtMs >= WAIT_TURN_MS) {
			serveWaiting();
		}
	};

	const deny = (refusal: ports.GrantRefusal, predictedWaitMs: number): ports.GrantDenial => ({
		isGranted: false,
		refusal,
		predictedWaitMs: Math.round(predictedWaitMs),
	});

	/** Time until a call of the rank gets a slot, from the calls before it and the usual duration, in ms. */
	const predictWaitMs = (priority: number): number => {
		const sound = listLedgers().filter(ledger => ledger.standingFor(ANY_NODE) === GrantStanding.Sound);
		const slotCount = sound.reduce((sum, ledger) => sum + ledger.slotCount(), 0);
		const durationMs = durations.overall() ?? UNKNOWN_DURATION_MS;
		return (durationMs * (waiting.countBefore(priority) + 1)) / Math.max(1, slotCount);
	};

	/** Refusal of a call that must not be served, whatever is free. */
	const checkAdmission = (request: ports.AcquireGrantRequest): ports.GrantDenial | undefined => {
		if (request.remainingMs < (durations.ofRoute(request.routeId) ?? 0) * WORTHWHILE_RATIO) {
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
			order: order++,
			offer(offered) {
				outcome.grant = offered;
				waiting.remove(call);
				controller.abort(STOP_REASON);
			},
		};
		const stop = (): void => {
			controller.abort(STOP_REASON);
		};

		signal.addEventListener('abort', stop, {once: true});
		waiting.add(call);
		while (!outcome.grant && !signal.aborted && clock.monotonicMs() < deadlineMs) {
			await clock.sleep(Math.min(WAIT_TURN_MS, deadlineMs - clock.monotonicMs()), controller.signal);
			takeWaitTurn();
		}

		waiting.remove(call);
		signal.removeEventListener('abort', stop);
		return outcome.grant;
	};

	const countStandings = (): ReadonlyMap<GrantStanding, number> => {
		const counts = new Map<GrantStanding, number>();
		listLedgers().forEach(ledger => {
			const standing = ledger.standingFor(ANY_NODE);
			counts.set(standing, (counts.get(standing) ?? 0) + 1);
		});
		return counts;
	};

	const acquire = async (request: ports.AcquireGrantRequest, signal: AbortSignal): Promise<ports.AcquireGrantReply> => {
		if (request.repeatability === domain.Repeatability.Repeatable) {
			lastRepeatableAtMs = clock.monotonicMs();
		}

		if (request.isNewCall) {
			budget.recordCall();
		}

		const refused = checkAdmission(request);
		if (refused) {
			return refused;
		}

		// Calls that already wait go first.
		serveWaiting();
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

	/** Counts a decision; the wait is that of calls which were not refused at once. */
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
			waitingCount: waiting.list().length,
		});
	};

	return {
		async acquire(request, signal) {
			const askedAtMs = clock.monotonicMs();
			const reply = await acquire(request, signal);
			recordDecision(request, reply, clock.monotonicMs() - askedAtMs);
			if (!reply.isGranted) {
				unservedRatio.record(false);
			}

			return reply;
		},
		report(request) {
			const ledger = ledgers.get(request.targetId);
			const graySinceMs = ledger?.graySinceMs();
			const closed = ledger?.close(request);
			// Calls that gray targets got for the floor would keep it in force by their failures.
			if (request.result !== ports.GrantResult.Cancelled && !closed?.isForFloor) {
				unservedRatio.record(request.result === ports.GrantResult.Success);
			}

			if (closed?.isSetAside) {
				logSetAside(request);
			}

			if (graySinceMs !== undefined && ledger?.graySinceMs() === undefined) {
				const grayMs = Math.round(clock.monotonicMs() - graySinceMs);
				const {targetId, grantId} = request;
				logger.info('target returned', {event: ports.LogEvent.TargetReturned, groupId, targetId, grantId, grayMs});
			}

			serveWaiting();
		},
		countStandings,
	};
};
