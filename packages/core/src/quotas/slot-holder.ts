import type * as ports from '../ports/index.js';
import {slotIdOf, type ShareRanking, type Slot} from './share-ranking.js';

/** Which slots this node holds. A slot is held from when its former holder has confirmed that it does not hold it. */
export type SlotHolder = {
	/** Since when this node's account of the slot may count, in ms; may be in the future. Undefined while it is not held. */
	heldSinceMs(slot: Slot): number | undefined;
	/** Node that has to confirm that it does not hold the slot, if this node may hold it but does not yet. */
	findConfirmer(slot: Slot): string | undefined;
	/** Records that the confirmer has not held the slot for the given time. */
	recordConfirmation(slot: Slot, confirmerId: string, idleMs: number): void;
	/** Gives up a slot for the node that claims it. Returns for how long this node has not held it; undefined if it refuses. */
	release(slot: Slot, claimantId: string): number | undefined;
	/** Requires all slots to be confirmed again, since the process was paused. */
	requireConfirmation(): void;
	countHeld(): number;
};

/**
 * Time for which a node whose predecessor was removed from the registry waits: a removal is in force on all nodes within 3 s,
 * and the predecessor's tokens are used up or expired a lease time after that.
 */
const REMOVAL_SPREAD_MS = 3000;

/** Longest time for which a released slot is left to a claimant that this node's records do not show yet, in ms. */
const CLAIM_LIMIT_MS = 60_000;

type Held = {readonly confirmerId: string | undefined; readonly sinceMs: number; readonly isConfirmed: boolean};

export const createSlotHolder = (options: {
	readonly selfId: string;
	readonly ranking: ShareRanking;
	readonly clock: ports.Clock;
	readonly leaseMs: number;
	readonly onChange: (slot: Slot, isHeld: boolean, otherId: string | undefined) => void;
}): SlotHolder => {
	const {selfId, ranking, clock, leaseMs, onChange} = options;
	const startedAtMs = clock.monotonicMs();
	const held = new Map<number, Held>();
	/** When this node last held slots that it has given up. */
	const heldUntilMs = new Map<number, number>();
	/** Who claimed slots from this node, and when. */
	const claims = new Map<number, {readonly claimantId: string; readonly atMs: number}>();

	const isLeftToClaimant = (slotId: number): boolean => {
		const claim = claims.get(slotId);
		return (
			claim !== undefined &&
			ranking.seenSinceMs(claim.claimantId) === undefined &&
			clock.monotonicMs() - claim.atMs < CLAIM_LIMIT_MS
		);
	};

	const stopHolding = (slot: Slot, claimantId: string): void => {
		const slotId = slotIdOf(slot);
		if (held.delete(slotId)) {
			heldUntilMs.set(slotId, clock.monotonicMs());
			onChange(slot, false, claimantId);
		}
	};

	/** Whether this node ranks first and no other one has claimed the slot; stops holding it otherwise. */
	const mayHold = (slot: Slot): boolean => {
		const {first} = ranking.rank(slot);
		if (first?.nodeId === selfId) {
			return !isLeftToClaimant(slotIdOf(slot));
		}

		stopHolding(slot, first?.nodeId ?? '');
		return false;
	};

	const hold = (slot: Slot, confirmerId: string | undefined, idleMs: number): void => {
		const slotId = slotIdOf(slot);
		const previous = held.get(slotId);
		const nowMs = clock.monotonicMs();
		const firstSinceMs = ranking.firstSinceMs(slot) ?? nowMs;
		const removalWaitMs =
			firstSinceMs > startedAtMs && firstSinceMs !== ranking.seenSinceMs(selfId) ? REMOVAL_SPREAD_MS : 0;
		const sinceMs = Math.max(firstSinceMs + removalWaitMs, nowMs - idleMs) + leaseMs;
		// Another node may have held the slot while this process was paused, or after this node released it.
		const isResumed = previous !== undefined || heldUntilMs.has(slotId);
		held.set(slotId, {confirmerId, sinceMs: isResumed ? nowMs + leaseMs : sinceMs, isConfirmed: true});
		heldUntilMs.delete(slotId);
		claims.delete(slotId);
		if (!previous) {
			onChange(slot, true, confirmerId);
		}
	};

	return {
		heldSinceMs(slot) {
			if (!mayHold(slot)) {
				return undefined;
			}

			if (!held.get(slotIdOf(slot))?.isConfirmed && ranking.rank(slot).second === undefined) {
				hold(slot, undefined, Number.POSITIVE_INFINITY);
			}

			const {sinceMs, isConfirmed = false} = held.get(slotIdOf(slot)) ?? {};
			return isConfirmed ? sinceMs : undefined;
		},
		findConfirmer(slot) {
			return mayHold(slot) && !held.get(slotIdOf(slot))?.isConfirmed ? ranking.rank(slot).second?.nodeId : undefined;
		},
		recordConfirmation(slot, confirmerId, idleMs) {
			if (mayHold(slot) && ranking.rank(slot).second?.nodeId === confirmerId) {
				hold(slot, confirmerId, idleMs);
			}
		},
		release(slot, claimantId) {
			const {first} = ranking.rank(slot);
			const isKnown = ranking.seenSinceMs(claimantId) !== undefined;
			// A known claimant that does not rank first, or one that was removed, acts on old records. One that was never known is
			// newer than the records of this node.
			if (ranking.isRemoved(claimantId) || (isKnown && first?.nodeId !== claimantId)) {
				return undefined;
			}

			stopHolding(slot, claimantId);
			// Recorded even if the slot is not held: this node's own claim may be on its way to being confirmed.
			claims.set(slotIdOf(slot), {claimantId, atMs: clock.monotonicMs()});
			const releasedAtMs = heldUntilMs.get(slotIdOf(slot)) ?? Number.NEGATIVE_INFINITY;
			const idleSinceMs = Math.max(startedAtMs, releasedAtMs, ranking.seenSinceMs(claimantId) ?? clock.monotonicMs());
			return clock.monotonicMs() - idleSinceMs;
		},
		requireConfirmation() {
			held.forEach((current, slotId) => {
				held.set(slotId, {...current, isConfirmed: false});
			});
		},
		countHeld: () => held.size,
	};
};
