import {Buffer} from 'node:buffer';
import type * as http from 'node:http';
import * as domain from '@bilberrydoor/domain';
import * as tsPattern from 'ts-pattern';
import * as headers from '../http/headers.js';
import {writeBody} from '../http/write-body.js';
import {REFUSAL_STATUSES} from './refusal-statuses.js';

const MS_PER_SECOND = 1000;

const writeAnswer = async (outgoing: http.ServerResponse, ending: domain.CompletedEnding): Promise<void> => {
	const {answer} = ending;
	outgoing.writeHead(answer.status, {
		...headers.groupHeaders(headers.selectForwardableHeaders(answer.headers)),
		'bilberrydoor-outcome': ending.outcome,
	});
	await writeBody(answer.body, outgoing);
};

const writeRefusal = async (
	outgoing: http.ServerResponse,
	ending: domain.NotRunEnding | domain.UnknownEnding,
): Promise<void> => {
	const retryAfterMs = ending.outcome === domain.Outcome.NotRun ? ending.retryAfterMs : undefined;
	const operationId = ending.outcome === domain.Outcome.NotRun ? ending.operationId : undefined;
	const body = JSON.stringify({outcome: ending.outcome, reason: ending.reason, detail: ending.detail, operationId});
	const isRequestIncomplete = !outgoing.req.complete;
	const head: http.OutgoingHttpHeaders = {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(body),
		'bilberrydoor-outcome': ending.outcome,
		'bilberrydoor-reason': ending.reason,
		...(retryAfterMs !== undefined && {'retry-after': String(Math.ceil(retryAfterMs / MS_PER_SECOND))}),
		...(operationId !== undefined && {'operation-id': operationId}),
		// Otherwise a caller that is still sending a refused body would occupy the connection.
		...(isRequestIncomplete && {connection: 'close'}),
	};
	outgoing.writeHead(REFUSAL_STATUSES[ending.reason], head);
	outgoing.end(body);
};

/** Writes a call's ending as the HTTP response. */
export const writeCallEnding = async (outgoing: http.ServerResponse, ending: domain.CallEnding): Promise<void> =>
	tsPattern
		.match(ending)
		.with({outcome: domain.Outcome.Completed}, async completed => writeAnswer(outgoing, completed))
		.otherwise(async refusal => writeRefusal(outgoing, refusal));
