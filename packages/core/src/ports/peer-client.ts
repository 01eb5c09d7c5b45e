import type * as domain from '@bilberrydoor/domain';
import type * as neverthrow from 'neverthrow';
import type {PeerMessageKind, PeerMessages} from './peer-message.js';

export enum PeerErrorKind {
	/** No byte reached the peer. */
	Unreachable = 'unreachable',
	/** The message may have arrived, but no reply came. */
	Lost = 'lost',
	/**
	 * The message certainly had no effect: an authenticated reply refused it for its version, incarnation or format, or
	 * the client did not send it because it was too large.
	 */
	Refused = 'refused',
}

export type PeerError = {
	readonly kind: PeerErrorKind;
	readonly detail: string;
};

/** Action that the receiving node performs on a forwarded call. */
export enum ForwardPurpose {
	/** Schedule the call on the group's targets. */
	Schedule = 'schedule',
	/** Execute the operation that the call's operation id identifies. */
	Execute = 'execute',
	/** Answer in place of the operation's executor, from records taken over from it or by requesting its answer. */
	Consult = 'consult',
}

/** A call on its way from one node to another. */
export type ForwardedCall = {
	readonly purpose: ForwardPurpose;
	readonly service: string;
	readonly groupId: string;
	/** The only incarnation that may handle the call; absent when any incarnation of the node may. */
	readonly requiredIncarnationId?: string;
	/** Time left until the call's deadline, in ms. */
	readonly remainingMs: number;
	/** Time left in which the work may start, in ms. Present for work that runs at most once. */
	readonly remainingStartMs?: number;
	readonly call: domain.CallRequest;
};

/** Sends messages and calls to other nodes of the fleet. */
export type PeerClient = {
	request<Kind extends PeerMessageKind>(
		address: string,
		kind: Kind,
		request: PeerMessages[Kind]['request'],
		signal: AbortSignal,
	): Promise<neverthrow.Result<PeerMessages[Kind]['reply'], PeerError>>;
	/** Streams a call to a peer. Resolves with the ending as soon as its head has arrived; an answer's body follows. */
	forwardCall(
		address: string,
		forwarded: ForwardedCall,
		signal: AbortSignal,
	): Promise<neverthrow.Result<domain.CallEnding, PeerError>>;
};
