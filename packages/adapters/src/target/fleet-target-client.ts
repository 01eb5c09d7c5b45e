import * as stream from 'node:stream';
import * as core from '@bilberrydoor/core';
import * as neverthrow from 'neverthrow';
import type * as undici from 'undici';
import {isConnectError} from '../http/connect-error.js';
import * as headers from '../http/headers.js';
import type {WireDialect} from '../http/wire-dialect.js';
import {AnswerReceiver} from './answer-receiver.js';
import {readMeaning} from './read-meaning.js';
import {createWholeAnswerPool} from './whole-answer-pool.js';

export type FleetTargetClientOptions = {
	readonly dialect: WireDialect;
	/** Longest time for opening a connection, in ms. */
	readonly connectTimeoutMs: number;
	/** How long an idle connection is kept, in ms; targets that announce a shorter time are obeyed. */
	readonly keepAliveMs: number;
	/** Answers up to this size are held until they are whole, in bytes. */
	readonly heldAnswerLimitBytes: number;
	/** Targets whose connections are kept; those used least recently are closed first, among them targets that are gone. */
	readonly poolLimitCount: number;
};

export const DEFAULT_FLEET_TARGET_CLIENT_OPTIONS: Omit<FleetTargetClientOptions, 'dialect'> = {
	// Twelve round trips between regions.
	connectTimeoutMs: 500,
	// Well below the 10 s after which the users' targets close idle connections.
	keepAliveMs: 4000,
	// Larger than all but photos, so that a broken answer can be replaced by a retry or an honest failure.
	heldAnswerLimitBytes: 262_144,
	// A node of the planned size sends to far fewer targets within the keep-alive time.
	poolLimitCount: 1000,
};

type AttemptResult = neverthrow.Result<core.AttemptAnswer, core.AttemptError>;

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

const classifyError = (error: Error, isSent: boolean, signal: AbortSignal): core.AttemptError => {
	const detail = String(error);
	if (isConnectError(error) || !isSent) {
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
	const pools = core.createRecentMap<string, undici.Dispatcher>(options.poolLimitCount);

	/** Drops the connections to an address after a fault, since others may be silent too. */
	const retirePool = (address: string): void => {
		const pool = pools.get(address);
		pools.delete(address);
		void pool?.close();
	};

	/** Opens the pool of an address. An address that no connection can be opened to makes the target unreachable. */
	const openPool = neverthrow.fromThrowable(
		(address: string, connectionLimit: number): undici.Dispatcher => {
			const pool = pools.get(address) ?? createWholeAnswerPool(address, {...options, connectionLimit});
			void pools.set(address, pool)?.close();
			return pool;
		},
		(error): core.AttemptError => ({kind: core.AttemptErrorKind.Unreachable, detail: String(error)}),
	);

	const exchange = async (
		pool: undici.Dispatcher,
		attempt: core.FleetAttempt,
		signal: AbortSignal,
	): Promise<AttemptResult> =>
		new Promise(resolve => {
			const {call} = attempt;
			const end = (result: AttemptResult): void => {
				clearTimeout(connectTimer);
				signal.removeEventListener('abort', cancel);
				resolve(result);
			};

			const receiver = new AnswerReceiver(options.heldAnswerLimitBytes, result => {
				const isStreaming = result.isOk() && !(result.value.body instanceof Uint8Array);
				const outcome = result
					.map(answer => ({meaning: readMeaning(answer, call.requestId, options.dialect), answer}))
					.mapErr(error => classifyError(error, receiver.isSent, signal));
				end(outcome);
				if (isStreaming) {
					// The rest of the answer is cut off when the caller leaves.
					signal.addEventListener('abort', cancel, {once: true});
				}
			});
			const cancel = (): void => {
				const {isSent} = receiver;
				receiver.cancel(core.STOP_REASON);
				if (!isSent) {
					end(neverthrow.err({kind: core.AttemptErrorKind.CancelledUnsent, detail: 'cancelled before it was sent'}));
				}
			};

			const connectTimer = setTimeout(() => {
				if (!receiver.isSent) {
					receiver.cancel(core.STOP_REASON);
					const detail = `no connection within ${options.connectTimeoutMs} ms`;
					end(neverthrow.err({kind: core.AttemptErrorKind.Unreachable, detail}));
				}
			}, options.connectTimeoutMs);
			signal.addEventListener('abort', cancel, {once: true});
			pool.dispatch(
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
			const pool = openPool(attempt.target.address, attempt.connectionLimit);
			if (pool.isErr()) {
				return neverthrow.err(pool.error);
			}

			const result = await exchange(pool.value, attempt, signal);
			// After the answer to another call, each later one on the connection would be that to the call before.
			const isForeign = result.isOk() && result.value.meaning === core.AnswerMeaning.Foreign;
			if ((result.isErr() && !signal.aborted) || isForeign) {
				retirePool(attempt.target.address);
			}

			return result;
		},
		async close() {
			// Calls that fail because of the end must not find their pools, since a destroyed pool cannot be closed.
			await Promise.all(pools.takeAll().map(async pool => pool.destroy()));
		},
	};
};
