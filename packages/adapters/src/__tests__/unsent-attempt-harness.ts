import {Buffer} from 'node:buffer';
import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import type {ExecutionContext} from 'ava';
import {createFleetTargetClient} from '../target/fleet-target-client.js';
import {buildAttempt, DIALECT} from './build-attempt.js';
import {startRecordingTarget, TargetConduct} from './recording-target.js';

/** Results after which a call may be refused as not run. */
const UNSENT_KINDS: ReadonlySet<string> = new Set([
	core.AttemptErrorKind.Unreachable,
	core.AttemptErrorKind.CancelledUnsent,
]);

/** Time in which an attempt that was still queued somewhere would arrive. */
export const QUIET_MS = 120;

export enum BodyKind {
	None = 'none',
	Bytes = 'bytes',
	Stream = 'stream',
}

async function* streamBody(): AsyncGenerator<Uint8Array> {
	yield Buffer.alloc(1000, 'x');
	await timersPromises.setTimeout(2);
	yield Buffer.alloc(1000, 'x');
}

const BODIES: Record<BodyKind, () => domain.ProxiedCall['body']> = {
	[BodyKind.None]: () => undefined,
	[BodyKind.Bytes]: () => Buffer.alloc(2000, 'x'),
	[BodyKind.Stream]: () => core.createHeldBody(streamBody(), {limitBytes: 0}),
};

/** Stops this thread, as a pause of the node does: what became due meanwhile happens afterwards, timers first. */
export const pauseNode = (durationMs: number): void => {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
};

export type HarnessOptions = {
	readonly conduct?: TargetConduct;
	readonly connectTimeoutMs?: number;
	readonly limit?: number;
};

export const createHarness = async (t: ExecutionContext, given: HarnessOptions = {}) => {
	const {conduct = TargetConduct.Prompt, connectTimeoutMs = 5000, limit = 1} = given;
	const target = await startRecordingTarget(t, conduct);
	const client = createFleetTargetClient({dialect: DIALECT, connectTimeoutMs});
	t.teardown(async () => client.close());
	const kinds = new Map<string, string>();
	const send = async (requestId: string, signal = new AbortController().signal, body = BodyKind.None) => {
		const attempt = buildAttempt(target.address, requestId);
		const call = {...attempt.call, method: 'POST', body: BODIES[body]()};
		const result = await client.send({...attempt, call, connectionLimit: limit}, signal);
		kinds.set(requestId, result.isOk() ? result.value.meaning : result.error.kind);
	};

	/** Attempts that arrived although the client called them unsent, and those that arrived more than once. */
	const listViolations = (): string[] => [
		...[...kinds]
			.filter(([requestId, kind]) => UNSENT_KINDS.has(kind) && target.arrivals.has(requestId))
			.map(([requestId, kind]) => `${requestId} is ${kind} and arrived`),
		...[...target.arrivals]
			.filter(([, count]) => count > 1)
			.map(([requestId, count]) => `${requestId} arrived ${count} times`),
	];
	return {target, send, kinds, listViolations};
};

export type Harness = Awaited<ReturnType<typeof createHarness>>;
