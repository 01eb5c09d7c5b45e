import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as headers from '../http/headers.js';
import type {WireDialect} from '../http/wire-dialect.js';
import {isAnswerTo} from './is-answer-to.js';

/** Statuses from which callers conclude that a request was not run. Targets must confirm them with the not-run header. */
const NOT_RUN_STATUSES = new Set([408, 429, 503]);

const MISDIRECTED_STATUS = 421;
const FAILURE_STATUS_MINIMUM = 500;

/** Range of the statuses that a final answer can have. */
const FINAL_STATUSES = {minimum: 200, maximum: 599};

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/** A faulty target may send an earlier refusal again, so a refusal only counts with the call's request id. */
const classifyRefusal = ({isMisdirected, isMatch}: {isMisdirected: boolean; isMatch: boolean}): core.AnswerMeaning => {
	if (!isMatch) {
		return core.AnswerMeaning.Mismatched;
	}

	return isMisdirected ? core.AnswerMeaning.Replaced : core.AnswerMeaning.NotRun;
};

/** Classifies an answer by what it states about the call. */
export const classifyAnswer = (
	answer: Pick<domain.TargetAnswer, 'status' | 'headers'>,
	requestId: string,
	dialect: WireDialect,
): core.AnswerMeaning => {
	const isFinalStatus = answer.status >= FINAL_STATUSES.minimum && answer.status <= FINAL_STATUSES.maximum;
	if (!isFinalStatus) {
		return core.AnswerMeaning.Mismatched;
	}

	const answeredId = headers.findHeader(answer.headers, dialect.requestIdHeader);
	const isMatch = isAnswerTo(requestId, answer.headers, dialect);
	if (answeredId !== undefined && !isMatch) {
		return core.AnswerMeaning.Mismatched;
	}

	const isMisdirected = answer.status === MISDIRECTED_STATUS;
	const isMarkedNotRun = headers.findHeader(answer.headers, dialect.notRunHeader) !== undefined;
	if (isMisdirected || isMarkedNotRun) {
		return classifyRefusal({isMisdirected, isMatch});
	}

	const isSigned = headers.findHeader(answer.headers, dialect.signatureHeader) !== undefined;
	const isUnverifiedSuccess = isSuccess(answer.status) && (!isSigned || !isMatch);
	// A status of NOT_RUN_STATUSES without the not-run header is not forwarded: the call may have run nevertheless.
	if (isUnverifiedSuccess || NOT_RUN_STATUSES.has(answer.status)) {
		return core.AnswerMeaning.Mismatched;
	}

	return answer.status >= FAILURE_STATUS_MINIMUM ? core.AnswerMeaning.Failed : core.AnswerMeaning.Completed;
};
