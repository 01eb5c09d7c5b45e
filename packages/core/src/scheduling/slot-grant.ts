import type {SlotUse} from './slot-shares.js';
import type {TargetSlots} from './target-pool.js';

/** A slot that a call holds. */
export type SlotGrant = {
	readonly slots: TargetSlots;
	readonly use: SlotUse;
	/** Frees the slot. Further calls have no effect. */
	release(): void;
};
