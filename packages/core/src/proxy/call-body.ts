import type * as domain from '@bilberrydoor/domain';

/** Whether another attempt can send the call's body from its first byte. */
export const canSendBody = ({body}: domain.ProxiedCall): boolean =>
	body === undefined || body instanceof Uint8Array || body.canOpen();

/** Whether the caller's body cannot become complete, so that an attempt fails through no fault of its target. */
export const isBodyBroken = ({body}: domain.ProxiedCall): boolean =>
	body !== undefined && !(body instanceof Uint8Array) && body.isBroken();

/** Length of a call's body, in bytes; undefined if the caller has not announced it. */
export const measureBody = ({body, bodyLengthBytes}: domain.ProxiedCall): number | undefined => {
	if (body === undefined) {
		return 0;
	}

	return body instanceof Uint8Array ? body.byteLength : bodyLengthBytes;
};

/** Length of an answer's body, in bytes; undefined if it is not known before the body has arrived. */
export const measureAnswer = ({body, headers}: domain.TargetAnswer): number | undefined => {
	if (body instanceof Uint8Array) {
		return body.byteLength;
	}

	const announced = headers.find(([name]) => name.toLowerCase() === 'content-length')?.[1];
	const lengthBytes = Number(announced);
	return announced !== undefined && Number.isSafeInteger(lengthBytes) && lengthBytes >= 0 ? lengthBytes : undefined;
};
