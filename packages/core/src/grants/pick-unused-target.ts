import type * as ports from '../ports/index.js';
import type {DispatcherOptions} from './dispatcher-options.js';
import {GrantStanding, type TargetLedger} from './target-ledger.js';

/**
 * A target without a grant for this long counts as unused. The platform's limit is 2 s without a call; the difference leaves
 * time for the call to reach the target.
 */
const UNUSED_AFTER_MS = 1700;

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
	request: ports.AcquireGrantRequest,
	ledgers: readonly TargetLedger[],
	{floorRatio}: Pick<DispatcherOptions, 'floorRatio'>,
): TargetLedger | undefined => {
	// A target that asked for a pause is not absent by the dispatcher's choice.
	const available = ledgers.filter(ledger => ledger.pauseLeftMs() === 0);
	const unused = available.filter(ledger => ledger.sinceGrantMs() >= UNUSED_AFTER_MS && ledger.openCount() === 0);
	if (unused.length <= Math.floor(available.length * (1 - floorRatio))) {
		return undefined;
	}

	const excluded = new Set(request.excludedTargetIds);
	const rank = (ledger: TargetLedger): number => STANDING_ORDER[ledger.standingFor(request.nodeId)];
	return unused
		.filter(ledger => !excluded.has(ledger.target().targetId))
		.filter(ledger => ledger.standingFor(request.nodeId) !== GrantStanding.PathLost)
		.toSorted((left, right) => rank(left) - rank(right) || left.lastFaultAtMs() - right.lastFaultAtMs())[0];
};
