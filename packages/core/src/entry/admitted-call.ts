import type * as domain from '@bilberrydoor/domain';

/** A call that has passed the checks at the entry node. */
export type AdmittedCall = {
	readonly service: string;
	readonly route: domain.RouteEntry;
	readonly call: domain.CallRequest;
	readonly deadlineAtMs: number;
	/** Whether nothing of the request body has been read yet. */
	readonly isBodyUnread: () => boolean;
};
