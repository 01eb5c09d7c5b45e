import type * as ports from '../ports/index.js';
import type {DispatcherOptions} from './dispatcher-options.js';
import type {TargetIndex} from './target-index.js';
import {GrantStanding, type TargetLedger} from './target-ledger.js';

/** Order in which unused targets are picked. */
const STANDING_ORDER: Record<GrantStanding, number> = {
	[GrantStanding.Sound]: 0,
	[GrantStanding.Resting]: 1,
	[GrantStanding.OnTrial]: 2,
	[GrantStanding.SetAside]: 3,
	[GrantStanding.PathLost]: 4,
	[GrantStanding.Paused]: 5,
};

/**
 * Picks an unused target when more targets are unused than the floor allows, since standings may be wrong or out of date.
 * Prefers the best standing, then the oldest fault.
 */
export const pickUnusedTarget = (
	{nodeId, excludedTargetIds}: Pick<ports.AcquireGrantRequest, 'nodeId' | 'excludedTargetIds'>,
	index: TargetIndex,
	{floorRatio}: Pick<DispatcherOptions, 'floorRatio'>,
): TargetLedger | undefined => {
	// A target that asked for a pause is not absent by the dispatcher's choice.
	const {ledgers, availableCount} = index.unused();
	if (ledgers.length <= Math.floor(availableCount * (1 - floorRatio))) {
		return undefined;
	}

	const rank = (ledger: TargetLedger): number => STANDING_ORDER[ledger.standingFor(nodeId)];
	return ledgers
		.filter(ledger => !excludedTargetIds.includes(ledger.target().targetId))
		.filter(ledger => ledger.standingFor(nodeId) !== GrantStanding.PathLost)
		.toSorted((left, right) => rank(left) - rank(right) || left.lastFaultAtMs() - right.lastFaultAtMs())[0];
};
