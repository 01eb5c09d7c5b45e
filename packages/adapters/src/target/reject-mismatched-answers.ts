import * as core from '@bilberrydoor/core';
import type * as undici from 'undici';

/** Header with the id of an attempt. Targets repeat it in their answers. */
export const ATTEMPT_ID_HEADER = 'bilberrydoor-attempt-id';

/** Thrown when an answer names another attempt than the one that waits for it. */
export class MismatchedAnswerError extends Error {
	override readonly name = 'MismatchedAnswerError';
}

type GroupedHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Compares the attempt id of an answer with the one of its request. A header that occurs twice names no one attempt. */
export const matchAnswerHeaders = (attemptId: string, answerHeaders: GroupedHeaders): core.AnswerMatch =>
	core.matchAnswer(attemptId, answerHeaders[ATTEMPT_ID_HEADER]?.toString());

/**
 * Fails requests whose answers name another attempt, and closes the connection: once it has delivered the answer to
 * another request, each later answer is one request behind. This happens when the head arrives, because a short answer
 * has already returned its connection to the pool when the code that waits for it runs.
 */
export const rejectMismatchedAnswers: undici.Dispatcher.DispatcherComposeInterceptor =
	dispatch => (dispatchOptions, handler) => {
		const attemptId = (dispatchOptions.headers as GroupedHeaders)[ATTEMPT_ID_HEADER]!.toString();
		return dispatch(dispatchOptions, {
			onRequestStart: (controller, context) => handler.onRequestStart?.(controller, context),
			onRequestUpgrade: (controller, status, headers, socket) =>
				handler.onRequestUpgrade?.(controller, status, headers, socket),
			onResponseStart(controller, status, answerHeaders, message) {
				if (matchAnswerHeaders(attemptId, answerHeaders) === core.AnswerMatch.Mismatched) {
					controller.abort(new MismatchedAnswerError('the answer names another attempt'));
					return;
				}

				handler.onResponseStart?.(controller, status, answerHeaders, message);
			},
			onResponseData: (controller, chunk) => handler.onResponseData?.(controller, chunk),
			onResponseEnd: (controller, trailers) => handler.onResponseEnd?.(controller, trailers),
			onResponseError: (controller, error) => handler.onResponseError?.(controller, error),
		});
	};
