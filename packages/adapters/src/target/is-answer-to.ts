import type * as domain from '@bilberrydoor/domain';
import * as headers from '../http/headers.js';
import type {WireDialect} from '../http/wire-dialect.js';

/** Whether an answer names the call with this request id. */
export const isAnswerTo = (requestId: string, answerHeaders: domain.HeaderList, dialect: WireDialect): boolean =>
	headers.findHeader(answerHeaders, dialect.requestIdHeader) === requestId;
