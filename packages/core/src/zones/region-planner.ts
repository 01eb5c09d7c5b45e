import * as ports from '../ports/index.js';
import {createRecentMap} from '../shared/recent-map.js';
import {computeCallLossMs, computeLatestStartMs, findLongestStartMs, isInTime, type CallTimes} from './call-loss.js';
import {createLinkBudget} from './link-budget.js';
import {createRegionOutlook, HoldReason, type HeldReason, type RegionOutlook} from './region-outlook.js';
import {
	StayReason,
	type AwayDecision,
	type AwayReply,
	type OwnVerdict,
	type PlannedCall,
	type RegionView,
} from './region-plan.js';
import {createRouteKnowledge, type RouteKnowledge} from './route-knowledge.js';
import {createShareBound} from './share-bound.js';
import {createSpillTracker} from './spill-tracker.js';
import type {ZoneOptions} from './zone-options.js';

/** Decides when calls of this node wait in their own region and when they ask another one. */
export type RegionPlanner = {
	readonly routes: RouteKnowledge;
	/** The other regions, the one with the smallest expected loss first. */
	sortRegions(service: string, regions: readonly string[]): readonly string[];
	/** How long a call may wait in its own region before leaving it pays, in ms. */
	planOwnWaitMs(call: PlannedCall, otherRegions: readonly string[]): number;
	/** Whether a call asks another region; `own` is undefined if the own region has no such group. */
	decideAway(call: PlannedCall, region: string, own: OwnVerdict | undefined): AwayDecision;
	/** How long the call may wait in its own region after no other region has granted a target, in ms. */
	planLastWaitMs(call: PlannedCall): number;
	/** What this node knows of a group in another region. */
	viewRegion(call: PlannedCall, region: string): RegionView;
	/** Time until a region that has refused may serve a call, in ms; undefined if it is lost. */
	predictAwayWaitMs(service: string, region: string): number | undefined;
	recordRequest(service: string, region: string): void;
	recordReply(service: string, region: string, result: AwayReply): void;
	/** Records in which region a call got its target. */
	recordGrant(service: string, region: string): void;
	/** Records that a target of another region has answered, and how much later than its dispatcher's mean duration. */
	recordAnswer(service: string, region: string, excessMs: number): void;
	/** Expected bytes of the bodies of a call and its answer. */
	expectBodyBytes(call: Pick<PlannedCall, 'routeId' | 'bodyBytes'>): number;
	/** Bytes that cross between regions if the call is served in another one. */
	expectBytes(call: Pick<PlannedCall, 'routeId' | 'bodyBytes'>): number;
};

export type RegionPlannerParts = {
	readonly ownRegion: string;
	readonly options: ZoneOptions;
	readonly clock: Pick<ports.Clock, 'monotonicMs'>;
	readonly random: ports.Random;
	readonly logger: ports.Logger;
	/** Number of nodes of this node's region. */
	readonly countNodes: () => number;
};

/** Minimum wait in a region: twice the round trip between regions. */
const MIN_REGION_WAIT_MS = 80;

/**
 * Longest wait of a call's first request. A dispatcher that has stopped is noticed only after the wait, and the call must still be in
 * time at its successor. Later requests may ask for more, since the dispatcher has just answered.
 */
const FIRST_WAIT_LIMIT_MS = 500;

/** Part of the time to the objective that a call waits when nothing more is known, or there is no other region. */
const REGION_WAIT_RATIO = 0.2;

/** Fraction of its remaining time that a bulk call waits for a slot in its own region; the rest is for the work. */
const BULK_WAIT_RATIO = 0.4;

/** Estimate of the bytes of request, reply and report between nodes, and of the heads of the call and its answer. */
export const MESSAGE_BYTES = 3000;

const BYTES_PER_KB = 1000;

/** Groups in other regions whose state is kept. */
const OUTLOOK_LIMIT_COUNT = 2048;

/** Share of the calls that leave from which the region counts as short of slots for long, and the part of the price that remains. */
const SHORTAGE_SHARE = 0.25;
const MIN_PRICE_FACTOR = 0.2;

/** Shares of a service's calls at which sending to other regions begins and ends. */
const SPILL_RANGE = {beginShare: 0.05, endShare: 0.01};

const HOLD_REASONS: Record<ports.GrantRefusal, HeldReason> = {
	[ports.GrantRefusal.Busy]: HoldReason.Full,
	[ports.GrantRefusal.TooLate]: HoldReason.Full,
	[ports.GrantRefusal.NoTarget]: HoldReason.NoTarget,
	[ports.GrantRefusal.NoBudget]: HoldReason.NoBudget,
};

