import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import type * as undici from 'undici';
import * as headers from '../http/headers.js';
import {isConnectError} from '../http/connect-error.js';
import {
	ATTEMPT_ID_HEADER,
	matchAnswerHeaders,
	MismatchedAnswerError,
	rejectMismatchedAnswers,
} from './reject-mismatched-answers.js';
import {createTargetConnectionPool} from './target-connection-pool.js';

export type UndiciTargetClientOptions = {
	/** Longest time for opening a connection, in ms. */
	readonly connectTimeoutMs: number;
	/** How long an idle connection is kept, in ms. Common servers keep it longer and thus rarely close it first. */
	readonly keepAliveMs: number;
};

export const DEFAULT_UNDICI_TARGET_CLIENT_OPTIONS: UndiciTargetClientOptions = {
	connectTimeoutMs: 1000,
	keepAliveMs: 4000,
};

const classifyError = (error: unknown, signal: AbortSignal): core.TargetError => {
	const detail = String(error);
	if (error instanceof MismatchedAnswerError) {
		return {kind: core.TargetErrorKind.Mismatched, detail};
	}

	if (isConnectError(error)) {
		return {kind: core.TargetErrorKind.Unreachable, detail};
	}

	return {kind: signal.aborted ? core.TargetErrorKind.Cancelled : core.TargetErrorKind.Lost, detail};
};

const buildHeaders = (request: core.TargetRequest): Record<string, string | string[]> => ({
	...headers.groupHeaders(request.headers),
	[ATTEMPT_ID_HEADER]: request.attemptId,
	'bilberrydoor-deadline-ms': String(Math.max(0, Math.floor(request.remainingMs))),
	...(request.bodyLengthBytes !== undefined && {'content-length': String(request.bodyLengthBytes)}),
});

/** Target client over HTTP with one connection pool for each target. */
export const createUndiciTargetClient = (
	given: Partial<UndiciTargetClientOptions> = {},
): core.TargetClient & {close(): Promise<void>} => {
	const options = {...DEFAULT_UNDICI_TARGET_CLIENT_OPTIONS, ...given};
	const pools = new Map<string, undici.Dispatcher>();

	const getOrCreatePool = (target: domain.TargetEntry): undici.Dispatcher => {
		const existing = pools.get(target.address);
		if (existing) {
			return existing;
		}

		const {connectionLimit} = target;
		const pool = createTargetConnectionPool(target.address, {...options, connectionLimit}).compose(
			rejectMismatchedAnswers,
		);
		pools.set(target.address, pool);
		return pool;
	};

	return {
		async send(target, request, signal) {
			try {
				const response = await getOrCreatePool(target).request({
					method: request.method,
					path: request.pathAndQuery,
					headers: buildHeaders(request),
					body: request.body as undici.Dispatcher.RequestOptions['body'],
					signal,
				});
				return neverthrow.ok({
					status: response.statusCode,
					headers: headers.listGroupedHeaders(response.headers),
					body: response.body,
					isConfirmed: matchAnswerHeaders(request.attemptId, response.headers) === core.AnswerMatch.Confirmed,
				});
			} catch (error) {
				return neverthrow.err(classifyError(error, signal));
			}
		},
		async probe(target, attemptId, signal) {
			try {
				const response = await getOrCreatePool(target).request({
					method: 'GET',
					path: '/healthz',
					headers: {[ATTEMPT_ID_HEADER]: attemptId},
					signal,
				});
				await response.body.dump();
				return neverthrow.ok({
					isReady: response.statusCode === 200,
					isLeaving: response.headers['bilberrydoor-leaving'] !== undefined,
				});
			} catch (error) {
				return neverthrow.err(classifyError(error, signal));
			}
		},
		async close() {
			await Promise.all([...pools.values()].map(async pool => pool.destroy()));
		},
	};
};
