import * as stream from 'node:stream';
import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import * as headers from '../http/headers.js';
import type {WireDialect} from '../http/wire-dialect.js';
import {AnswerReceiver} from './answer-receiver.js';
import {classifyAnswer} from './classify-answer.js';
import {readAnnouncement} from './read-announcement.js';
import {createRetirablePool, type RetirablePool} from './retirable-pool.js';
import {createTargetConnectionPool} from './target-connection-pool.js';

export type FleetTargetClientOptions = {
	readonly dialect: WireDialect;
	/** Longest time for opening a connection, in ms. */
	readonly connectTimeoutMs: number;
	/** How long an idle connection is kept, in ms. A shorter time announced by the target takes precedence. */
	readonly keepAliveMs: number;
	/** Answers up to this size are buffered until they are complete, in bytes. */
	readonly bufferedAnswerLimitBytes: number;
	/**
	 * Connection pools that are kept, one for each target. Beyond that, the least recently used is closed, such as the pool of
	 * a removed target.
	 */
	readonly poolLimitCount: number;
};

export const DEFAULT_FLEET_TARGET_CLIENT_OPTIONS: Omit<FleetTargetClientOptions, 'dialect'> = {
	// Twelve round trips between regions.
	connectTimeoutMs: 500,
	// Well below the 10 s after which the users' targets close idle connections.
	keepAliveMs: 4000,
	// Larger than all answers except photos, so that a broken answer can be retried or reported as a failure.
	bufferedAnswerLimitBytes: 262_144,
	// A node of the planned size sends to far fewer targets within the keep-alive time.
	poolLimitCount: 1000,
};

/** Refusals for which repeated calls get new connections; a faulty target sends a refusal again within seconds. */
const REFUSAL_LIMIT_COUNT = 1000;

const REFUSED_MEANINGS: ReadonlySet<core.AnswerMeaning> = new Set([
	core.AnswerMeaning.NotRun,
	core.AnswerMeaning.Replaced,
]);

type SendResult = neverthrow.Result<core.AttemptAnswer, core.AttemptError>;

const buildHeaders = (
	{call, target, remainingMs}: core.FleetAttempt,
	dialect: WireDialect,
): Record<string, string | string[]> => {
	const ownHeaders = {
		host: call.host,
		[dialect.requestIdHeader]: call.requestId,
		[dialect.remainingMsHeader]: String(Math.max(1, Math.floor(remainingMs))),
		[dialect.expectedTargetHeader]: target.targetId,
		...(call.workspace !== undefined && {[dialect.workspaceHeader]: call.workspace}),
		...(call.bodyLengthBytes !== undefined && {'content-length': String(call.bodyLengthBytes)}),
	};
	// The fleet's own headers come first: HTTP servers on Node.js drop the lines beyond the first 1,000 without a sign.
	return {...ownHeaders, ...headers.groupHeaders(call.headers), ...ownHeaders};
};

/**
 * Opens the body for one attempt. A reader that throws destroys the stream, upon which undici closes the connection before
 * the last chunk, or short of the length.
 */
const openBody = ({body}: domain.ProxiedCall): Uint8Array | stream.Readable | undefined => {
	if (body === undefined || body instanceof Uint8Array) {
		return body;
	}

	const readable = stream.Readable.from(body.open());
	// An attempt may end before undici listens. Without a listener, an error of its body would end the process.
	readable.on('error', () => undefined);
	return readable;
};

const classifyError = (error: Error, isSent: boolean, signal: AbortSignal): core.AttemptError => {
	const detail = String(error);
	if (!isSent) {
		const kind = signal.aborted ? core.AttemptErrorKind.CancelledUnsent : core.AttemptErrorKind.Unreachable;
		return {kind, detail};
	}

	return {kind: signal.aborted ? core.AttemptErrorKind.CancelledSent : core.AttemptErrorKind.Broken, detail};
};

