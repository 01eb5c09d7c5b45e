import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as fakes from '@bilberrydoor/fakes';
import * as standIns from '@bilberrydoor/stand-ins';
import * as undici from 'undici';
import type {Measure} from '../measure.js';
import {runClosedLoop, runOpenLoop, type LoadResult} from './open-loop-load.js';

const PLACE = {region: 'pwani', availabilityZone: 'kinondoni'};
const TARGET_COUNT = 3;
const SLOT_COUNT = 64;
const WARM_UP_MS = 4000;
const SATURATION_MS = 5000;
const COMPARISON_MS = 10_000;
const CONNECTION_COUNT = 64;

/** Reads the CPU time and memory of a daemon from its metrics. */
const readProcessMetrics = async (operations: string): Promise<{cpuSeconds: number; rssBytes: number}> => {
	const reply = await undici.request(`http://${operations}/-/metrics`);
	const text = await reply.body.text();
	const readValue = (name: string): number =>
		Number(new RegExp(`^bilberrydoor_${name} (\\S+)$`, 'm').exec(text)?.[1] ?? Number.NaN);
	return {
		cpuSeconds: readValue('process_cpu_seconds_total'),
		rssBytes: readValue('process_resident_memory_bytes'),
	};
};

const publishEntry = async (fleet: standIns.LaunchedFleet): Promise<void> => {
	const entry = fakes.buildEntry({
		service: 'ratiba',
		routes: [fakes.buildRoute({pathPrefix: '/ratiba'})],
		targets: fleet.targets.map(target => ({
			targetId: target.targetId,
			address: target.address,
			...PLACE,
			slotCount: SLOT_COUNT,
			connectionLimit: 400,
			isDraining: false,
		})),
	});
	const file = path.join(fleet.directory, 'ratiba.jsonc');
	await fs.writeFile(file, JSON.stringify(entry));
	const applied = await fleet.runCli(['catalogue', 'apply', file]);
	if (applied.exitCode !== 0) {
		throw new Error(applied.output);
	}
};

const summarize = ({p50Ms, p99Ms}: LoadResult): {p50Ms: number; p99Ms: number} => ({p50Ms, p99Ms});

/**
 * Measures the latency that one daemon adds to a request over loopback. The load is half of what saturates one core,
 * calculated from the daemon's CPU time at full load.
 */
export const measureOverhead: Measure = async ({seed, reportProgress}) => {
	const fleet = await standIns.launchFleet({
		nodePlaces: [PLACE],
		targets: Array.from({length: TARGET_COUNT}, (_, index) => ({
			...PLACE,
			targetId: `ratiba-${index + 1}`,
			serviceTimeMs: 0,
			fault: 'none',
		})),
	});
	try {
		await fleet.waitUntilReady();
		await publishEntry(fleet);
		const [node] = fleet.nodes;
		const productUrl = `http://${node!.front}/ratiba/sheets/7`;
		const directUrl = `http://${fleet.targets[0]!.address}/ratiba/sheets/7`;
		await runClosedLoop({url: productUrl, connectionCount: CONNECTION_COUNT, durationMs: WARM_UP_MS});
		await runClosedLoop({url: directUrl, connectionCount: CONNECTION_COUNT, durationMs: WARM_UP_MS});

		const before = await readProcessMetrics(node!.operations);
		const startedMs = performance.now();
		const saturated = await runClosedLoop({
			url: productUrl,
			connectionCount: CONNECTION_COUNT,
			durationMs: SATURATION_MS,
		});
		const elapsedSeconds = (performance.now() - startedMs) / 1000;
		const after = await readProcessMetrics(node!.operations);
		const usedCoreCount = (after.cpuSeconds - before.cpuSeconds) / elapsedSeconds;
		const requestsPerSecondPerCore = saturated.requestsPerSecond / usedCoreCount;
		reportProgress(
			`full load: ${saturated.requestsPerSecond.toFixed(0)} requests a second at ${usedCoreCount.toFixed(2)} cores`,
		);

		const load = {
			requestsPerSecond: requestsPerSecondPerCore / 2,
			durationMs: COMPARISON_MS,
			connectionCount: CONNECTION_COUNT,
		};
		const runAtHalfLoad = async (url: string): Promise<LoadResult> => {
			// Only kept-alive connections are compared, so each side opens its connections and warms up first.
			await runOpenLoop({...load, url, durationMs: WARM_UP_MS, random: fakes.createSeededRandom(seed + 1)});
			return runOpenLoop({...load, url, random: fakes.createSeededRandom(seed)});
		};

		const direct = await runAtHalfLoad(directUrl);
		const product = await runAtHalfLoad(productUrl);
		reportProgress(`half load: ${load.requestsPerSecond.toFixed(0)} requests a second`);
		const {rssBytes} = await readProcessMetrics(node!.operations);
		return {
			requests: product.requestCount,
			failures: product.failureCount,
			direct: summarize(direct),
			product: summarize(product),
			addedP99Ms: product.p99Ms - direct.p99Ms,
			requestsPerSecondPerCore,
			rssBytes,
		};
	} finally {
		await fleet.stop();
	}
};
