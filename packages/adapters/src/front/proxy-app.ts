import type * as http from 'node:http';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as nodeServerResponse from '@hono/node-server/utils/response';
import * as hono from 'hono';
import * as neverthrow from 'neverthrow';
import * as headers from '../http/headers.js';
import type {ClientGuard} from '../http/client-guard.js';
import type {NodeBindings} from '../http/http-listener.js';
import type {WireDialect} from '../http/wire-dialect.js';
import {writeBody} from '../http/write-body.js';
import {BodyReadError, readCallBody, type ReadBody} from './read-call-body.js';
import {readCredential, removeIdentityHeaders} from './read-credential.js';

export type ProxyAppOptions = {
	readonly dialect: WireDialect;
	readonly proxy: core.CallProxy;
	readonly clock: core.Clock;
	readonly random: core.Random;
	readonly logger: core.Logger;
	/** Returns the largest allowed request head in bytes, according to the current catalogue. */
	readonly getHeaderLimitBytes: () => number;
	/** Returns the largest allowed request body in bytes, according to the current catalogue. */
	readonly getBodyLimitBytes: () => number;
	/** Whether each connection is closed after its answer. */
	readonly isClosing: () => boolean;
	/**
	 * Bytes of a body that are read before a target is chosen and held for further attempts. A call with a larger body gets
	 * one attempt at most that sends more than this.
	 */
	readonly heldBodyLimitBytes?: number;
	/** Bounds the bodies and the answers that the process holds. */
	readonly guard?: ClientGuard;
};

/** Larger than the users' largest photos, so that a slow upload does not occupy a slot of a target. */
const DEFAULT_HELD_BODY_LIMIT_BYTES = 524_288;

/** Bytes that streams and connections hold of an answer that is not buffered whole. */
const STREAMED_BYTES = 131_072;

const MS_PER_SECOND = 1000;
const BODYLESS_STATUSES = new Set([204, 304]);

/** Statuses of calls that no target ran, where they differ from 503. */
const REFUSED_STATUSES: Partial<Record<domain.RefusalReason, number>> = {
	[domain.RefusalReason.UnknownRoute]: 404,
	[domain.RefusalReason.BadRequest]: 400,
	[domain.RefusalReason.BodyTooLarge]: 413,
	[domain.RefusalReason.Unauthenticated]: 401,
	[domain.RefusalReason.QuotaExceeded]: 429,
};
const DEFAULT_REFUSED_STATUS = 503;
const UNAUTHENTICATED_STATUS = 401;

/** Statuses of calls that may have run, where they differ from 502. None of them states that the call was not run. */
const FAILED_STATUSES: Partial<Record<domain.RefusalReason, number>> = {
	[domain.RefusalReason.DeadlineExceeded]: 504,
	[domain.RefusalReason.TargetTimedOut]: 504,
};
const DEFAULT_FAILED_STATUS = 502;

/** Statuses of calls whose body was not read, and which have not run. The connection of an incomplete body has ended. */
const BODY_ERROR_STATUSES: Record<BodyReadError, number | undefined> = {
	[BodyReadError.TooLarge]: 413,
	[BodyReadError.TooLate]: 408,
	[BodyReadError.Aborted]: undefined,
};

/** Size in bytes of the names and values of a request's head, as the HTTP parser counts them. */
const measureHeadBytes = ({url = '', rawHeaders}: http.IncomingMessage): number =>
	rawHeaders.reduce((sumBytes, text) => sumBytes + text.length, url.length);

const parseDeadline = (value: string | undefined): number | undefined => {
	const deadlineMs = Number(value);
	return value !== undefined && Number.isFinite(deadlineMs) && deadlineMs > 0 ? deadlineMs : undefined;
};

const formatSeconds = (durationMs: number): string => (durationMs / MS_PER_SECOND).toFixed(3);

