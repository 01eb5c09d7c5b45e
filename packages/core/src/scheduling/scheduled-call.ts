import type * as domain from '@bilberrydoor/domain';

/** A call as a group's scheduling node handles it. */
export type ScheduledCall = {
	readonly call: domain.CallRequest;
	readonly route: domain.RouteEntry;
	/** Deadline of the call on this node's monotonic clock, in ms. */
	readonly deadlineAtMs: number;
	/** Whether nothing of the request body has been read yet; absent means that a body counts as read. */
	readonly isBodyUnread?: () => boolean;
	/**
	 * Instant on this node's monotonic clock after which the work is not started, in ms. Present for work that runs at most
	 * once, whose `deadlineAtMs` is later so that a late answer can still determine the ending.
	 */
	readonly startDeadlineAtMs?: number;
	/**
	 * Called immediately before the first byte can reach a target. Returning an ending refuses the dispatch. Work that
	 * runs at most once updates its record here.
	 */
	readonly beforeDispatch?: () => domain.NotRunEnding | undefined;
};

/** Status of one target for operators. */
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
	/** Slots of the target in the catalogue entry. */
	readonly slotCount: number;
	/** Slots that the adaptive limit and the state of the target open now. */
	readonly openSlotCount: number;
	readonly busySlotCount: number;
};
