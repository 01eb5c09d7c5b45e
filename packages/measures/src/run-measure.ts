#!/usr/bin/env node
import process from 'node:process';
import * as commander from 'commander';
import type {Measure} from './measure.js';

/** The measurements by name. Each is loaded only when it is run. */
const MEASURES: Readonly<Record<string, () => Promise<Measure>>> = {
	async detection() {
		const {measureDetection} = await import('./detection/measure-detection.js');
		return measureDetection;
	},
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
