import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as headers from '../http/headers.js';
import type {WireDialect} from '../http/wire-dialect.js';

/** Statuses from which callers conclude that a request was not run. Targets must confirm them with the not-run header. */
const NOT_RUN_STATUSES = new Set([408, 429, 503]);

const MISDIRECTED_STATUS = 421;
const FAILURE_STATUS_MINIMUM = 500;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** Classifies an answer by what it states about the call. */
export const classifyAnswer = (
	answer: Pick<domain.TargetAnswer, 'status' | 'headers'>,
	requestId: string,
	dialect: WireDialect,
): core.AnswerMeaning => {
	// A faulty target may send an earlier answer again. An answer without an id cannot be told from such a copy.
	if (headers.findHeader(answer.headers, dialect.requestIdHeader) !== requestId) {
		return core.AnswerMeaning.Mismatched;
	}

	if (answer.status === MISDIRECTED_STATUS) {
		return core.AnswerMeaning.Replaced;
	}

	if (headers.findHeader(answer.headers, dialect.notRunHeader) !== undefined) {
		return core.AnswerMeaning.NotRun;
	}

	const isUnsignedSuccess =
		isSuccess(answer.status) && headers.findHeader(answer.headers, dialect.signatureHeader) === undefined;
	// A status of NOT_RUN_STATUSES without the not-run header is not forwarded: the call may have run nevertheless.
	if (isUnsignedSuccess || NOT_RUN_STATUSES.has(answer.status)) {
		return core.AnswerMeaning.Mismatched;
	}

	return answer.status >= FAILURE_STATUS_MINIMUM ? core.AnswerMeaning.Failed : core.AnswerMeaning.Completed;
};
