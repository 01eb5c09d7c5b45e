import process from 'node:process';
import * as platform from '@bilberrydoor/platform';
import * as commander from 'commander';
import {loadFleetSettings} from './load-fleet-settings.js';
import {runFleetDaemon} from './run-fleet-daemon.js';
import type {SignalInbox} from './signal-inbox.js';

const EXIT_SETTINGS_INVALID = 2;

type Options = {settings: string; check?: boolean; logLevel: 'debug' | 'info' | 'warn' | 'error'; metricsPort?: string};

/** Runs the program with the arguments of the process. */
export const runFleetProgram = async (signals: SignalInbox): Promise<void> => {
	const program = new commander.Command('bilberryd-fleet')
		.description("Node of the bilberrydoor fleet on the users' platform.")
		.version('0.1.0')
		.addOption(
			new commander.Option('-s, --settings <file>', "the platform's settings file")
				.env(platform.SETTINGS_FILE_VARIABLE)
				.makeOptionMandatory(),
		)
		.option('--check', 'validate the settings and exit')
		.addOption(
			new commander.Option('--log-level <level>', 'lowest level of log lines')
				.choices(['debug', 'info', 'warn', 'error'])
				.default('info'),
		)
		.option('--metrics-port <port>', 'port for metrics on the address of the VM')
		.action(async (options: Options) => {
			const loaded = await loadFleetSettings(options.settings);
			if (loaded.isErr()) {
				process.stderr.write(`${loaded.error.join('\n')}\n`);
				process.exitCode = EXIT_SETTINGS_INVALID;
				return;
			}

			if (options.check) {
				process.stdout.write(`${options.settings}: valid settings for VM ${loaded.value.settings.nodeId}\n`);
				return;
			}

			const metricsPort = options.metricsPort === undefined ? undefined : Number(options.metricsPort);
			await runFleetDaemon({
				...loaded.value,
				signals,
				settingsFile: options.settings,
				logLevel: options.logLevel,
				metricsPort,
			});
			process.exit(0);
		});

	await program.parseAsync();
};
