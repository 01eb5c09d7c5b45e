import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import type * as ports from '../ports/index.js';

/** Version of the token's format, its first field. */
const TOKEN_VERSION = '1';
/** Safe in headers and URL paths, and occurs in no field. */
const FIELD_SEPARATOR = '~';
/** Fields before the signature. */
const SIGNED_FIELD_COUNT = 7;
export const OPERATION_ID_LIMIT_CHARACTERS = 512;

/** Domain separation: a signature of an operation id is not valid for other messages under the same key. */
const buildSignedText = (content: string): string => `operation-id\n${content}`;

/** Writes an operation id as an authenticated token. */
export const encodeOperationId = (authenticator: ports.Authenticator, identity: domain.OperationIdentity): string => {
	const {executor, service, serial, expiresAtMs} = identity;
	const content = [
		TOKEN_VERSION,
		executor.vmId,
		executor.address,
		executor.incarnationId,
		service,
		String(serial),
		String(expiresAtMs),
	].join(FIELD_SEPARATOR);
	return `${content}${FIELD_SEPARATOR}${authenticator.sign(buildSignedText(content))}`;
};

/** Reads a token. The error says what is wrong with it. */
export const decodeOperationId = (
	authenticator: ports.Authenticator,
	token: string,
): neverthrow.Result<domain.OperationIdentity, string> => {
	if (token.length > OPERATION_ID_LIMIT_CHARACTERS) {
		return neverthrow.err(`the operation id is longer than ${OPERATION_ID_LIMIT_CHARACTERS} characters`);
	}

	const parts = token.split(FIELD_SEPARATOR);
	if (parts.length !== SIGNED_FIELD_COUNT + 1 || parts[0] !== TOKEN_VERSION) {
		return neverthrow.err('the operation id is malformed; use one that the fleet has minted, unchanged');
	}

	const content = parts.slice(0, SIGNED_FIELD_COUNT).join(FIELD_SEPARATOR);
	if (!authenticator.verify(buildSignedText(content), parts[SIGNED_FIELD_COUNT]!)) {
		return neverthrow.err('the operation id was not minted by this fleet, or was changed');
	}

	const [, vmId = '', address = '', incarnationId = '', service = '', serial = '', expiresAtMs = ''] = parts;
	return neverthrow.ok({
		executor: {vmId, address, incarnationId},
		service,
		serial: Number(serial),
		expiresAtMs: Number(expiresAtMs),
	});
};
