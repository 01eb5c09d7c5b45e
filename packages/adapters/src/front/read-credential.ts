import * as domain from '@bilberrydoor/domain';
import {digestKey} from '../platform/digest-key.js';

export const CREDENTIAL_HEADER = 'authorization';

/** `Bearer KEY`. The scheme's name is not case-sensitive, and a key has any printable characters but spaces. */
const BEARER_PATTERN = /^bearer +([!-~]+) *$/i;

/** Reads the caller's key. A key that is given twice is malformed, since it does not tell which one is meant. */
export const readCredential = (headerList: domain.HeaderList): domain.CallerCredential => {
	const values = headerList.filter(([name]) => name === CREDENTIAL_HEADER).map(([, value]) => value);
	if (values.length === 0) {
		return {kind: domain.CredentialKind.Absent};
	}

	const key = values.length === 1 ? BEARER_PATTERN.exec(values[0]!)?.[1] : undefined;
	return key === undefined
		? {kind: domain.CredentialKind.Malformed}
		: {kind: domain.CredentialKind.Key, digest: digestKey(key)};
};

/**
 * Removes the caller's key and any workspace that the caller names itself. Some servers read an underscore in a header's name as
 * a hyphen.
 */
export const removeIdentityHeaders = (headerList: domain.HeaderList, workspaceHeader: string): domain.HeaderList =>
	headerList.filter(([name]) => ![CREDENTIAL_HEADER, workspaceHeader].includes(name.replaceAll('_', '-')));
