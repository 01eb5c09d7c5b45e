import * as timersPromises from 'node:timers/promises';
import type * as core from '@bilberrydoor/core';
import * as standIns from '@bilberrydoor/stand-ins';
import * as undici from 'undici';

/** One call and its result; for work that must run at most once, the result of its last submission. */
export type SystemCall = {
	readonly label: string;
	readonly path: string;
	readonly front: string;
	readonly isShort: boolean;
	readonly startedAtMs: number;
	readonly result: standIns.TrafficResult;
};

type CallKind = {
	readonly method: 'GET' | 'POST' | 'PUT';
	readonly path: string;
	readonly isShort: boolean;
	readonly isSingle: boolean;
	readonly bodyLength: number;
	readonly weight: number;
};

const CALL_KINDS: readonly CallKind[] = [
	{method: 'GET', path: '/ratiba/sheets/7', isShort: true, isSingle: false, bodyLength: 0, weight: 6},
	{method: 'GET', path: '/recettes/sheets/9', isShort: true, isSingle: false, bodyLength: 0, weight: 6},
	{method: 'POST', path: '/malipo/clearances', isShort: false, isSingle: true, bodyLength: 0, weight: 4},
	{method: 'POST', path: '/impression/orders', isShort: false, isSingle: true, bodyLength: 0, weight: 4},
	{method: 'POST', path: '/picha/checks', isShort: false, isSingle: false, bodyLength: 100, weight: 1},
	{method: 'POST', path: '/controle/checks', isShort: false, isSingle: false, bodyLength: 100, weight: 1},
	{method: 'PUT', path: '/picha/photos/1', isShort: false, isSingle: false, bodyLength: 200_000, weight: 1},
	{method: 'PUT', path: '/controle/photos/1', isShort: false, isSingle: false, bodyLength: 200_000, weight: 1},
];
const TRAFFIC_MIX = CALL_KINDS.flatMap(kind => Array.from({length: kind.weight}, () => kind));

/** Timeout of a caller, in ms: longer than every deadline in the mix plus the fleet's grace, except that of uploads. */
const CALL_TIMEOUT_MS = 35_000;
const SUBMISSION_LIMIT_COUNT = 4;
const WORKER_PAUSE_MS = 20;

const needsResubmission = (result: standIns.TrafficResult): boolean =>
	result.outcome === 'unknown' || result.outcome === 'broken';

/** Sends calls from concurrent workers through the nodes that are ready, until the signal is aborted. */
export const sendSystemTraffic = async (options: {
	workerCount: number;
	random: core.Random;
	readyFronts: () => readonly string[];
	signal: AbortSignal;
}): Promise<readonly SystemCall[]> => {
	const agent = new undici.Agent({connections: 128});
	const calls: SystemCall[] = [];
	let count = 0;

	const pickFront = (): string | undefined => {
		const fronts = options.readyFronts();
		return fronts[Math.floor(options.random.fraction() * fronts.length)];
	};

	const sendSingle = async (front: string, call: standIns.TrafficCall): Promise<standIns.TrafficResult> => {
		const first = await standIns.sendCall(agent, front, call, CALL_TIMEOUT_MS);
		if (first.status !== 428 || first.operationId === undefined) {
			return first;
		}

		const submission = {...call, operationId: first.operationId};
		let result = await standIns.sendCall(agent, front, submission, CALL_TIMEOUT_MS);
		for (let attempt = 1; attempt < SUBMISSION_LIMIT_COUNT && needsResubmission(result); attempt++) {
			await timersPromises.setTimeout(300 * attempt);
			result = await standIns.sendCall(agent, pickFront() ?? front, submission, CALL_TIMEOUT_MS);
		}

		return result;
	};

	const sendOne = async (front: string, index: number): Promise<SystemCall> => {
		const kind = TRAFFIC_MIX[Math.floor(options.random.fraction() * TRAFFIC_MIX.length)]!;
		const label = `call-${index}`;
		const call: standIns.TrafficCall = {
			method: kind.method,
			path: kind.path,
			workspace: `depot-${index % 7}`,
			operationLabel: label,
			...(kind.bodyLength > 0 && {body: 'x'.repeat(kind.bodyLength)}),
		};
		const startedAtMs = performance.now();
		const result = kind.isSingle
			? await sendSingle(front, call)
			: await standIns.sendCall(agent, front, call, CALL_TIMEOUT_MS);
		return {label, path: kind.path, front, isShort: kind.isShort, startedAtMs, result};
	};

	const runWorker = async (): Promise<void> => {
		while (!options.signal.aborted) {
			const front = pickFront();
			if (front !== undefined) {
				calls.push(await sendOne(front, count++));
			}

			await timersPromises.setTimeout(WORKER_PAUSE_MS);
		}
	};

	await Promise.all(Array.from({length: options.workerCount}, runWorker));
	await agent.close();
	return calls;
};
