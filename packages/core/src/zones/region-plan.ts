import type * as ports from '../ports/index.js';
import type {HoldReason} from './region-outlook.js';

/** A call whose region is to be decided. */
export type PlannedCall = {
	readonly routeId: string;
	readonly service: string;
	readonly attemptIndex: number;
	/** Whether the call has a large body, which stays in its region while that has a target to wait for. */
	readonly isBulk: boolean;
	/** Length of the request's body, in bytes; undefined if it is not known. */
	readonly bodyBytes?: number;
	readonly objectiveLeftMs: number;
	readonly remainingMs: number;
};

/** What the own region's dispatcher said of a call. */
export type OwnVerdict = {
	readonly refusal: ports.GrantRefusal;
	/** Predicted wait, or the time that the call has waited in vain if that is longer, in ms. */
	readonly waitMs: number;
};

/** Why a call does not go to another region. */
export enum StayReason {
	/** The region was asked lately and cannot serve the call now. */
	Held = 'held',
	/** The call would arrive too late. */
	TooLate = 'too-late',
	/** Its body is too large for the link. */
	Bulk = 'bulk',
	/** This node's calls have used their part of the link. */
	LinkFull = 'link-full',
	/** Too large a part of this node's calls has gone to other regions lately. */
	ShareUsed = 'share-used',
	/** Waiting in the own region loses less. */
	StayingPays = 'staying-pays',
}

export type AwayDecision =
	| {readonly isAsked: true; readonly waitLimitMs: number}
	| {readonly isAsked: false; readonly reason: StayReason};

/** What a node knows of a group in another region. */
export type RegionView = {
	/** Delay of a call that finds a free slot there, in ms. */
	readonly crossingMs: number;
	/** Wait for a slot that was last seen, less what has passed, in ms. */
	readonly waitMs: number;
	/** Why the group is not asked now; absent if it may be. */
	readonly hold?: HoldReason;
};

/** A reply of another region's dispatcher, or that there was none. */
export type AwayReply = {
	readonly reply: ports.AcquireGrantReply | undefined;
	/** Time from the request to the reply, in ms. */
	readonly elapsedMs: number;
	/** How long the dispatcher might let the call wait, in ms. */
	readonly waitLimitMs: number;
	/** Bytes that the call will send over the link and get from it. */
	readonly expectedBytes: number;
};
