import type * as domain from '@bilberrydoor/domain';

/** State of one target and the limits on scheduling calls to it. */
export type TargetStanding = {
	readonly state: domain.TargetState;
	/** Why the target is in this state. */
	readonly reason: string;
	/** When it entered the state, on this node's monotonic clock, in ms. */
	readonly sinceMs: number;
	/** Share of the target's slots that may be used now, 0 to 1. */
	readonly openRatio: number;
	/** Weight among targets with free slots, 0 to 1. */
	readonly weight: number;
	/** True when only repeatable work may be sent, as during probation. */
	readonly isRepeatableOnly: boolean;
};