/** Creates the HTTP application that forwards the calls of callers to targets. */
export const createProxyApp = (options: ProxyAppOptions): hono.Hono<NodeBindings> => {
	const {dialect, clock} = options;
	const heldBytes = options.heldBodyLimitBytes ?? DEFAULT_HELD_BODY_LIMIT_BYTES;
	const proxySetHeaders = new Set([dialect.remainingMsHeader, dialect.expectedTargetHeader, 'host', 'content-length']);

	const buildConnectionHeader = (): Record<string, string> => (options.isClosing() ? {connection: 'close'} : {});

	const writeAnswer = async (outgoing: http.ServerResponse, answer: domain.TargetAnswer, method: string) => {
		const forwardable = headers.selectForwardableHeaders(answer.headers);
		const isBuffered = answer.body instanceof Uint8Array;
		const isBodyless = method === 'HEAD' || BODYLESS_STATUSES.has(answer.status);
		const answerHeaders = forwardable.filter(([name]) => isBodyless || !isBuffered || name !== 'content-length');
		outgoing.writeHead(answer.status, {
			...headers.groupHeaders(answerHeaders),
			...(isBuffered && !isBodyless && {'content-length': String(answer.body.byteLength)}),
			...buildConnectionHeader(),
		});
		options.guard?.holdAnswer(outgoing, answer.body instanceof Uint8Array ? answer.body.byteLength : STREAMED_BYTES);
		if (answer.body instanceof Uint8Array) {
			outgoing.end(answer.body);
			return;
		}

		await writeBody(answer.body, outgoing);
	};

	const writeEmptyResponse = (
		outgoing: http.ServerResponse,
		status: number,
		requestId: string,
		extraHeaders: Record<string, string> = {},
	): void => {
		outgoing.writeHead(status, {
			[dialect.requestIdHeader]: requestId,
			'content-length': '0',
			...extraHeaders,
			...buildConnectionHeader(),
		});
		outgoing.end();
	};

	type EndingWriters = {
		[Outcome in domain.ProxyOutcome]: (
			outgoing: http.ServerResponse,
			ending: Extract<domain.ProxyEnding, {outcome: Outcome}>,
			call: Pick<domain.ProxiedCall, 'requestId' | 'method'>,
		) => Promise<void>;
	};

	const endingWriters: EndingWriters = {
		[domain.ProxyOutcome.Answered]: async (outgoing, ending, call) => writeAnswer(outgoing, ending.answer, call.method),
		async [domain.ProxyOutcome.Refused](outgoing, ending, call) {
			const status = REFUSED_STATUSES[ending.reason] ?? DEFAULT_REFUSED_STATUS;
			writeEmptyResponse(outgoing, status, call.requestId, {
				...(ending.retryAfterMs !== undefined && {'retry-after': formatSeconds(ending.retryAfterMs)}),
				...(status === UNAUTHENTICATED_STATUS && {'www-authenticate': 'Bearer'}),
			});
		},
		async [domain.ProxyOutcome.Failed](outgoing, ending, call) {
			writeEmptyResponse(outgoing, FAILED_STATUSES[ending.reason] ?? DEFAULT_FAILED_STATUS, call.requestId);
		},
		async [domain.ProxyOutcome.Abandoned](outgoing) {
			outgoing.destroy();
		},
	};

	/** Reads a body until its call's deadline. A call whose body arrives later cannot be served. */
	const readBodyInTime = async (
		incoming: http.IncomingMessage,
		deadlineAtMs: number,
		signal: AbortSignal,
	): Promise<neverthrow.Result<ReadBody, BodyReadError>> => {
		const timeoutMs = deadlineAtMs - clock.monotonicMs();
		const limits = {heldBytes, totalBytes: options.getBodyLimitBytes()};
		const timed = await core.runWithTimeout({clock, timeoutMs, signal}, async () => readCallBody(incoming, limits));
		return timed.isTimedOut ? neverthrow.err(BodyReadError.TooLate) : timed.value;
	};

	const handleRequest = async (incoming: http.IncomingMessage, outgoing: http.ServerResponse): Promise<void> => {
		const receivedAtMs = clock.monotonicMs();
		const headerList = headers.pairRawHeaders(incoming.rawHeaders);
		const requestId = headers.findHeader(headerList, dialect.requestIdHeader) ?? options.random.token();
		const headBytes = measureHeadBytes(incoming);
		if (headBytes > options.getHeaderLimitBytes()) {
			options.logger.info('request head refused', {event: core.LogEvent.HeadRefused, requestId, headBytes});
			writeEmptyResponse(outgoing, 431, requestId, {connection: 'close'});
			return;
		}

		const controller = new AbortController();
		outgoing.on('close', () => {
			controller.abort(core.STOP_REASON);
		});
		const method = incoming.method ?? 'GET';
		const head: domain.CallHead = {
			requestId,
			host: incoming.headers.host ?? '',
			pathAndQuery: incoming.url ?? '/',
			receivedAtMs,
			deadlineMs: parseDeadline(headers.findHeader(headerList, dialect.remainingMsHeader)),
			readCredential: () => readCredential(headerList),
		};
		const admission = await options.proxy.admit(head, controller.signal);
		if (!admission.isAdmitted) {
			await endingWriters[admission.ending.outcome](outgoing, admission.ending, {requestId, method});
			return;
		}

		const arriving = options.guard?.holdBody(incoming, outgoing, heldBytes);
		if (options.guard && !arriving) {
			options.guard.refuse(incoming, outgoing);
			return;
		}

		const read = await readBodyInTime(incoming, admission.deadlineAtMs, controller.signal);
		arriving?.endArrival();
		if (read.isErr()) {
			options.logger.info('request body refused', {event: core.LogEvent.BodyRefused, requestId, problem: read.error});
			const status = BODY_ERROR_STATUSES[read.error];
			if (status !== undefined) {
				writeEmptyResponse(outgoing, status, requestId, {connection: 'close'});
			}

			return;
		}

		const {close, ...body} = read.value;
		const forwardable = headers.selectForwardableHeaders(headerList).filter(([name]) => !proxySetHeaders.has(name));
		const call: domain.ProxiedCall = {
			requestId,
			host: head.host,
			method,
			pathAndQuery: head.pathAndQuery,
			headers: admission.isKeyed ? removeIdentityHeaders(forwardable, dialect.workspaceHeader) : forwardable,
			...body,
			deadlineMs: head.deadlineMs,
			receivedAtMs,
			workspace: admission.workspace,
			isSentAhead: options.guard?.isSentAhead(incoming),
		};
		try {
			const ending = await options.proxy.handle(call, controller.signal);
			if (!outgoing.destroyed) {
				const write = endingWriters[ending.outcome] as (
					outgoing: http.ServerResponse,
					ending: domain.ProxyEnding,
					call: domain.ProxiedCall,
				) => Promise<void>;
				await write(outgoing, ending, call);
			}
		} finally {
			close();
		}
	};

	const app = new hono.Hono<NodeBindings>();
	app.all('*', async context => {
		const {incoming, outgoing} = context.env;
		try {
			await handleRequest(incoming, outgoing);
		} catch (error) {
			options.logger.error('call handling failed', {event: core.LogEvent.CallHandlingFailed, error: String(error)});
			outgoing.destroy();
		}

		return nodeServerResponse.RESPONSE_ALREADY_SENT;
	});
	return app;
};
