import {Buffer} from 'node:buffer';
import * as stream from 'node:stream';
import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';
import {isConnectError} from '../http/connect-error.js';
import * as headers from '../http/headers.js';
import type {WireDialect} from '../http/wire-dialect.js';

export type FleetTargetClientOptions = {
	readonly dialect: WireDialect;
	/** Longest time for opening a connection, in ms. */
	readonly connectTimeoutMs: number;
	/** How long an idle connection is kept, in ms; targets that announce a shorter time are obeyed. */
	readonly keepAliveMs: number;
	/** Answers up to this size are held until they are whole, in bytes. */
	readonly heldAnswerLimitBytes: number;
};

export const DEFAULT_FLEET_TARGET_CLIENT_OPTIONS: Omit<FleetTargetClientOptions, 'dialect'> = {
	// Twelve round trips between regions.
	connectTimeoutMs: 500,
	// Well below the 10 s after which the users' targets close idle connections.
	keepAliveMs: 4000,
	// Larger than all but photos, so that a broken answer can be replaced by a retry or an honest failure.
	heldAnswerLimitBytes: 262_144,
};

type AttemptResult = neverthrow.Result<core.AttemptAnswer, core.AttemptError>;

/** Statuses that promise to callers that a request has not run; a target's own need its mark. */
const PROMISE_STATUSES = new Set([408, 429, 503]);

const MISDIRECTED_STATUS = 421;
const FAILURE_STATUS_MINIMUM = 500;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

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

	if (answer.status === MISDIRECTED_STATUS) {
		return core.AnswerMeaning.Replaced;
	}

	if (headers.findHeader(answer.headers, dialect.notRunHeader) !== undefined) {
		return core.AnswerMeaning.NotRun;
	}

	const isProven = headers.findHeader(answer.headers, dialect.signatureHeader) !== undefined;
	const isUnproven = isSuccess(answer.status) && (!isProven || answeredId === undefined);
	// Handing on a promise that the target did not mean would tell the caller that the call has not run.
	if (isUnproven || PROMISE_STATUSES.has(answer.status)) {
		return core.AnswerMeaning.Foreign;
	}

	return answer.status >= FAILURE_STATUS_MINIMUM ? core.AnswerMeaning.Failed : core.AnswerMeaning.Completed;
};

const buildHeaders = (
	{call, target, remainingMs}: core.FleetAttempt,
	dialect: WireDialect,
): Record<string, string | string[]> => ({
	...headers.groupHeaders(call.headers),
	host: call.host,
	[dialect.requestIdHeader]: call.requestId,
	[dialect.remainingMsHeader]: String(Math.max(1, Math.floor(remainingMs))),
	[dialect.expectedTargetHeader]: target.targetId,
});

/** Tells whether a connection's end is being handled: answers that complete meanwhile complete because of it. */
type ConnectionEnds = {
	note(): void;
	isHandling(): boolean;
};

const createConnectionEnds = (): ConnectionEnds => {
	let isHandling = false;
	return {
		note() {
			isHandling = true;
			// The listeners of one event run before any microtask.
			queueMicrotask(() => {
				isHandling = false;
			});
		},
		isHandling: () => isHandling,
	};
};

/** Receives one answer: holds it while it is small, and turns it into a stream when it grows. */
class AnswerReceiver implements undici.Dispatcher.DispatchHandler {
	isSent = false;
	private controller: undici.Dispatcher.DispatchController | undefined;
	private cancelReason: Error | undefined;
	private status = 0;
	private answerHeaders: domain.HeaderList = [];
	private chunks: Uint8Array[] = [];
	private sizeBytes = 0;
	private overflow: stream.Readable | undefined;

	constructor(
		private readonly limitBytes: number,
		private readonly ends: ConnectionEnds,
		private readonly finish: (result: neverthrow.Result<domain.TargetAnswer, Error>) => void,
	) {}

	onRequestStart(controller: undici.Dispatcher.DispatchController): void {
		this.controller = controller;
		if (this.cancelReason) {
			controller.abort(this.cancelReason);
			return;
		}

		this.isSent = true;
	}

	onResponseStart(
		_controller: undici.Dispatcher.DispatchController,
		status: number,
		answerHeaders: Record<string, string | string[] | undefined>,
	): void {
		this.status = status;
		this.answerHeaders = headers.listGroupedHeaders(answerHeaders);
	}

	onResponseData(controller: undici.Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.overflow) {
			this.pushOverflow(controller, chunk);
			return;
		}

