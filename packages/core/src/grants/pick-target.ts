import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import type {DispatcherOptions} from './dispatcher-options.js';
import {pickUnusedTarget} from './pick-unused-target.js';
import {GrantStanding, type Asker, type TargetLedger} from './target-ledger.js';

/** Breaks ties between targets of the same cost. */
const COST_JITTER = 0.05;

/** What a choice is made from. */
export type TargetChoice = {
	/** Targets that are registered and ready. */
	readonly ledgers: readonly TargetLedger[];
	readonly options: Pick<DispatcherOptions, 'trialOccupancyRatio' | 'floorRatio'>;
	readonly random: ports.Random;
	/** Whether the group leaves so many calls unserved that the floor is enforced. */
	readonly isTroubled: boolean;
	/** Whether a failed trial could be repeated. */
	readonly hasRetry: () => boolean;
};

export type TargetPick = {
	readonly ledger: TargetLedger;
	/** Whether the target was picked only because too many targets were unused. */
	readonly isForFloor: boolean;
};

export const hasRoom = (ledger: TargetLedger): boolean => ledger.openCount() < ledger.slotCount();

const pickCheapest = (
	candidates: readonly TargetLedger[],
	asker: Asker,
	random: ports.Random,
): TargetLedger | undefined => {
	const priced = candidates.map(ledger => ({ledger, cost: ledger.costFor(asker) + random.fraction() * COST_JITTER}));
	return priced.reduce<{ledger: TargetLedger; cost: number} | undefined>(
		(best, candidate) => (best && best.cost <= candidate.cost ? best : candidate),
		undefined,
	)?.ledger;
};

/** Whether the call is one to try a target with whose absence is over. */
const isTrialDue = (
	request: ports.AcquireGrantRequest,
	sound: readonly TargetLedger[],
	{options, hasRetry}: TargetChoice,
): boolean => {
	const openCount = sound.reduce((sum, ledger) => sum + ledger.openCount(), 0);
	const slotCount = sound.reduce((sum, ledger) => sum + ledger.slotCount(), 0);
	const isRepeatable =
		request.repeatability === domain.Repeatability.Repeatable && request.attemptIndex === 0 && hasRetry();
	const isScarce = openCount >= slotCount * options.trialOccupancyRatio;
	return isRepeatable || isScarce || !sound.some(hasRoom);
};

/** Picks a target by the verdicts on all of them. */
const pickByStanding = (request: ports.AcquireGrantRequest, choice: TargetChoice): TargetLedger | undefined => {
	const {random} = choice;
	const excluded = new Set(request.excludedTargetIds);
	const usable = choice.ledgers.filter(ledger => !excluded.has(ledger.target().targetId));
	const byStanding = (standing: GrantStanding): TargetLedger[] =>
		usable.filter(ledger => ledger.standingFor(request.nodeId) === standing);
	const sound = byStanding(GrantStanding.Sound);
	const onTrial = byStanding(GrantStanding.OnTrial).filter(ledger => ledger.openCount() === 0);
	if (onTrial.length > 0 && isTrialDue(request, sound, choice)) {
		return pickCheapest(onTrial, request, random);
	}

	// Refusals come and go with chance when a whole service sheds, so a resting target is still worth a call.
	const resting = byStanding(GrantStanding.Resting).filter(hasRoom);
	const best = pickCheapest(sound.filter(hasRoom), request, random) ?? pickCheapest(resting, request, random);
	if (best !== undefined || !request.isLastResort) {
		return best;
	}

	return [...byStanding(GrantStanding.OnTrial), ...byStanding(GrantStanding.SetAside)]
		.filter(hasRoom)
		.toSorted((left, right) => left.lastFaultAtMs() - right.lastFaultAtMs())[0];
};

/**
 * Picks a target: one without calls when the floor asks for it; a sound one with a free slot; one on trial when the call may
 * be repeated or sound ones are scarce; and, as a last resort, the one whose last fault is the oldest.
 */
export const pickTarget = (request: ports.AcquireGrantRequest, choice: TargetChoice): TargetPick | undefined => {
	const unused = choice.isTroubled ? pickUnusedTarget(request, choice.ledgers, choice.options) : undefined;
	const ledger = unused ?? pickByStanding(request, choice);
	return ledger && {ledger, isForFloor: unused !== undefined};
};
