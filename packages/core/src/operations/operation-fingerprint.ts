import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';

/**
 * Digest of what an operation asks for: method, path, query, workspace and body. No field before the body can contain a
 * line break, so that different requests never give the same text.
 */
export const computeFingerprint = (
	authenticator: ports.Authenticator,
	call: domain.CallRequest,
	body: Uint8Array,
): string =>
	authenticator.digest([`${call.method}\n${call.path}\n${call.query}\n${call.workspace}\n${body.byteLength}\n`, body]);
