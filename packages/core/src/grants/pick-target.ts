import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import type {GroupZones} from '../zones/group-zones.js';
import type {DispatcherOptions} from './dispatcher-options.js';
import {pickUnusedTarget} from './pick-unused-target.js';
import {TargetPool} from './target-entry.js';
import type {TargetIndex} from './target-index.js';
import type {GrantRequester, TargetLedger} from './target-ledger.js';

/** Range of the random cost that breaks ties between targets. */
const COST_JITTER = 0.05;

export type TargetPickInput = {
	/** Targets that are registered and ready. */
	readonly index: TargetIndex;
	readonly options: Pick<DispatcherOptions, 'trialOccupancyRatio' | 'floorRatio'>;
	readonly random: ports.Random;
	/** Whether the floor is enforced, because too many calls of the group fail or are refused. */
	readonly isFloorEnforced: boolean;
	/** The free targets that the request may get, since others are kept for callers of their own zone or region. */
	readonly listPermitted: GroupZones['listPermitted'];
	/** Whether the retry budget allows repeating a call that fails on a trial. */
	readonly hasRetry: () => boolean;
};

export type TargetPick = {
	readonly ledger: TargetLedger;
	/** Whether the target was picked only to meet the floor. */
	readonly isForFloor: boolean;
};

const pickCheapest = (
	candidates: readonly TargetLedger[],
	requester: GrantRequester,
	random: ports.Random,
): TargetLedger | undefined => {
	const candidateCosts = candidates.map(ledger => ({
		ledger,
		cost: ledger.costFor(requester) + random.fraction() * COST_JITTER,
	}));
	return candidateCosts.reduce<{ledger: TargetLedger; cost: number} | undefined>(
		(best, candidate) => (best && best.cost <= candidate.cost ? best : candidate),
		undefined,
	)?.ledger;
};

/** Whether the call should go to a target on trial. */
const isTrialDue = (
	request: ports.AcquireGrantRequest,
	hasFreeSound: boolean,
	{index, options, hasRetry}: TargetPickInput,
): boolean => {
	const {openCount, slotCount} = index.soundLoad(request);
	const canRetryFailure =
		request.repeatability === domain.Repeatability.Repeatable && request.attemptIndex === 0 && hasRetry();
	const isScarce = openCount >= slotCount * options.trialOccupancyRatio;
	return canRetryFailure || isScarce || !hasFreeSound;
};

/** Picks a target by standing, then by cost. */
const pickByStanding = (request: ports.AcquireGrantRequest, input: TargetPickInput): TargetLedger | undefined => {
	const {index, random} = input;
	const sound = index.listCandidates(TargetPool.FreeSound, request);
	const onTrial = index.listCandidates(TargetPool.Trial, request);
	if (onTrial.length > 0 && isTrialDue(request, sound.length > 0, input)) {
		return pickCheapest(onTrial, request, random);
	}

	// When all targets of a service shed load, single refusals are random, so a resting target may still accept a call.
	const pickPermitted = (pool: TargetPool): TargetLedger | undefined => {
		const free = pool === TargetPool.FreeSound ? sound : index.listCandidates(pool, request);
		return pickCheapest(input.listPermitted(request, free, index.usableSlots), request, random);
	};

	const best = pickPermitted(TargetPool.FreeSound) ?? pickPermitted(TargetPool.FreeResting);
	return best === undefined && request.isLastResort ? index.findLastResort(request) : best;
};

/**
 * Picks a target in this order: an unused one if the floor is enforced and not met; one on trial if the call may be repeated
 * or free slots at sound targets are scarce; the cheapest sound one with a free slot; the cheapest resting one; and, if the
 * request allows a last resort, the one on trial or set aside whose last fault is the oldest.
 */
export const pickTarget = (request: ports.AcquireGrantRequest, input: TargetPickInput): TargetPick | undefined => {
	const unused = input.isFloorEnforced ? pickUnusedTarget(request, input.index, input.options) : undefined;
	const ledger = unused ?? pickByStanding(request, input);
	return ledger && {ledger, isForFloor: unused !== undefined};
};
