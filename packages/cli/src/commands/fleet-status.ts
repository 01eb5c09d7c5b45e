import type * as core from '@bilberrydoor/core';
import type {Command} from '../command.js';
import {ExitCode} from '../exit-code.js';
import {layOutTable} from '../output.js';

/** Shows how far each live node has applied the catalogue's log. */
export const fleetStatus: Command = {
	usage: '',
	description: 'show live nodes, availability zones, applied offsets and lagging nodes',
	async run({client, print, report}) {
		const reply = await client.get<core.FleetStatus>('/-/admin/fleet');
		if (reply.isErr()) {
			report(reply.error.message);
			return reply.error.exitCode;
		}

		const {nodes, newestOffset, isCatalogueLost, self} = reply.value;
		const rows = nodes.map(({node, appliedOffset, isLagging}) => ({
			vm: node.vmId,
			address: node.address,
			region: node.region,
			zone: node.availabilityZone,
			offset: appliedOffset,
			state: isLagging ? (appliedOffset === undefined ? 'no answer' : 'lagging') : 'current',
		}));
		const laggingCount = nodes.filter(({isLagging}) => isLagging).length;
		print({
			json: reply.value,
			lines: [
				...layOutTable(['vm', 'address', 'region', 'zone', 'offset', 'state'], rows),
				`newest offset ${newestOffset}; ${laggingCount} of ${nodes.length} nodes lag behind, as ${self.vmId} sees it`,
				...(isCatalogueLost ? ['THE CATALOGUE IS LOST; see docs/operators/recovery.md'] : []),
			],
		});
		return ExitCode.Ok;
	},
};
