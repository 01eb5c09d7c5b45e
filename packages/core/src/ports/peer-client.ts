import type * as domain from '@bilberrydoor/domain';
import type * as neverthrow from 'neverthrow';
import type {PeerMessageKind, PeerMessages} from './peer-message.js';

export enum PeerErrorKind {
	/** No byte reached the peer. */
	Unreachable = 'unreachable',
	/** The message may have arrived, but no reply came. */
	Lost = 'lost',
	/**
	 * The message certainly had no effect: a node of the fleet proved that it refused it, for its version, incarnation or
	 * form, or the client did not send it, for its size.
	 */
	Refused = 'refused',
}

export type PeerError = {
	readonly kind: PeerErrorKind;
	readonly detail: string;
};

/** What the receiving node is asked to do with a forwarded call. */
export enum ForwardPurpose {
	/** Schedule the call on the group's targets. */
	Schedule = 'schedule',
	/** Execute the operation that the call's operation id names. */
	Execute = 'execute',
	/** Answer for the executor of the call's operation: from records taken over, or by asking it. */
	Consult = 'consult',
}

/** A call on its way from one node to another. */
export type ForwardedCall = {
	readonly purpose: ForwardPurpose;
	readonly service: string;
	readonly groupId: string;
	/** Incarnation that alone may handle the call; absent when any run of the node may. */
	readonly requiredIncarnationId?: string;
	/** Time left until the call's deadline, in ms. */
	readonly remainingMs: number;
	/** Time left in which the work may start, in ms. Present for work that runs at most once. */
	readonly remainingStartMs?: number;
	readonly call: domain.CallRequest;
};

/** Talks to other nodes of the fleet. */
export type PeerClient = {
	request<Kind extends PeerMessageKind>(
		address: string,
		kind: Kind,
		request: PeerMessages[Kind]['request'],
		signal: AbortSignal,
	): Promise<neverthrow.Result<PeerMessages[Kind]['reply'], PeerError>>;
	/** Streams a call to a peer and resolves when the ending's head has arrived. */
	forwardCall(
		address: string,
		forwarded: ForwardedCall,
		signal: AbortSignal,
	): Promise<neverthrow.Result<domain.CallEnding, PeerError>>;
};
