import type * as domain from '@bilberrydoor/domain';
import type {HeldGrant} from '../grants/held-grant.js';
import type * as ports from '../ports/index.js';

/** State of one call during its attempts. */
export type CallState = {
	readonly call: domain.ProxiedCall;
	readonly route: domain.HostRoute;
	readonly service: string;
	/** Priority of the call's workspace and route together; 0 is the highest. */
	readonly priority: number;
	readonly catalogueVersion: number;
	/** Aborted when the caller disconnects, but not at the call's deadline. */
	readonly callerSignal: AbortSignal;
	/** Monotonic time by which the call must end, in ms. */
	readonly deadlineAtMs: number;
	readonly excludedTargetIds: string[];
	/** Addresses to which the call was sent, once for each attempt. */
	readonly usedAddresses: string[];
	/** Whether a grant has already been requested for the call. */
	isGrantRequested: boolean;
	/** Attempts that were sent to a target. */
	sentCount: number;
	/** Attempts that ended before the call was sent. */
	unreachableCount: number;
	/** Whether a target may have run the call. */
	mayHaveRun: boolean;
	/** Whether an attempt is in progress, so that its target may be running the call. */
	isAttempting: boolean;
	/** Failure answer of a target, forwarded to the caller if no later attempt succeeds. */
	lastAnswer?: domain.TargetAnswer;
	/** Refusal reason that follows from the last attempt; `DeadlineTooShort` before the first. */
	lastReason: domain.RefusalReason;
	/** The denial that ended the call, if one did. */
	lastDenial?: ports.GrantDenial;
	/** Grant for the attempt that replaces a slow one. */
	replacementGrant?: HeldGrant;
};
