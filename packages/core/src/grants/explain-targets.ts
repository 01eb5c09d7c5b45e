import type * as ports from '../ports/index.js';
import type {GroupZones} from '../zones/group-zones.js';
import type {SlotCounts} from '../zones/slot-reserve.js';
import {hasFreeSlot} from './target-entry.js';
import type {GrantStanding, TargetLedger} from './target-ledger.js';

/** A target as the dispatcher of its group sees it for one call. */
export type TargetExplanation = {
	readonly targetId: string;
	readonly availabilityZone: string;
	readonly standing: GrantStanding;
	readonly openCount: number;
	readonly slotCount: number;
	/** Relative cost of one more call; the lowest is the best choice among targets of the same standing. */
	readonly cost: number;
	/** Whether the call may get a slot of it now: it has a free one that is not kept for other callers. */
	readonly isPermitted: boolean;
};

/** Lists a group's targets for a call, the cheapest first, without taking a slot. */
export const explainTargets = (
	request: ports.AcquireGrantRequest,
	ledgers: readonly TargetLedger[],
	{listPermitted, usableSlots}: Pick<GroupZones, 'listPermitted'> & {readonly usableSlots: SlotCounts},
): readonly TargetExplanation[] => {
	const permitted = new Set(listPermitted(request, ledgers.filter(hasFreeSlot), usableSlots));
	return ledgers
		.map(ledger => ({
			targetId: ledger.target().targetId,
			availabilityZone: ledger.target().availabilityZone,
			standing: ledger.standingFor(request.nodeId),
			openCount: ledger.openCount(),
			slotCount: ledger.slotCount(),
			cost: Number(ledger.costFor(request).toFixed(3)),
			isPermitted: permitted.has(ledger),
		}))
		.toSorted((left, right) => left.cost - right.cost);
};

/** A group as its dispatcher sees it for one call. */
export type GroupExplanation = {
	/** Expected wait for a slot if none is free, in ms. */
	readonly predictedWaitMs: number;
	readonly waitingCount: number;
	readonly targets: readonly TargetExplanation[];
};
