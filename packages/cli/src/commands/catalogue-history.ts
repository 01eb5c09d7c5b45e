import type * as core from '@bilberrydoor/core';
import type {Command} from '../command.js';
import {ExitCode} from '../exit-code.js';
import {layOutTable} from '../output.js';

/** Lists the latest accepted edits of an entry. */
export const catalogueHistory: Command = {
	usage: '<service>',
	description: 'list the latest edits of an entry with their authors',
	async run({client, args, print, report}) {
		const path = `/-/admin/entries/${encodeURIComponent(args[0]!)}/history`;
		const reply = await client.get<{revisions: readonly core.RevisionStatus[]}>(path);
		if (reply.isErr()) {
			report(reply.error.message);
			return reply.error.exitCode;
		}

		const {revisions} = reply.value;
		const columns = ['revision', 'author', 'offset', 'isRemoval', 'isContentHeld', 'editId'] as const;
		print({json: revisions, lines: layOutTable(columns, revisions)});
		return ExitCode.Ok;
	},
};
