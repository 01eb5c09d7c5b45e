import * as commander from 'commander';
import type {Command, CommandContext} from './command.js';
import {COMMANDS, GROUP_DESCRIPTIONS} from './command-table.js';
import {EXIT_CODE_HELP, type ExitCode} from './exit-code.js';
import {createNodeClient} from './node-client.js';
import {OutputFormat, renderView} from './output.js';

/** Where the program writes and reports its exit code. */
export type ProgramStreams = {
	writeOutput(text: string): void;
	writeError(text: string): void;
	finish(exitCode: ExitCode): void;
};

type GlobalOptions = {node: string; token: string; output: OutputFormat};

const buildContext = (
	globals: GlobalOptions,
	args: readonly string[],
	options: CommandContext['options'],
	streams: ProgramStreams,
): CommandContext => ({
	client: createNodeClient({nodeUrl: globals.node, token: globals.token}),
	args,
	options,
	print(view) {
		streams.writeOutput(renderView(view, globals.output));
	},
	report(line) {
		streams.writeError(`${line}\n`);
	},
});

const findOrAddGroup = (program: commander.Command, words: readonly string[]): commander.Command =>
	words.reduce((parent, word) => {
		const existing = parent.commands.find(command => command.name() === word);
		return existing ?? parent.command(word).description(GROUP_DESCRIPTIONS[word] ?? '');
	}, program);

const addCommand = (program: commander.Command, name: string, command: Command, streams: ProgramStreams): void => {
	const words = name.split(' ');
	const added = findOrAddGroup(program, words.slice(0, -1))
		.command(`${words.at(-1)!} ${command.usage}`.trim())
		.description(command.description);
	command.options?.forEach(({flags, description, defaultValue}) => {
		added.option(flags, description, defaultValue);
	});
	added.action(async () => {
		const context = buildContext(program.opts<GlobalOptions>(), added.args, added.opts(), streams);
		streams.finish(await command.run(context));
	});
};

const listCommands = (): string =>
	Object.entries(COMMANDS)
		.map(([name, {usage, description}]) => `  ${`${name} ${usage}`.trim().padEnd(42)}${description}`)
		.join('\n');

/** Builds the command line from the table of commands. */
export const buildProgram = (streams: ProgramStreams): commander.Command => {
	const program = new commander.Command('bilberryctl')
		.configureOutput({writeOut: streams.writeOutput, writeErr: streams.writeError})
		.description('Edits the catalogue of a bilberrydoor fleet and shows its state.')
		.version('0.1.0')
		.option('-n, --node <url>', 'operations address of any node', 'http://127.0.0.1:8082')
		.addOption(new commander.Option('-t, --token <token>', 'bearer token').env('BILBERRY_TOKEN').default('', 'none'))
		.addOption(
			new commander.Option('-o, --output <format>', 'how results are printed')
				.choices(Object.values(OutputFormat))
				.default(OutputFormat.Table),
		)
		.addHelpText('after', `\nAll commands:\n${listCommands()}\n${EXIT_CODE_HELP}`);
	Object.entries(COMMANDS).forEach(([name, command]) => {
		addCommand(program, name, command, streams);
	});
	return program;
};
