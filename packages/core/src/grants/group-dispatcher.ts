import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {computeLatestStartMs} from '../zones/call-loss.js';
import {createGroupZones} from '../zones/group-zones.js';
import {DEFAULT_ZONE_OPTIONS, type ZoneOptions} from '../zones/zone-options.js';
import {createDecisionClock} from './decision-clock.js';
import {deny} from './deny.js';
import type {DispatcherOptions} from './dispatcher-options.js';
import {createDispatcherRecords} from './dispatcher-records.js';
import {explainTargets, type GroupExplanation} from './explain-targets.js';
import {createFleetRetryBudget} from './fleet-retry-budget.js';
import {createGrayPhaseEstimator} from './gray-phase-estimator.js';
import {createLedgerTable} from './ledger-table.js';
import {pickTarget} from './pick-target.js';
import {createReturningCalls} from './returning-calls.js';
import {createTargetIndex} from './target-index.js';
import {createTargetLedger, GrantStanding} from './target-ledger.js';
import type {TargetNotices} from './target-notices.js';
import {createToldNotices} from './told-notices.js';
import {createUnservedRatio} from './unserved-ratio.js';
import {createUsualDurations} from './usual-durations.js';
import {createUsualFailureRatio} from './usual-failure-ratio.js';
import {createWaitingRoom} from './waiting-room.js';

/** A call is refused when less than this fraction of its route's mean duration remains before its deadline. */
const MIN_REMAINING_TIME_RATIO = 0.5;

/** Trials are expected to get repeatable calls when the group received one within this time. */
const REPEATABLE_WORK_WINDOW_MS = 1000;

/** Mean duration assumed until the group's first successful call. */
const DEFAULT_DURATION_MS = 250;

/** Grants slots of one group's targets. */
export type GroupDispatcher = {
	acquire(request: ports.AcquireGrantRequest, signal: AbortSignal): Promise<ports.AcquireGrantReply>;
	report(request: ports.ReportResultRequest): void;
	/** Targets by standing, for metrics. */
	countStandings(): ReadonlyMap<GrantStanding, number>;
	/** What a request would meet now. */
	explain(request: ports.AcquireGrantRequest): GroupExplanation;
};

