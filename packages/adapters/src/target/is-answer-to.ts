import {Buffer} from 'node:buffer';
import type * as domain from '@bilberrydoor/domain';
import * as headers from '../http/headers.js';
import type {WireDialect} from '../http/wire-dialect.js';

/** The HTTP server of the front decodes headers as Latin-1, and undici decodes those of answers as UTF-8. */
const decodeAsAnswer = (requestId: string): string => Buffer.from(requestId, 'latin1').toString('utf8');

/** Whether an answer names the call with this request id. */
export const isAnswerTo = (requestId: string, answerHeaders: domain.HeaderList, dialect: WireDialect): boolean => {
	const answeredId = headers.findHeader(answerHeaders, dialect.requestIdHeader);
	return answeredId === requestId || answeredId === decodeAsAnswer(requestId);
};
