import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';

/** Request for a grant, without the fields that depend on the region and the requesting node. */
export type CallGrantRequest = {
	/** Whether the call has a large body. */
	readonly isBulk: boolean;
	/** Length of the request's body, in bytes; undefined if it is not known. */
	readonly bodyBytes?: number;
} & Omit<
	ports.AcquireGrantRequest,
	| 'region'
	| 'isFromOtherRegion'
	| 'bodyBytes'
	| 'waitLimitMs'
	| 'isLastResort'
	| 'nodeId'
	| 'availabilityZone'
	| 'targetNotices'
>;

/** A grant with the dispatcher that issued it. */
export type HeldGrant = ports.Grant & {
	readonly routeId: string;
	readonly region: string;
	readonly dispatcher: domain.RegisteredNode;
};

export type GrantAnswer = HeldGrant | ports.GrantDenial;

/** Bytes that an attempt has sent and received. */
export type AttemptBytes = {
	/** Length of the request's body, in bytes. */
	readonly requestBytes: number;
	/** Length of the answer's body, in bytes; undefined if it is not known. */
	readonly answerBytes?: number;
};
