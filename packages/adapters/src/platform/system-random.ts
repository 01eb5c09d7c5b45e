import * as crypto from 'node:crypto';
import type * as core from '@bilberrydoor/core';

const TOKEN_LENGTH_BYTES = 16;

/** Random source of the running process. */
export const createSystemRandom = (): core.Random => ({
	fraction: () => Math.random(),
	token: () => crypto.randomBytes(TOKEN_LENGTH_BYTES).toString('hex'),
});
