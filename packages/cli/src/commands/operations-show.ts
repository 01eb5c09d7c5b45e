import type * as core from '@bilberrydoor/core';
import type {Command} from '../command.js';
import {ExitCode} from '../exit-code.js';

/** Workspace under which calls without a workspace are recorded. */
const DEFAULT_WORKSPACE = 'default';

/** Shows the record of an operation. */
export const operationsShow: Command = {
	usage: '<operation-id> [workspace]',
	description: 'show the record of an operation',
	async run({client, args, print, report}) {
		const reply = await client.get<core.OperationView>(
			`/-/admin/operations/${encodeURIComponent(args[0]!)}?workspace=${encodeURIComponent(args[1] ?? DEFAULT_WORKSPACE)}`,
		);
		if (reply.isErr()) {
			report(reply.error.message);
			return reply.error.exitCode;
		}

		print({
			json: reply.value,
			lines: Object.entries(reply.value).map(([name, value]) => `${name}: ${String(value)}`),
		});
		return ExitCode.Ok;
	},
};
