import {Buffer} from 'node:buffer';
import * as crypto from 'node:crypto';
import type * as core from '@bilberrydoor/core';

/** An operator with the SHA-256 of the bearer token, in hexadecimal. */
export type OperatorAccount = core.Operator & {readonly tokenSha256: string};

/** Finds the operator whose token an `Authorization` header contains. Compares digests in constant time. */
export const findOperator = (
	operators: readonly OperatorAccount[],
	authorization: string | undefined,
): OperatorAccount | undefined => {
	const token = /^Bearer (.+)$/.exec(authorization ?? '')?.[1];
	if (token === undefined) {
		return undefined;
	}

	const digest = crypto.createHash('sha256').update(token).digest();
	return operators.find(operator => crypto.timingSafeEqual(digest, Buffer.from(operator.tokenSha256, 'hex')));
};
