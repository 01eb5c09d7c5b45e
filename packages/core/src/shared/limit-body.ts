import type * as domain from '@bilberrydoor/domain';
import {observeBody} from './observe-body.js';

/** Thrown while reading a body that is longer than its limit. */
export class BodyLimitError extends Error {
	override readonly name = 'BodyLimitError';

	constructor(readonly limitBytes: number) {
		super(`the body is longer than its limit of ${limitBytes} bytes`);
	}
}

/** Wraps a body so that reading more than `limitBytes` throws a {@link BodyLimitError}. */
export const limitBody = (body: domain.BodyStream, limitBytes: number, onExceeded?: () => void): domain.BodyStream => {
	let seenBytes = 0;
	return observeBody(body, {
		onChunk(chunk) {
			seenBytes += chunk.byteLength;
			if (seenBytes > limitBytes) {
				onExceeded?.();
				throw new BodyLimitError(limitBytes);
			}
		},
	});
};