export const createRegionPlanner = (parts: RegionPlannerParts): RegionPlanner => {
	const {options, clock, logger} = parts;
	const outlooks = createRecentMap<string, RegionOutlook>(OUTLOOK_LIMIT_COUNT);
	const routes = createRouteKnowledge();
	const linkBudget = createLinkBudget(parts);
	const spill = createSpillTracker(SPILL_RANGE);
	const shareBound = createShareBound(parts);

	const outlookOf = (service: string, region: string): RegionOutlook => {
		const key = `${service}@${region}`;
		const existing = outlooks.get(key);
		if (existing) {
			return existing;
		}

		const outlook = createRegionOutlook(parts);
		outlooks.set(key, outlook);
		return outlook;
	};

	const readTimes = ({routeId, objectiveLeftMs, remainingMs}: PlannedCall): CallTimes => ({
		objectiveLeftMs,
		remainingMs,
		workMs: routes.workMs(routeId),
	});

	const computeStartMs = (outlook: RegionOutlook): number => outlook.crossingMs() + outlook.waitMs();

	const expectBodyBytes: RegionPlanner['expectBodyBytes'] = ({routeId, bodyBytes = 0}) =>
		bodyBytes + routes.answerBytes(routeId);

	const expectBytes: RegionPlanner['expectBytes'] = call => MESSAGE_BYTES + expectBodyBytes(call);

	/**
	 * Part of the price that counts. While a region is short of slots for long, the same share of its calls must leave however long
	 * each of them waits first, so that waiting saves no bytes.
	 */
	const readPriceFactor = (service: string): number =>
		Math.max(MIN_PRICE_FACTOR, 1 - spill.awayShare(service, clock.monotonicMs()) / SHORTAGE_SHARE);

	/** Loss of a call that leaves its region now, in ms. */
	const computeAwayLossMs = (call: PlannedCall, outlook: RegionOutlook): number =>
		computeCallLossMs(computeStartMs(outlook), readTimes(call), options) +
		(expectBytes(call) / BYTES_PER_KB) * options.regionPriceMsPerKb * readPriceFactor(call.service);

	const planShortWaitMs = ({objectiveLeftMs}: PlannedCall): number =>
		Math.max(MIN_REGION_WAIT_MS, objectiveLeftMs * REGION_WAIT_RATIO);

	const planLastWaitMs = (call: PlannedCall): number =>
		Math.max(planShortWaitMs(call), computeLatestStartMs(readTimes(call)));

	/** Whether the call gets a slot in its own region if it stays. */
	const isServedByOwn = (call: PlannedCall, own: OwnVerdict | undefined): boolean =>
		own?.refusal === ports.GrantRefusal.Busy && own.waitMs <= planLastWaitMs(call);

	/** Logs when a service begins or ends to send calls to other regions. */
	const trackSpill = (service: string, region: string, isAway: boolean): void => {
		const change = spill.record(service, isAway, clock.monotonicMs());
		if (change) {
			logger.info(change.isSending ? 'calls are sent to another region' : 'calls stay in their region again', {
				event: change.isSending ? ports.LogEvent.SpillStarted : ports.LogEvent.SpillEnded,
				service,
				from: parts.ownRegion,
				...(change.isSending && {to: region}),
				awayShare: Number(change.awayShare.toFixed(3)),
			});
		}
	};

	return {
		routes,
		expectBytes,
		expectBodyBytes,
		planLastWaitMs,
		sortRegions(service, regions) {
			return regions.toSorted((left, right) => {
				const [leftMs, rightMs] = [left, right].map(region => {
					const outlook = outlookOf(service, region);
					return outlook.isLost() ? Number.MAX_VALUE : computeStartMs(outlook);
				});
				return leftMs! - rightMs!;
			});
		},
		planOwnWaitMs(call, otherRegions) {
			const shortWaitMs = planShortWaitMs(call);
			if (call.isBulk) {
				return Math.max(shortWaitMs, call.remainingMs * BULK_WAIT_RATIO);
			}

			if (otherRegions.length === 0) {
				return shortWaitMs;
			}

			const open = otherRegions
				.map(region => outlookOf(call.service, region))
				.filter(outlook => outlook.readHold(call.attemptIndex, false) === undefined);
			if (open.length === 0 || !linkBudget.allows(false) || !shareBound.isLeft()) {
				return Math.max(shortWaitMs, Math.min(FIRST_WAIT_LIMIT_MS, planLastWaitMs(call)));
			}

			const times = readTimes(call);
			const awayLossMs = Math.min(...open.map(outlook => computeAwayLossMs(call, outlook)));
			const factor = spill.isSending(call.service) ? 1 : options.beginFactor;
			// After a longer wait than this, the call would miss its objective in the other region too.
			const latestLeaveMs = computeLatestStartMs(times) - Math.min(...open.map(outlook => outlook.crossingMs()));
			const limitMs = Math.max(MIN_REGION_WAIT_MS, Math.min(FIRST_WAIT_LIMIT_MS, latestLeaveMs));
			return Math.max(MIN_REGION_WAIT_MS, findLongestStartMs(awayLossMs * factor, limitMs, times, options));
		},
		decideAway(call, region, own) {
			const outlook = outlookOf(call.service, region);
			const times = readTimes(call);
			const isNeeded = !isServedByOwn(call, own);
			const stay = (reason: StayReason): AwayDecision => ({isAsked: false, reason});
			if (call.isBulk && own !== undefined && own.refusal !== ports.GrantRefusal.NoTarget) {
				// A large body occupies the link between regions for as long as ten small calls.
				return stay(StayReason.Bulk);
			}

			const hasNoTarget = own === undefined || own.refusal === ports.GrantRefusal.NoTarget;
			if (outlook.readHold(call.attemptIndex, hasNoTarget)) {
				return stay(StayReason.Held);
			}

			// A call without any target in its own region has nothing better to do than to try.
			if (!hasNoTarget && !isInTime(computeStartMs(outlook), times)) {
				return stay(StayReason.TooLate);
			}

			if (!linkBudget.allows(isNeeded)) {
				return stay(StayReason.LinkFull);
			}

			if (!isNeeded && !shareBound.isLeft()) {
				return stay(StayReason.ShareUsed);
			}

			if (!isNeeded && computeCallLossMs(own?.waitMs ?? 0, times, options) <= computeAwayLossMs(call, outlook)) {
				return stay(StayReason.StayingPays);
			}

			const latestMs = call.remainingMs - outlook.crossingMs() - times.workMs;
			const shortWaitMs = planShortWaitMs(call);
			const wantedMs = isNeeded ? Math.max(shortWaitMs, planLastWaitMs(call) - outlook.crossingMs()) : shortWaitMs;
			return {isAsked: true, waitLimitMs: Math.max(0, Math.min(wantedMs, latestMs))};
		},
		viewRegion(call, region) {
			const outlook = outlookOf(call.service, region);
			const hold = outlook.readHold(call.attemptIndex, false);
			return {crossingMs: Math.round(outlook.crossingMs()), waitMs: Math.round(outlook.waitMs()), hold};
		},
		predictAwayWaitMs(service, region) {
			const outlook = outlookOf(service, region);
			return outlook.isLost() ? undefined : computeStartMs(outlook);
		},
		recordRequest(service, region) {
			outlookOf(service, region).recordRequest();
		},
		recordReply(service, region, {reply, elapsedMs, waitLimitMs, expectedBytes}) {
			const outlook = outlookOf(service, region);
			if (!reply) {
				outlook.recordLoss();
				return;
			}

			if (reply.isGranted) {
				outlook.recordGrant(elapsedMs, Math.max(0, elapsedMs - outlook.roundTripMs()));
				linkBudget.charge(expectedBytes);
				return;
			}

			// A dispatcher lets a call wait only if the predicted wait is within the limit.
			const hasWaited = reply.refusal === ports.GrantRefusal.Busy && reply.predictedWaitMs <= waitLimitMs;
			const roundTripMs = Math.max(0, elapsedMs - (hasWaited ? waitLimitMs : 0));
			linkBudget.charge(MESSAGE_BYTES);
			// A refusal that is due to the little time of the call says nothing of other calls.
			const isOnlyLate =
				HOLD_REASONS[reply.refusal] === HoldReason.Full && !hasWaited && reply.predictedWaitMs < MIN_REGION_WAIT_MS;
			const reason = isOnlyLate ? undefined : HOLD_REASONS[reply.refusal];
			outlook.recordDenial(reason, roundTripMs, reply.predictedWaitMs);
		},
		recordGrant(service, region) {
			const isAway = region !== parts.ownRegion;
			shareBound.record(isAway);
			trackSpill(service, region, isAway);
		},
		recordAnswer(service, region, excessMs) {
			const outlook = outlookOf(service, region);
			outlook.recordExcess(excessMs);
			if (outlook.isLost()) {
				outlook.recordGrant(outlook.roundTripMs(), 0);
			}
		},
	};
};
