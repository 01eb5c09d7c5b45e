import type * as domain from '@bilberrydoor/domain';
import type {HeldGrant} from '../grants/grant-client.js';

/** What one call has been through. */
export type CallState = {
	readonly call: domain.ProxiedCall;
	readonly route: domain.HostRoute;
	readonly service: string;
	readonly catalogueVersion: number;
	/** Aborted when the caller leaves, and not when its time is up. */
	readonly callerSignal: AbortSignal;
	/** Monotonic time at which the caller must have an ending, in ms. */
	readonly deadlineAtMs: number;
	readonly excludedTargetIds: string[];
	/** Whether a dispatcher has been asked for the call. */
	isAnnounced: boolean;
	sentCount: number;
	unreachableCount: number;
	/** Whether a target may have run the call. */
	mayHaveRun: boolean;
	/** Whether an attempt is under way, whose target may be running the call. */
	isAttempting: boolean;
	/** A target's own failure, to hand on when nothing better comes. */
	lastAnswer?: domain.TargetAnswer;
	lastReason: domain.RefusalReason;
	/** Grant for the attempt that takes the place of a slow one. */
	nextGrant?: HeldGrant;
};