		this.chunks.push(chunk);
		this.sizeBytes += chunk.byteLength;
		if (this.sizeBytes > this.limitBytes) {
			this.startOverflow(controller);
		}
	}

	onResponseEnd(): void {
		// A crashed target's half answer looks the same, so only a length proves that such an answer is whole.
		const hasLength = headers.findHeader(this.answerHeaders, 'content-length') !== undefined;
		if (this.ends.isHandling() && !hasLength) {
			this.onResponseError(undefined, new Error('the connection ended, and nothing shows that the answer is whole'));
			return;
		}

		if (this.overflow) {
			this.overflow.push(null);
			return;
		}

		this.finish(neverthrow.ok({...this.describeHead(), body: Buffer.concat(this.chunks)}));
	}

	onResponseError(_controller: unknown, error: Error): void {
		this.overflow?.destroy(error);
		this.finish(neverthrow.err(error));
	}

	/** Stops the exchange; before the request is sent, it never will be. */
	cancel(reason: Error): void {
		this.cancelReason = reason;
		this.controller?.abort(reason);
	}

	private describeHead(): Pick<domain.TargetAnswer, 'status' | 'headers'> {
		return {status: this.status, headers: this.answerHeaders};
	}

	private startOverflow(controller: undici.Dispatcher.DispatchController): void {
		const overflow = new stream.Readable({
			read() {
				controller.resume();
			},
		});
		this.overflow = overflow;
		this.chunks.forEach(chunk => {
			this.pushOverflow(controller, chunk);
		});
		this.chunks = [];
		this.finish(neverthrow.ok({...this.describeHead(), body: overflow}));
	}

	private pushOverflow(controller: undici.Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (!this.overflow?.push(chunk)) {
			controller.pause();
		}
	}
}

const classifyError = (error: Error, isSent: boolean, signal: AbortSignal): core.AttemptError => {
	const detail = String(error);
	if (isConnectError(error) || !isSent) {
		const kind = signal.aborted ? core.AttemptErrorKind.CancelledUnsent : core.AttemptErrorKind.Unreachable;
		return {kind, detail};
	}

	return {kind: signal.aborted ? core.AttemptErrorKind.CancelledSent : core.AttemptErrorKind.Broken, detail};
};

/**
 * Opens connections that note their ends before undici handles them. Undici completes an answer when a connection that is
 * not kept ends or is reset, also in the middle of a chunked body, and half an answer would pass as a whole one.
 */
const createConnector = (connectTimeoutMs: number, ends: ConnectionEnds): undici.buildConnector.connector => {
	const connect = undici.buildConnector({timeout: connectTimeoutMs});
	return (connectOptions, callback) => {
		connect(connectOptions, (...result) => {
			const [, socket] = result;
			['end', 'error', 'close'].forEach(event => {
				socket?.prependListener(event, ends.note);
			});
			callback(...result);
		});
	};
};

/** Client for targets over HTTP with one connection pool for each target's address. */
export const createFleetTargetClient = (
	given: Pick<FleetTargetClientOptions, 'dialect'> & Partial<FleetTargetClientOptions>,
): core.FleetTargetClient & {close(): Promise<void>} => {
	const options = {...DEFAULT_FLEET_TARGET_CLIENT_OPTIONS, ...given};
	const pools = new Map<string, undici.Pool>();
	const ends = createConnectionEnds();

	const openPool = (address: string, connectionLimit: number): undici.Pool => {
		const existing = pools.get(address);
		if (existing) {
			return existing;
		}

		const pool = new undici.Pool(`http://${address}`, {
			connections: connectionLimit,
			pipelining: 1,
			keepAliveTimeout: options.keepAliveMs,
			keepAliveMaxTimeout: options.keepAliveMs,
			// The call has its own deadline, and a second clock would end it earlier.
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: createConnector(options.connectTimeoutMs, ends),
		});
		pools.set(address, pool);
		return pool;
	};

	/** Drops the connections to an address after a fault, since others may be silent too. */
	const retirePool = (address: string): void => {
		const pool = pools.get(address);
		pools.delete(address);
		void pool?.close();
	};

	const exchange = async (attempt: core.FleetAttempt, signal: AbortSignal): Promise<AttemptResult> =>
		new Promise(resolve => {
			const {call, target} = attempt;
			const receiver = new AnswerReceiver(options.heldAnswerLimitBytes, ends, result => {
				clearTimeout(connectTimer);
				resolve(
					result
						.map(answer => ({meaning: readMeaning(answer, call.requestId, options.dialect), answer}))
						.mapErr(error => classifyError(error, receiver.isSent, signal)),
				);
			});
			const cancel = (): void => {
				const {isSent} = receiver;
				receiver.cancel(core.STOP_REASON);
				if (!isSent) {
					resolve(
						neverthrow.err({kind: core.AttemptErrorKind.CancelledUnsent, detail: 'cancelled before it was sent'}),
					);
				}
			};

			const connectTimer = setTimeout(() => {
				if (!receiver.isSent) {
					receiver.cancel(core.STOP_REASON);
					const detail = `no connection within ${options.connectTimeoutMs} ms`;
					resolve(neverthrow.err({kind: core.AttemptErrorKind.Unreachable, detail}));
				}
			}, options.connectTimeoutMs);
			signal.addEventListener('abort', cancel, {once: true});
			openPool(target.address, attempt.connectionLimit).dispatch(
				{
					method: call.method,
					path: call.pathAndQuery,
					headers: buildHeaders(attempt, options.dialect),
					body: call.body instanceof Uint8Array ? call.body : call.body && stream.Readable.from(call.body),
				},
				receiver,
			);
			if (signal.aborted) {
				cancel();
			}
		});

	return {
		async send(attempt, signal) {
			const result = await exchange(attempt, signal);
			if (result.isErr() && !signal.aborted) {
				retirePool(attempt.target.address);
			}

			return result;
		},
		async close() {
			await Promise.all([...pools.values()].map(async pool => pool.destroy()));
		},
	};
};
