import type * as domain from '@bilberrydoor/domain';
import type {Command} from '../command.js';
import {ExitCode} from '../exit-code.js';

/** Prints an entry so that it can be edited and applied again. */
export const catalogueGet: Command = {
	usage: '<service>',
	description: 'print an entry as a file that can be edited and applied',
	options: [{flags: '--revision <number>', description: 'an earlier revision instead of the one in force'}],
	async run({client, args, options, print, report}) {
		const path = `/-/admin/entries/${encodeURIComponent(args[0]!)}`;
		const {revision} = options;
		const item = await client.get<domain.CatalogueItem>(
			revision === undefined ? path : `${path}/revisions/${encodeURIComponent(String(revision))}`,
		);
		if (item.isErr()) {
			report(item.error.message);
			return item.error.exitCode;
		}

		const {service, revision: printedRevision, author, entry} = item.value;
		const heading = `// Revision ${printedRevision} of ${service} by ${author}${entry ? '' : ': removed'}`;
		const text = entry ? JSON.stringify(entry, undefined, '\t').split('\n') : [];
		print({json: item.value, lines: [heading, ...text]});
		return ExitCode.Ok;
	},
};
