import * as core from '@bilberrydoor/core';
import type {Command} from '../command.js';
import {ExitCode} from '../exit-code.js';
import {layOutTable} from '../output.js';

const formatCount = (count: number | undefined): string => (count === undefined ? '-' : count.toFixed(1));

/** Shows the quotas of the workspaces that are used at a node, from its metrics listener. */
export const workspaces: Command = {
	usage: '',
	description: 'show rates, use, refusals and shares of workspaces at a node (its metrics address)',
	async run({client, print, report}) {
		const reply = await client.get<core.WorkspacesReport>(core.WORKSPACES_PATH);
		if (reply.isErr()) {
			report(reply.error.message);
			return reply.error.exitCode;
		}

		const rows = reply.value.workspaces.map(({workspace, account, ...row}) => ({
			workspace,
			rate: formatCount(row.ratePerSecond),
			burst: formatCount(row.burstCount),
			use: formatCount(row.usePerSecond),
			admitted: row.admittedCount,
			refused: row.refusedCount,
			unused: row.unusedCount,
			shares: account?.shareCount ?? '-',
			available: formatCount(account?.availableCount),
			leased: formatCount(account?.leasedCount),
		}));
		const columns = [
			'workspace',
			'rate',
			'burst',
			'use',
			'admitted',
			'refused',
			'unused',
			'shares',
			'available',
			'leased',
		];
		print({
			json: reply.value,
			lines: [
				...layOutTable(columns, rows),
				`use, admitted, refused and unused are those of node ${reply.value.nodeId}; shares, available and leased are what it holds for all nodes`,
			],
		});
		return ExitCode.Ok;
	},
};
