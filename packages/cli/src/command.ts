import type {ExitCode} from './exit-code.js';
import type {NodeClient} from './node-client.js';
import type {View} from './output.js';

/** Input and output of a command. */
export type CommandContext = {
	readonly client: NodeClient;
	/** Positional arguments in order; a variadic one is spread. */
	readonly args: readonly string[];
	readonly options: Readonly<Record<string, string | boolean | undefined>>;
	/** Prints the result to standard output in the chosen format. */
	print(view: View): void;
	/** Prints a line of progress or of an error to standard error. */
	report(line: string): void;
};

export type CommandOption = {readonly flags: string; readonly description: string; readonly defaultValue?: string};

/** One command of `bilberryctl`. */
export type Command = {
	/** Arguments in the notation of commander, such as `<files...>`; empty for none. */
	readonly usage: string;
	readonly description: string;
	readonly options?: readonly CommandOption[];
	run(context: CommandContext): Promise<ExitCode>;
};
