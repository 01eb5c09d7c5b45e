import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as headers from '../http/headers.js';
import type {WireDialect} from '../http/wire-dialect.js';

/** Statuses that promise to callers that a request has not run; a target's own need its mark. */
const PROMISE_STATUSES = new Set([408, 429, 503]);

const MISDIRECTED_STATUS = 421;
const FAILURE_STATUS_MINIMUM = 500;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** A faulty target may write an earlier refusal once more, so only one that names the call says that it has not run. */
const readRefusal = ({isMisdirected, isOwn}: {isMisdirected: boolean; isOwn: boolean}): core.AnswerMeaning => {
	if (!isOwn) {
		return core.AnswerMeaning.Foreign;
	}

	return isMisdirected ? core.AnswerMeaning.Replaced : core.AnswerMeaning.NotRun;
};

/** Tells what an answer says about the call. */
export const readMeaning = (
	answer: Pick<domain.TargetAnswer, 'status' | 'headers'>,
	requestId: string,
	dialect: WireDialect,
): core.AnswerMeaning => {
	const answeredId = headers.findHeader(answer.headers, dialect.requestIdHeader);
	if (answeredId !== undefined && answeredId !== requestId) {
		return core.AnswerMeaning.Foreign;
	}

	const isMisdirected = answer.status === MISDIRECTED_STATUS;
	const isMarked = headers.findHeader(answer.headers, dialect.notRunHeader) !== undefined;
	if (isMisdirected || isMarked) {
		return readRefusal({isMisdirected, isOwn: answeredId === requestId});
	}

	const isProven = headers.findHeader(answer.headers, dialect.signatureHeader) !== undefined;
	const isUnproven = isSuccess(answer.status) && (!isProven || answeredId === undefined);
	// Handing on a promise that the target did not mean would tell the caller that the call has not run.
	if (isUnproven || PROMISE_STATUSES.has(answer.status)) {
		return core.AnswerMeaning.Foreign;
	}

	return answer.status >= FAILURE_STATUS_MINIMUM ? core.AnswerMeaning.Failed : core.AnswerMeaning.Completed;
};
