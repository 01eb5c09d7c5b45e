import {Buffer} from 'node:buffer';
import * as crypto from 'node:crypto';
import type * as core from '@bilberrydoor/core';

/**
 * Creates an authenticator that uses HMAC-SHA-256 with the fleet key.
 *
 * @param keys accepted keys. The first one signs; the others are accepted while the key is being rotated.
 */
export const createFleetKeyAuthenticator = (keys: readonly string[]): core.Authenticator => {
	const [currentKey] = keys;
	if (currentKey === undefined) {
		throw new TypeError('at least one fleet key is needed');
	}

	const computeMac = (key: string, text: string): Uint8Array => crypto.createHmac('sha256', key).update(text).digest();

	return {
		sign: text => Buffer.from(computeMac(currentKey, text)).toString('base64url'),
		verify(text, mac) {
			const given = Buffer.from(mac, 'base64url');
			return keys
				.map(key => computeMac(key, text))
				.some(expected => expected.length === given.length && crypto.timingSafeEqual(expected, given));
		},
		digest(parts) {
			const hash = crypto.createHash('sha256');
			for (const part of parts) {
				hash.update(part);
			}

			return hash.digest('hex');
		},
	};
};
