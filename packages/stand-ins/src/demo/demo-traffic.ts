import * as timersPromises from 'node:timers/promises';
import * as undici from 'undici';
import {sendCall, sendSingleCall, type TrafficCall, type TrafficResult} from './send-call.js';

enum TrafficKind {
	Short = 'short',
	Single = 'single',
	Long = 'long',
	Bulk = 'bulk',
}

/** Results of one kind of traffic, which are one row of the demo's table. */
export type TrafficStatistics = {
	readonly kind: string;
	readonly results: TrafficResult[];
};

const PHOTO_LENGTH_BYTES = 200_000;
const CALL_TIMEOUT_MS = 10_000;
const PAUSE_BETWEEN_CALLS_MS = 10;

/**
 * Cycle in which the kinds of traffic are sent, each as often as its weight: mostly lookups, some single work, a few checks
 * and uploads.
 */
const TRAFFIC_MIX: readonly TrafficKind[] = [
	...Array.from({length: 12}, () => TrafficKind.Short),
	...Array.from({length: 4}, () => TrafficKind.Single),
	...Array.from({length: 2}, () => TrafficKind.Long),
	TrafficKind.Bulk,
];

const PATHS: Record<TrafficKind, ReadonlyArray<Pick<TrafficCall, 'method' | 'path'>>> = {
	[TrafficKind.Short]: [
		{method: 'GET', path: '/ratiba/sheets/7'},
		{method: 'GET', path: '/recettes/sheets/12'},
	],
	[TrafficKind.Single]: [
		{method: 'POST', path: '/malipo/clearances'},
		{method: 'POST', path: '/impression/orders'},
	],
	[TrafficKind.Long]: [
		{method: 'POST', path: '/picha/checks'},
		{method: 'POST', path: '/controle/checks'},
	],
	[TrafficKind.Bulk]: [
		{method: 'PUT', path: '/picha/photos/1'},
		{method: 'PUT', path: '/controle/photos/1'},
	],
};

const sendTrafficCall = async (
	agent: undici.Agent,
	front: string,
	kind: TrafficKind,
	index: number,
): Promise<TrafficResult> => {
	const paths = PATHS[kind];
	const call: TrafficCall = {
		...paths[index % paths.length]!,
		workspace: `depot-${index % 5}`,
		...(kind === TrafficKind.Bulk && {body: 'x'.repeat(PHOTO_LENGTH_BYTES)}),
		...(kind === TrafficKind.Single && {operationLabel: `operation-${index}`}),
	};
	const send = kind === TrafficKind.Single ? sendSingleCall : sendCall;
	return send(agent, front, call, CALL_TIMEOUT_MS);
};

/** Sends mixed traffic to all fronts from `workerCount` concurrent workers for `durationMs`. */
export const sendDemoTraffic = async (options: {
	fronts: readonly string[];
	durationMs: number;
	workerCount: number;
	reportProgress: (sentCount: number) => void;
}): Promise<readonly TrafficStatistics[]> => {
	const agent = new undici.Agent({connections: options.workerCount});
	const results = new Map<TrafficKind, TrafficResult[]>(Object.values(TrafficKind).map(kind => [kind, []]));
	const endMs = performance.now() + options.durationMs;
	let sentCount = 0;

	const runWorker = async (): Promise<void> => {
		while (performance.now() < endMs) {
			const index = sentCount++;
			const kind = TRAFFIC_MIX[index % TRAFFIC_MIX.length]!;
			const front = options.fronts[index % options.fronts.length]!;
			results.get(kind)!.push(await sendTrafficCall(agent, front, kind, index));
			await timersPromises.setTimeout(PAUSE_BETWEEN_CALLS_MS);
		}
	};

	const reportRegularly = async (): Promise<void> => {
		while (performance.now() < endMs) {
			await timersPromises.setTimeout(Math.min(1000, Math.max(0, endMs - performance.now())));
			options.reportProgress(sentCount);
		}
	};

	await Promise.all([reportRegularly(), ...Array.from({length: options.workerCount}, runWorker)]);
	await agent.close();
	return [...results].map(([kind, kindResults]) => ({kind, results: kindResults}));
};
