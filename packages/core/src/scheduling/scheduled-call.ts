import type * as domain from '@bilberrydoor/domain';

/** A call as a group's scheduling node handles it. */
export type ScheduledCall = {
	readonly call: domain.CallRequest;
	readonly route: domain.RouteEntry;
	/** Instant on this node's monotonic clock when the call's time is up, in ms. */
	readonly deadlineAtMs: number;
	/** Whether nothing of the request body has been read yet; absent means that a body counts as read. */
	readonly isBodyUnread?: () => boolean;
	/**
	 * Instant on this node's monotonic clock after which the work is not started, in ms. Present for work that runs at most
	 * once, whose `deadlineAtMs` is later so that a late answer still tells the ending.
	 */
	readonly startDeadlineAtMs?: number;
	/**
	 * Asked immediately before the first byte can reach a target. An ending refuses the dispatch. Work that runs at most
	 * once marks its record here.
	 */
	readonly beforeDispatch?: () => domain.NotRunEnding | undefined;
};

/** What operators see of one target. */
export type TargetStatus = {
	readonly service: string;
	readonly groupId: string;
	readonly targetId: string;
	readonly address: string;
	readonly availabilityZone: string;
	readonly state: domain.TargetState;
	/** Why the target is in this state. */
	readonly reason: string;
	/** When it entered the state, on this node's monotonic clock, in ms. */
	readonly sinceMs: number;
	/** Slots of the entry. */
	readonly slotCount: number;
	/** Slots that the adaptive limit opens now. */
	readonly openSlotCount: number;
	readonly busySlotCount: number;
};
