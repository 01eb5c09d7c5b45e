import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import {chooseGroup} from '../entry/group-offers.js';
import type {GroupDelivery} from '../entry/group-delivery.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import type {OperationExecutor} from './operation-executor.js';

/**
 * Mints ids on a scheduling node of the service, or on this node when none can be reached. The error says why no
 * id could be minted.
 */
export type MintOperations = (
	service: string,
	count: number,
	signal: AbortSignal,
) => Promise<neverthrow.Result<readonly string[], string>>;

export const createOperationMinter = (dependencies: {
	ports: ports.NodePorts;
	directory: MemberDirectory;
	schedulers: SchedulerRegistry;
	delivery: GroupDelivery;
	executor: OperationExecutor;
	/** Longest wait for a node's reply, in ms. */
	controlTimeoutMs: number;
}): MintOperations => {
	const {directory, delivery, executor, schedulers, controlTimeoutMs} = dependencies;
	const {clock, peerClient, random} = dependencies.ports;

	const listMintingNodes = (service: string): readonly domain.NodeDescription[] => {
		const group = chooseGroup(schedulers.listGroups(service), directory.self.region, random.fraction());
		const ranked = group ? delivery.rankNodes(group) : [];
		return ranked[0]?.address === directory.self.address
			? [directory.self]
			: [...ranked.filter(node => node.address !== directory.self.address), directory.self];
	};

	const mintOnNode = async (
		node: domain.NodeDescription,
		service: string,
		count: number,
		signal: AbortSignal,
	): Promise<readonly string[]> => {
		if (node.address === directory.self.address) {
			return executor.mint(service, count);
		}

		const sent = await runWithTimeout({clock, timeoutMs: controlTimeoutMs, signal}, async requestSignal =>
			peerClient.request(node.address, ports.PeerMessageKind.MintOperations, {service, count}, requestSignal),
		);
		return sent.isTimedOut || sent.value.isErr() ? [] : sent.value.value.operationIds;
	};

	return async (service, count, signal) => {
		if (schedulers.listGroups(service).length === 0) {
			return neverthrow.err(`no service ${service} with targets is in the catalogue`);
		}

		for (const node of listMintingNodes(service)) {
			const operationIds = await mintOnNode(node, service, count, signal);
			if (operationIds.length > 0) {
				return neverthrow.ok(operationIds);
			}
		}

		return neverthrow.err('no node could mint an operation id');
	};
};
