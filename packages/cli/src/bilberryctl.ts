#!/usr/bin/env node
import process from 'node:process';
import * as core from '@bilberrydoor/core';
import * as commander from 'commander';
import {applyEntry, loadEntryFile} from './commands/apply-entries.js';
import {createNodeClient} from './node-client.js';

enum ExitCode {
	Ok = 0,
	InvalidInput = 2,
	Rejected = 3,
	NotYetKnown = 4,
	Unreachable = 5,
}

const EXIT_CODES: Record<core.EditOutcome, ExitCode> = {
	[core.EditOutcome.Accepted]: ExitCode.Ok,
	[core.EditOutcome.Rejected]: ExitCode.Rejected,
	[core.EditOutcome.NotYetKnown]: ExitCode.NotYetKnown,
};

type GlobalOptions = {node: string; token: string};

/** The first failure decides the exit code. */
const recordExitCode = (code: ExitCode): void => {
	if ((process.exitCode ?? ExitCode.Ok) === ExitCode.Ok) {
		process.exitCode = code;
	}
};

const fail = (code: ExitCode, lines: readonly string[]): void => {
	process.stderr.write(`${lines.join('\n')}\n`);
	recordExitCode(code);
};

const applyFiles = async (files: readonly string[], options: GlobalOptions): Promise<void> => {
	const client = createNodeClient({nodeUrl: options.node, token: options.token});
	for (const file of files) {
		const entry = await loadEntryFile(file);
		if (entry.isErr()) {
			fail(ExitCode.InvalidInput, entry.error);
			continue;
		}

		const report = await applyEntry(client, entry.value);
		if (report.isErr()) {
			fail(ExitCode.Unreachable, [report.error]);
			continue;
		}

		const {outcome, revision, detail} = report.value;
		process.stdout.write(`${entry.value.service}: ${outcome}, revision ${revision}: ${detail}\n`);
		recordExitCode(EXIT_CODES[outcome]);
	}
};

const program = new commander.Command('bilberryctl')
	.description('Edits the catalogue of a bilberrydoor fleet and shows its state.')
	.version('0.1.0')
	.option('-n, --node <url>', 'operations address of any node', 'http://127.0.0.1:8082')
	.addOption(new commander.Option('-t, --token <token>', 'bearer token').env('BILBERRY_TOKEN').default(''));

const catalogue = program.command('catalogue').description('work with catalogue entries');
catalogue
	.command('apply <files...>')
	.description('publish entries from files in JSON with comments')
	.action(async (files: string[]) => applyFiles(files, program.opts<GlobalOptions>()));

await program.parseAsync();
