import type {Command} from '../command.js';
import {loadEntryFiles} from '../entry-files.js';
import {ExitCode} from '../exit-code.js';

/** Checks files without asking a node. */
export const catalogueLint: Command = {
	usage: '<files...>',
	description: 'check entry files without asking a node',
	async run({args, print, report}) {
		const files = await loadEntryFiles(args);
		return files.match(
			loaded => {
				print({
					json: loaded.map(({fileName, entry}) => ({fileName, service: entry.service})),
					lines: loaded.map(({fileName, entry}) => `${fileName}: valid entry of service ${entry.service}`),
				});
				return ExitCode.Ok;
			},
			problems => {
				problems.forEach(report);
				return ExitCode.InvalidInput;
			},
		);
	},
};
