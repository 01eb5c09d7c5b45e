import type {Answer, CompletedEnding, NotRunEnding, UnknownEnding} from './call.js';
import {Outcome} from './outcome.js';
import type {RefusalReason} from './refusal-reason.js';

export const completed = (answer: Answer): CompletedEnding => ({outcome: Outcome.Completed, answer});

export const notRun = (
	reason: RefusalReason,
	detail: string,
	options: {retryAfterMs?: number; operationId?: string} = {},
): NotRunEnding => ({outcome: Outcome.NotRun, reason, detail, ...options});

export const unknown = (reason: RefusalReason, detail: string): UnknownEnding => ({
	outcome: Outcome.Unknown,
	reason,
	detail,
});
