import type * as domain from '@bilberrydoor/domain';

/** Whether another attempt can send the call's body from its first byte. */
export const canSendBody = ({body}: domain.ProxiedCall): boolean =>
	body === undefined || body instanceof Uint8Array || body.canOpen();

/** Whether the caller's body cannot become complete, so that an attempt fails through no fault of its target. */
export const isBodyBroken = ({body}: domain.ProxiedCall): boolean =>
	body !== undefined && !(body instanceof Uint8Array) && body.isBroken();
