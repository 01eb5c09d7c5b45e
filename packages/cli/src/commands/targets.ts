import type * as core from '@bilberrydoor/core';
import type {Command, CommandContext} from '../command.js';
import {ExitCode} from '../exit-code.js';
import {layOutTable} from '../output.js';

type TargetList = {readonly targets: readonly core.TargetStatus[]};

/** Queries the other live nodes, because each node lists only the targets of the groups that it schedules. */
const fetchTargetsOfOtherNodes = async ({client, report}: CommandContext): Promise<core.TargetStatus[]> => {
	const fleet = await client.get<core.FleetStatus>('/-/admin/fleet');
	if (fleet.isErr()) {
		report(fleet.error.message);
		return [];
	}

	const {self, nodes} = fleet.value;
	const others = nodes.map(({node}) => node).filter(node => node.address !== self.address);
	const replies = await Promise.all(
		others.map(async node =>
			node.operationsAddress === ''
				? undefined
				: client.withNode(`http://${node.operationsAddress}`).get<TargetList>('/-/admin/targets'),
		),
	);
	const unansweredNodes = others.filter((_, index) => !replies[index]?.isOk());
	if (unansweredNodes.length > 0) {
		report(`no answer from ${unansweredNodes.map(node => node.vmId).join(', ')}; the list is incomplete`);
	}

	return replies.flatMap(reply => (reply?.isOk() ? reply.value.targets : []));
};

/** Shows all targets with their states on the nodes that schedule them. */
export const targets: Command = {
	usage: '',
	description: 'show targets with state, reason, time in the state and slots',
	async run(context) {
		const {client, print, report} = context;
		const ownReply = await client.get<TargetList>('/-/admin/targets');
		if (ownReply.isErr()) {
			report(ownReply.error.message);
			return ownReply.error.exitCode;
		}

		const allTargets = [...ownReply.value.targets, ...(await fetchTargetsOfOtherNodes(context))];
		const rows = allTargets.map(target => ({
			group: target.groupId,
			target: target.targetId,
			address: target.address,
			state: target.state,
			reason: target.reason,
			since: Math.round(target.sinceMs),
			slots: `${target.busySlotCount}/${target.openSlotCount}/${target.slotCount}`,
		}));
		print({
			json: allTargets,
			lines: layOutTable(['group', 'target', 'address', 'state', 'reason', 'since', 'slots'], rows),
		});
		return ExitCode.Ok;
	},
};
