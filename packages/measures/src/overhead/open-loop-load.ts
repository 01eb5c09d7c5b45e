import * as timersPromises from 'node:timers/promises';
import * as undici from 'undici';
import * as hdr from 'hdr-histogram-js';
import type * as core from '@bilberrydoor/core';

/** Counts and latencies of one run. */
export type LoadResult = {
	readonly requestCount: number;
	readonly failureCount: number;
	readonly requestsPerSecond: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
};

const MICROSECONDS_PER_MILLISECOND = 1000;
const PERCENTILE_50 = 50;
const PERCENTILE_99 = 99;

const createRecorder = () => {
	const histogram = hdr.build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: 60_000_000,
		numberOfSignificantValueDigits: 3,
	});
	let failureCount = 0;
	return {
		async recordRequest(url: string, dispatcher: undici.Dispatcher, scheduledMs: number): Promise<void> {
			try {
				const reply = await undici.request(url, {dispatcher});
				await reply.body.dump();
				failureCount += reply.statusCode === 200 ? 0 : 1;
			} catch {
				failureCount++;
			}

			histogram.recordValue(Math.max(1, Math.round((performance.now() - scheduledMs) * MICROSECONDS_PER_MILLISECOND)));
		},
		summarize: (durationMs: number): LoadResult => ({
			requestCount: histogram.totalCount,
			failureCount,
			requestsPerSecond: (histogram.totalCount * 1000) / durationMs,
			p50Ms: histogram.getValueAtPercentile(PERCENTILE_50) / MICROSECONDS_PER_MILLISECOND,
			p99Ms: histogram.getValueAtPercentile(PERCENTILE_99) / MICROSECONDS_PER_MILLISECOND,
		}),
	};
};

const agents = new Map<number, undici.Agent>();

/** Returns the agent of all runs with this number of connections, so that a run after a warm-up reuses open ones. */
const getSharedAgent = (connectionCount: number): undici.Agent => {
	const agent = agents.get(connectionCount) ?? new undici.Agent({connections: connectionCount, pipelining: 1});
	agents.set(connectionCount, agent);
	return agent;
};

/** Sends requests one after another on each connection, each as soon as the previous one is answered. */
export const runClosedLoop = async (options: {
	url: string;
	connectionCount: number;
	durationMs: number;
}): Promise<LoadResult> => {
	const recorder = createRecorder();
	const agent = new undici.Agent({connections: options.connectionCount, pipelining: 1});
	const startedMs = performance.now();
	const runConnection = async (): Promise<void> => {
		while (performance.now() - startedMs < options.durationMs) {
			await recorder.recordRequest(options.url, agent, performance.now());
		}
	};

	await Promise.all(Array.from({length: options.connectionCount}, runConnection));
	await agent.close();
	return recorder.summarize(performance.now() - startedMs);
};

/**
 * Sends requests at random times with a given rate, independent of the answers to earlier ones. Latency counts from the
 * intended time, but from at most 1 ms before the request is sent. It includes the wait for a free connection, so a stall
 * of the receiver shows in every request that it delays.
 */
export const runOpenLoop = async (options: {
	url: string;
	requestsPerSecond: number;
	durationMs: number;
	connectionCount: number;
	random: core.Random;
}): Promise<LoadResult> => {
	const recorder = createRecorder();
	const agent = getSharedAgent(options.connectionCount);
	const startedMs = performance.now();
	const pending: Array<Promise<void>> = [];
	let nextMs = startedMs;
	while (nextMs - startedMs < options.durationMs) {
		nextMs += (-Math.log(1 - options.random.fraction()) * 1000) / options.requestsPerSecond;
		const waitMs = nextMs - performance.now();
		if (waitMs > 0) {
			await timersPromises.setTimeout(waitMs);
		}

		pending.push(recorder.recordRequest(options.url, agent, Math.max(nextMs, performance.now() - 1)));
	}

	await Promise.all(pending);
	return recorder.summarize(performance.now() - startedMs);
};