/** Client for targets over HTTP with one connection pool for each target's address. */
export const createFleetTargetClient = (
	given: Pick<FleetTargetClientOptions, 'dialect'> & Partial<FleetTargetClientOptions>,
): core.FleetTargetClient & {close(): Promise<void>} => {
	const options = {...DEFAULT_FLEET_TARGET_CLIENT_OPTIONS, ...given};
	const pools = core.createRecentMap<string, RetirablePool>(options.poolLimitCount);

	/** Refusals that may still be sent again, by address and request id. */
	const refusals = core.createRecentMap<string, true>(REFUSAL_LIMIT_COUNT);

	/** Removes the pool of an address after a fault, because its other connections may not respond either. */
	const discardPool = (address: string): void => {
		const pool = pools.get(address);
		pools.delete(address);
		pool?.retire();
	};

	const createPool = (address: string, connectionLimit: number): RetirablePool =>
		createRetirablePool(createTargetConnectionPool(address, {...options, connectionLimit}));

	/** Returns the pool of an address, and creates it on first use. */
	const getOrCreatePool = (address: string, connectionLimit: number): RetirablePool => {
		const pool = pools.get(address) ?? createPool(address, connectionLimit);
		pools.set(address, pool)?.retire();
		return pool;
	};

	/** Returns the pool for an attempt. A target with an invalid address is unreachable. */
	const selectPool = neverthrow.fromThrowable(
		({target, connectionLimit}: core.FleetAttempt, needsNewConnection: boolean): RetirablePool =>
			needsNewConnection ? createPool(target.address, 1) : getOrCreatePool(target.address, connectionLimit),
		(error): core.AttemptError => ({kind: core.AttemptErrorKind.Unreachable, detail: String(error)}),
	);

	const exchange = async (pool: RetirablePool, attempt: core.FleetAttempt, signal: AbortSignal): Promise<SendResult> =>
		new Promise(resolve => {
			const {call} = attempt;
			const body = openBody(call);
			const settle = (result: SendResult): void => {
				clearTimeout(connectTimer);
				signal.removeEventListener('abort', cancel);
				if (result.isErr() && body instanceof stream.Readable) {
					body.destroy();
				}

				resolve(result);
			};

			const receiver = new AnswerReceiver(options.bufferedAnswerLimitBytes, result => {
				const isStreaming = result.isOk() && !(result.value.body instanceof Uint8Array);
				const announcement = readAnnouncement(receiver.head(), call.requestId, options.dialect);
				const outcome = result
					.map(answer => ({
						meaning: classifyAnswer(answer, call.requestId, options.dialect),
						answer,
						...(announcement && {announcement}),
					}))
					.mapErr(error => ({
						...classifyError(error, receiver.isSent, signal),
						...(announcement && {announcement}),
					}));
				settle(outcome);
				if (isStreaming) {
					// Aborts the rest of the answer when the caller disconnects.
					signal.addEventListener('abort', cancel, {once: true});
				}
			});
			const cancel = (): void => {
				const {isSent} = receiver;
				receiver.cancel(core.STOP_REASON);
				if (!isSent) {
					settle(neverthrow.err({kind: core.AttemptErrorKind.CancelledUnsent, detail: 'cancelled before it was sent'}));
				}
			};

			const connectTimer = setTimeout(() => {
				if (!receiver.isSent) {
					receiver.cancel(core.STOP_REASON);
					const detail = `no connection within ${options.connectTimeoutMs} ms`;
					settle(neverthrow.err({kind: core.AttemptErrorKind.Unreachable, detail}));
				}
			}, options.connectTimeoutMs);
			signal.addEventListener('abort', cancel, {once: true});
			pool.dispatch(
				{
					method: call.method,
					path: call.pathAndQuery,
					headers: buildHeaders(attempt, options.dialect),
					body,
				},
				receiver,
			);
			if (signal.aborted) {
				cancel();
			}
		});

	return {
		async send(attempt, signal) {
			const {address} = attempt.target;
			const refusalKey = `${address} ${attempt.call.requestId}`;
			// Callers may use a request id again, so the refusals of earlier calls count too.
			const needsNewConnection = attempt.needsNewConnection || refusals.get(refusalKey) === true;
			const pool = selectPool(attempt, needsNewConnection);
			if (pool.isErr()) {
				return neverthrow.err(pool.error);
			}

			const result = await exchange(pool.value, attempt, signal);
			if (needsNewConnection) {
				pool.value.retire();
			}

			if (result.isOk() && REFUSED_MEANINGS.has(result.value.meaning)) {
				refusals.set(refusalKey, true);
			}

			// Once a connection has delivered the answer to another call, each later answer on it is one call behind.
			const isMismatched = result.isOk() && result.value.meaning === core.AnswerMeaning.Mismatched;
			if ((result.isErr() && !signal.aborted) || isMismatched) {
				discardPool(address);
			}

			return result;
		},
		async close() {
			// The pools are removed first: a call that fails because of the shutdown would otherwise close a destroyed pool, which
			// is an error.
			await Promise.all(pools.removeAll().map(async pool => pool.destroy()));
		},
	};
};
