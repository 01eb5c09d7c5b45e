import type {Command} from '../command.js';
import {loadEntryFiles} from '../entry-files.js';
import {ExitCode} from '../exit-code.js';
import {formatDifference, listDifferences} from '../list-differences.js';
import {readItem} from '../submit-edit.js';

/** Shows what an apply would change. */
export const catalogueDiff: Command = {
	usage: '<files...>',
	description: 'show how entry files differ from the catalogue in force',
	async run({client, args, print, report}) {
		const files = await loadEntryFiles(args);
		if (files.isErr()) {
			files.error.forEach(report);
			return ExitCode.InvalidInput;
		}

		const services = [];
		for (const {entry} of files.value) {
			const item = await readItem(client, entry.service);
			if (item.isErr()) {
				report(item.error.message);
				return item.error.exitCode;
			}

			const differences = listDifferences(item.value?.entry, entry);
			services.push({service: entry.service, revision: item.value?.revision ?? 0, differences});
		}

		print({
			json: services,
			lines: services.flatMap(({service, revision, differences}) => [
				`${service}: ${differences.length} differences from revision ${revision}`,
				...differences.map(formatDifference),
			]),
		});
		return services.some(({differences}) => differences.length > 0) ? ExitCode.Different : ExitCode.Ok;
	},
};
