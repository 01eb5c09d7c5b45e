#!/usr/bin/env node
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import process from 'node:process';
import * as commander from 'commander';
import * as undici from 'undici';
import {launchFleet, type LaunchedFleet} from '../launch/launch-fleet.js';
import {fitEntryToTargets, loadExampleCatalogue} from './demo-catalogue.js';
import {sendDemoTraffic, type TrafficStatistics} from './demo-traffic.js';

const NODE_PLACES = [
	{region: 'pwani', availabilityZone: 'kinondoni'},
	{region: 'bara', availabilityZone: 'morogoro'},
	{region: 'dakar', availabilityZone: 'dakar-plateau'},
	{region: 'thies', availabilityZone: 'mbour'},
];
const TARGET_COUNT = 6;
/** Index of the target that passes its health probes but fails its calls. */
const GRAY_TARGET_INDEX = 1;
const WORKER_COUNT = 24;

const printLine = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

const publishExamples = async (fleet: LaunchedFleet): Promise<void> => {
	const entries = await loadExampleCatalogue();
	const files = await Promise.all(
		entries.map(async entry => {
			const file = path.join(fleet.directory, `${entry.service}.jsonc`);
			await fs.writeFile(file, JSON.stringify(fitEntryToTargets(entry, fleet.targets)));
			return file;
		}),
	);
	const applied = await fleet.runCli(['catalogue', 'apply', ...files]);
	process.stdout.write(applied.output);
	if (applied.exitCode !== 0) {
		throw new Error(`the catalogue was not accepted; exit code ${applied.exitCode}`);
	}
};

const pickPercentile = (sorted: readonly number[], ratio: number): number =>
	sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * ratio))] ?? 0;

const countBy = <T>(items: readonly T[], getKey: (item: T) => string): Record<string, number> =>
	items.reduce<Record<string, number>>((counts, item) => {
		const key = getKey(item);
		return {...counts, [key]: (counts[key] ?? 0) + 1};
	}, {});

const printStatistics = (statistics: readonly TrafficStatistics[]): void => {
	const rows = statistics.map(({kind, results}) => {
		const latencies = results.map(result => result.latencyMs).toSorted((left, right) => left - right);
		const outcomes = countBy(results, result => result.outcome);
		return {
			work: kind,
			calls: results.length,
			completed: outcomes.completed ?? 0,
			'not-run': outcomes['not-run'] ?? 0,
			unknown: outcomes.unknown ?? 0,
			broken: outcomes.broken ?? 0,
			'server errors': results.filter(result => result.outcome === 'completed' && result.status >= 500).length,
			'p50 ms': Math.round(pickPercentile(latencies, 0.5)),
			'p99 ms': Math.round(pickPercentile(latencies, 0.99)),
		};
	});
	console.table(rows);
	const reasons = countBy(
		statistics.flatMap(({results}) => results).filter(result => result.reason !== ''),
		result => result.reason,
	);
	printLine(`refusal reasons: ${JSON.stringify(reasons)}`);
};

/** Returns the output lines of `bilberryctl targets` for targets that are not healthy. */
const readUnhealthyTargets = async (fleet: LaunchedFleet): Promise<readonly string[]> => {
	const shown = await fleet.runCli(['targets']);
	return shown.output.split('\n').filter(line => /\b(?:suspect|ejected|probation|draining|cold)\b/.test(line));
};

const readEjections = async (fleet: LaunchedFleet): Promise<readonly string[]> => {
	const texts = await Promise.all(
		fleet.nodes.map(async node => {
			const reply = await undici.request(`http://${node.operations}/-/metrics`);
			return reply.body.text();
		}),
	);
	return texts.flatMap(text => text.split('\n')).filter(line => line.startsWith('bilberrydoor_ejections_total{'));
};

const runDemo = async (durationMs: number): Promise<void> => {
	printLine(`starting the log, the VM list, ${TARGET_COUNT} targets and ${NODE_PLACES.length} nodes`);
	const fleet = await launchFleet({
		nodePlaces: NODE_PLACES,
		targets: Array.from({length: TARGET_COUNT}, (_, index) => ({
			...NODE_PLACES[index % NODE_PLACES.length]!,
			targetId: `target-${index + 1}`,
			serviceTimeMs: 10,
			fault: index === GRAY_TARGET_INDEX ? 'errors' : 'none',
		})),
		logLevel: 'error',
	});
	try {
		await fleet.waitUntilReady();
		await publishExamples(fleet);
		printLine(`sending mixed traffic for ${durationMs} ms; target-2 passes its health probes but fails its calls`);
		const statistics = await sendDemoTraffic({
			fronts: fleet.nodes.map(node => node.front),
			durationMs,
			workerCount: WORKER_COUNT,
			reportProgress(sentCount) {
				printLine(`${sentCount} calls sent`);
			},
		});
		printStatistics(statistics);
		const ejections = await readEjections(fleet);
		printLine(`ejections: ${ejections.length === 0 ? 'none' : `\n${ejections.join('\n')}`}`);
		printLine(`targets that are not healthy:\n${(await readUnhealthyTargets(fleet)).join('\n')}`);
		const completedCount = statistics
			.flatMap(({results}) => results)
			.filter(result => result.outcome === 'completed').length;
		if (completedCount === 0) {
			throw new Error('no call was completed');
		}
	} finally {
		await fleet.stop();
	}

	printLine('all processes have stopped');
};

await new commander.Command('demo')
	.description('Runs a small fleet with stand-ins and mixed traffic.')
	.option('--duration-ms <ms>', 'how long to send traffic', '10000')
	.action(async (options: {durationMs: string}) => runDemo(Number(options.durationMs)))
	.parseAsync();
