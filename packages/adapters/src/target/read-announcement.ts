import type * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as headers from '../http/headers.js';
import type {WireDialect} from '../http/wire-dialect.js';
import {isAnswerTo} from './is-answer-to.js';

const REFUSED_STATUS = 503;
/** Another process listens on the target's address, so the answer says nothing about the target. */
const MISDIRECTED_STATUS = 421;
const RETRY_AFTER_HEADER = 'retry-after';
const MS_PER_SECOND = 1000;

/** Reads a time in seconds. The platform allows fractions, and no dates. */
const parseSecondsAsMs = (text: string): number => (text.trim() === '' ? Number.NaN : Number(text) * MS_PER_SECOND);

/**
 * Reads what the head of an answer says about the target itself; undefined if it says nothing. The answer to another call may be
 * a late copy, so what it says is out of date.
 */
export const readAnnouncement = (
	{status, headers: answerHeaders}: Pick<domain.TargetAnswer, 'status' | 'headers'>,
	requestId: string,
	dialect: WireDialect,
): core.TargetAnnouncement | undefined => {
	if (status === MISDIRECTED_STATUS || !isAnswerTo(requestId, answerHeaders, dialect)) {
		return undefined;
	}

	const isLeaving = headers.findHeader(answerHeaders, dialect.leavingHeader)?.trim() === dialect.leavingValue;
	const text = status === REFUSED_STATUS ? headers.findHeader(answerHeaders, RETRY_AFTER_HEADER) : undefined;
	if (!isLeaving && text === undefined) {
		return undefined;
	}

	return {isLeaving, ...(text !== undefined && {pause: {text, requestedMs: parseSecondsAsMs(text)}})};
};
