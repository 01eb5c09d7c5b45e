import * as timersPromises from 'node:timers/promises';
import type * as core from '@bilberrydoor/core';
import type {CommandContext} from './command.js';
import {ExitCode} from './exit-code.js';

const POLL_PERIOD_MS = 500;
/** Nodes named in one line of progress. */
const NAMED_NODE_LIMIT_COUNT = 5;

const describeProgress = (
	offset: number,
	nodes: readonly core.NodeStatus[],
	pendingNodes: readonly core.NodeStatus[],
) => {
	const named = pendingNodes.slice(0, NAMED_NODE_LIMIT_COUNT).map(status => status.node.vmId);
	const moreText = pendingNodes.length > named.length ? ` and ${pendingNodes.length - named.length} more` : '';
	const waitingText = pendingNodes.length > 0 ? `; waiting for ${named.join(', ')}${moreText}` : '';
	return `offset ${offset} is in force on ${nodes.length - pendingNodes.length} of ${nodes.length} live nodes${waitingText}`;
};

/** Polls until all live nodes have applied the log up to an offset, and reports progress. */
export const waitUntilInForce = async (
	context: Pick<CommandContext, 'client' | 'report'>,
	offset: number,
	limitMs: number,
): Promise<ExitCode> => {
	const endMs = Date.now() + limitMs;
	let lastLine = '';
	for (;;) {
		const fleet = await context.client.get<core.FleetStatus>('/-/admin/fleet');
		if (fleet.isErr()) {
			context.report(fleet.error.message);
		} else {
			const {nodes} = fleet.value;
			const pendingNodes = nodes.filter(status => (status.appliedOffset ?? -1) < offset);
			const line = describeProgress(offset, nodes, pendingNodes);
			if (line !== lastLine) {
				context.report(line);
				lastLine = line;
			}

			if (pendingNodes.length === 0) {
				return ExitCode.Ok;
			}
		}

		if (Date.now() >= endMs) {
			return ExitCode.NotInForce;
		}

		await timersPromises.setTimeout(POLL_PERIOD_MS);
	}
};