export type GroupDispatcherParts = {
	readonly groupId: string;
	readonly options: DispatcherOptions;
	/** Decisions between zones; the defaults if absent. */
	readonly zoneOptions?: ZoneOptions;
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

export const createGroupDispatcher = (parts: GroupDispatcherParts): GroupDispatcher => {
	const {options, clock, notices, random} = parts;
	const decisionClock = createDecisionClock(clock);
	const failureRatio = createUsualFailureRatio();
	const durations = createUsualDurations();
	const phases = createGrayPhaseEstimator(options);
	const budget = createFleetRetryBudget(options, clock);
	const unservedRatio = createUnservedRatio(clock);
	const toldNotices = createToldNotices(notices, TOLD_NODE_LIMIT_COUNT);
	const records = createDispatcherRecords(parts);
	const zones = createGroupZones({...parts, options: parts.zoneOptions ?? DEFAULT_ZONE_OPTIONS});
	/** Makes grant ids unique. */
	let sequenceNumber = 0;
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
				zones,
				readTrialRepeatability,
			}),
	});
	const index = createTargetIndex({clock: decisionClock, random, listReady: ledgers.listReady});

	/** Grants a target immediately if one is available, and charges the retry budget. */
	const tryGrant = (request: ports.AcquireGrantRequest): ports.Grant | undefined => {
		const pick = decisionClock.decide(() =>
			pickTarget(request, {
				index,
				options,
				random,
				isFloorEnforced: unservedRatio.read() >= options.floorUnservedRatio,
				hasRetry: budget.hasRetry,
				listPermitted: zones.listPermitted,
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
		index.update(ledger);
		const grant: ports.Grant = {
			isGranted: true,
			grantId,
			target: ledger.target(),
			targetOffset: parts.readTargetOffset(ledger.target().targetId),
			targetEra: parts.readTargetEra?.(ledger.target().targetId),
			standing,
			usualDurationMs: durations.ofRoute(request.routeId),
		};
		zones.recordGrant(request, grant, ledger.openCount() / ledger.slotCount());
		return grant;
	};

	const overallDurationMs = (): number => durations.overall() ?? DEFAULT_DURATION_MS;

	/** Time until the first pause ends if all targets pause; calls wait for that only then. */
	const shortestPauseMs = (): number =>
		Math.min(...(index.isPaused() ? ledgers.listReady().map(ledger => ledger.pauseLeftMs()) : [0]));

	const readSlotCount = (): number => index.soundLoad({excludedTargetIds: []}).slotCount;

	const room = createWaitingRoom({
		clock,
		budget,
		usualDurationMs: routeId => durations.ofRoute(routeId) ?? overallDurationMs(),
		tryGrant,
		hasRoom: index.hasRoom,
		readSlotCount,
		shortestPauseMs,
		overallDurationMs,
		recordCount: records.recordWaitingCount,
	});

	const returningCalls = createReturningCalls({
		clock,
		usualDurationMs: room.workMs,
		slotCount: readSlotCount,
	});

	const hasReachableTarget = (nodeId: string): boolean =>
		ledgers.listReady().some(ledger => ledger.standingFor(nodeId) !== GrantStanding.PathLost);

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

		const isWithinBudget = request.attemptIndex === 0 || budget.hasRetry();
		return isWithinBudget ? undefined : deny(ports.GrantRefusal.NoBudget, 0);
	};

	const acquire = async (request: ports.AcquireGrantRequest, signal: AbortSignal): Promise<ports.AcquireGrantReply> => {
		recordNotices(request);
		zones.recordDemand(request);
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
		room.serve();
		const grant = tryGrant(request);
		if (grant) {
			room.recordGrant(request);
			return grant;
		}

		const {waitMs: predictedWaitMs, overtakenWaitMs} = room.predict(request);
		const workMs = room.workMs(request);
		const startLeftMs = request.remainingMs - workMs;
		if (!hasReachableTarget(request.nodeId)) {
			return deny(ports.GrantRefusal.NoTarget, predictedWaitMs);
		}

		if (startLeftMs < 0) {
			return deny(ports.GrantRefusal.TooLate, predictedWaitMs);
		}

		if (predictedWaitMs > Math.min(request.waitLimitMs, startLeftMs)) {
			return deny(ports.GrantRefusal.Busy, predictedWaitMs);
		}

		const usefulWaitMs = Math.max(request.waitLimitMs, computeLatestStartMs({...request, workMs}));
		if (overtakenWaitMs > usefulWaitMs) {
			return deny(ports.GrantRefusal.Busy, overtakenWaitMs);
		}

		const awaited = await room.wait(request, signal);
		return awaited ?? deny(ports.GrantRefusal.Busy, room.predict(request).waitMs);
	};

	return {
		async acquire(given, signal) {
			const request = returningCalls.restoreObjective(given);
			const requestedAtMs = clock.monotonicMs();
			const decision = await acquire(request, signal);
			const reply = decision.isGranted ? decision : returningCalls.addReturnTime(request, decision);
			records.recordDecision(request, reply, {
				waitMs: clock.monotonicMs() - requestedAtMs,
				verdictAgeMs: reply.isGranted ? ledgers.get(reply.target.targetId)?.verdictAgeMs() : undefined,
			});
			if (!reply.isGranted) {
				unservedRatio.record(false);
			}

			// Every node that uses the group knows its notices, and tells them to the next dispatcher.
			const targetNotices = tellLeavingTargets(request.nodeId);
			return targetNotices.length === 0 ? reply : {...reply, targetNotices};
		},
		report(request) {
			recordNotices(request);
			zones.recordResult(request);
			const ledger = ledgers.get(request.targetId);
			const graySinceMs = ledger?.graySinceMs();
			const closed = ledger?.close(request);
			if (ledger) {
				index.update(ledger);
			}

			// Calls sent only to meet the floor are left out: their failures at gray targets would keep the floor enforced.
			if (request.result !== ports.GrantResult.Cancelled && !closed?.isForFloor) {
				unservedRatio.record(request.result === ports.GrantResult.Success);
			}

			if (closed?.isSetAside) {
				records.recordSetAside(request, {
					usualFailureRatio: failureRatio.read(),
					usualPhaseMs: phases.usualMs(),
					standings: index.countStandings(),
					waitingCount: room.count(),
				});
			}

			if (graySinceMs !== undefined && ledger?.graySinceMs() === undefined) {
				records.recordReturn(request, clock.monotonicMs() - graySinceMs);
			}

			room.serve();
		},
		countStandings: index.countStandings,
		explain: request => ({
			predictedWaitMs: Math.round(room.predict(request).waitMs),
			waitingCount: room.count(),
			targets: explainTargets(request, ledgers.listReady(), {...zones, ...index}),
		}),
	};
};
