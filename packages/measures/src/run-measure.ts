#!/usr/bin/env node
import process from 'node:process';
import * as commander from 'commander';
import type {Measure} from './measure.js';

/** The measurements by name. Each is loaded only when it is run. */
const MEASURES: Readonly<Record<string, () => Promise<Measure>>> = {
	blocking: async () => (await import('./blocking.js')).measureBlocking,
	capacity: async () => (await import('./capacity/measure-capacity.js')).measureCapacity,
	catalogue: async () => (await import('./catalogue/measure-catalogue.js')).measureCatalogue,
	crest: async () => (await import('./crest.js')).measureCrest,
	detection: async () => (await import('./detection/measure-detection.js')).measureDetection,
	dispatch: async () => (await import('./grants/measure-dispatch.js')).measureDispatch,
	grants: async () => (await import('./grants/measure-grants.js')).measureGrants,
	losses: async () => (await import('./losses.js')).measureLosses,
	membership: async () => (await import('./membership.js')).measureMembership,
	operations: async () => (await import('./operations/measure-operations.js')).measureOperations,
	overhead: async () => (await import('./overhead/measure-overhead.js')).measureOverhead,
	quota: async () => (await import('./quota/measure-quota.js')).measureQuota,
	retries: async () => (await import('./retries.js')).measureRetries,
	system: async () => (await import('./system/measure-system.js')).measureSystem,
};

await new commander.Command('measure')
	.description('Runs one measurement and prints its result as one line of JSON.')
	.addArgument(new commander.Argument('<name>').choices(Object.keys(MEASURES)))
	.option('--seed <number>', 'seed of all random choices', '1')
	.action(async (name: string, options: {seed: string}) => {
		const measure = await MEASURES[name]!();
		const result = await measure({
			seed: Number(options.seed),
			reportProgress(line) {
				process.stderr.write(`${line}\n`);
			},
		});
		process.stdout.write(`${JSON.stringify({measure: name, ...result})}\n`);
		process.exit(0);
	})
	.parseAsync();
