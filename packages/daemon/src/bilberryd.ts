#!/usr/bin/env node
import process from 'node:process';
import * as commander from 'commander';
import {describeValidSettings, loadSettings} from './load-settings.js';
import {runDaemon} from './run-daemon.js';

const EXIT_SETTINGS_INVALID = 2;

const program = new commander.Command('bilberryd')
	.description('Node of the bilberrydoor proxy fleet.')
	.version('0.1.0')
	.option('-s, --settings <file>', 'settings in JSON with comments', 'bilberryd.jsonc')
	.option('--check', 'validate the settings and exit')
	.action(async (options: {settings: string; check?: boolean}) => {
		const settings = await loadSettings(options.settings);
		if (settings.isErr()) {
			process.stderr.write(`${settings.error.join('\n')}\n`);
			process.exitCode = EXIT_SETTINGS_INVALID;
			return;
		}

		if (options.check) {
			process.stdout.write(`${describeValidSettings(options.settings, settings.value)}\n`);
			return;
		}

		process.exitCode = await runDaemon(settings.value);
		process.exit();
	});

await program.parseAsync();
