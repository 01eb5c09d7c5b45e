import type * as domain from '@bilberrydoor/domain';
import type {Command} from '../command.js';
import {ExitCode} from '../exit-code.js';
import {layOutTable} from '../output.js';

/** Lists the entries, also removed ones. */
export const catalogueList: Command = {
	usage: '',
	description: 'list the entries with owner, revision and last author',
	async run({client, print, report}) {
		const reply = await client.get<{items: readonly domain.CatalogueItem[]}>('/-/admin/entries');
		if (reply.isErr()) {
			report(reply.error.message);
			return reply.error.exitCode;
		}

		const rows = reply.value.items.map(({service, revision, author, editId, entry}) => ({
			service,
			owner: entry?.owner ?? '(removed)',
			revision,
			author,
			editId,
		}));
		print({json: rows, lines: layOutTable(['service', 'owner', 'revision', 'author', 'editId'], rows)});
		return ExitCode.Ok;
	},
};
