import type * as core from '@bilberrydoor/core';
import type {Command} from '../command.js';
import {ExitCode} from '../exit-code.js';
import {layOutTable} from '../output.js';

/** Shows a summary of each service. */
export const services: Command = {
	usage: '',
	description: 'show services with owner, routes, targets, slots and floor',
	async run({client, print, report}) {
		const reply = await client.get<{services: readonly core.ServiceStatus[]}>('/-/admin/services');
		if (reply.isErr()) {
			report(reply.error.message);
			return reply.error.exitCode;
		}

		const columns = [
			'service',
			'owner',
			'revision',
			'routeCount',
			'targetCount',
			'slotCount',
			'floorSlotCount',
			'groupCount',
		] as const;
		print({json: reply.value.services, lines: layOutTable(columns, reply.value.services)});
		return ExitCode.Ok;
	},
};
