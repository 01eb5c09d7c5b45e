import * as core from '@bilberrydoor/core';

const DIGEST_MODULUS = 2 ** 32;

/** Authenticator for tests: fast and not secure. */
export const createFakeAuthenticator = (): core.Authenticator => {
	const digest = (parts: Iterable<string | Uint8Array>): string => {
		let hash = 7;
		for (const part of parts) {
			hash = (hash * 31 + core.hashString(String(part))) % DIGEST_MODULUS;
		}

		return hash.toString(16);
	};

	const sign = (text: string): string => digest(['key', text]);
	return {sign, verify: (text, mac) => sign(text) === mac, digest};
};
