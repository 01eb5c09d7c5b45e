import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import type {MembershipOptions} from './membership-options.js';
import type {MemberTable} from './member-table.js';

/** Reads the VM list at intervals, and updates the member table and the set of leaving targets from it. */
export type VmListReader = {
	/** Reads the list once. Returns whether the read succeeded. */
	refresh(signal: AbortSignal): Promise<boolean>;
	/** Reads the list until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
	isTargetLeaving(address: string): boolean;
	/** Addresses of all targets that the list marks as leaving. */
	listLeavingTargetAddresses(): readonly string[];
};

/** Time limit of one read of the list, in ms. */
const LIST_TIMEOUT_MS = 2000;

const describeListedNode = (item: ports.VmListItem): domain.NodeDescription => ({
	vmId: item.vmId,
	address: item.address,
	// The list does not contain incarnations; the node itself sends its own.
	incarnationId: '',
	region: item.region,
	availabilityZone: item.availabilityZone,
	operationsAddress: '',
});

export const createVmListReader = (dependencies: {
	ports: Pick<ports.NodePorts, 'clock' | 'logger' | 'random' | 'vmList'>;
	table: MemberTable;
	options: MembershipOptions;
}): VmListReader => {
	const {table, options} = dependencies;
	const {clock, logger, random, vmList} = dependencies.ports;
	let leavingTargets = new Set<string>();
	let handledLeavingVmIds = new Set<string>();
	let itemCount = 0;

	/**
	 * Applies the leaving mark of a VM until the VM's incarnation is known, and ignores it in later readings. A stale list
	 * still has the mark after a new incarnation has replaced the marked one.
	 */
	const applyLeavingNodes = (items: readonly ports.VmListItem[]): void => {
		const leaving = items.filter(item => item.isLeaving);
		const handledVmIds = new Set<string>();
		leaving.forEach(item => {
			const member = table.findMember(item.address);
			if (!handledLeavingVmIds.has(item.vmId) && member?.node.vmId === item.vmId) {
				const {node, refutationCount} = member;
				table.apply({node, refutationCount, state: domain.MemberState.Leaving});
			}

			if (handledLeavingVmIds.has(item.vmId) || (member?.node.incarnationId ?? '') !== '') {
				handledVmIds.add(item.vmId);
			}
		});
		handledLeavingVmIds = handledVmIds;
	};

	const applyNodes = (items: readonly ports.VmListItem[]): void => {
		const listedAddresses = new Set(items.map(item => item.address));
		items
			.filter(item => !table.findMember(item.address))
			.forEach(item => {
				table.addListed(describeListedNode(item));
			});
		table.list().forEach(member => {
			member.isListed = listedAddresses.has(member.node.address) || member.node.address === table.self().node.address;
			if (!member.isListed && member.node.incarnationId === '') {
				table.remove(member.node.address);
			}
		});
		applyLeavingNodes(items);
	};

	const applyTargets = (items: readonly ports.VmListItem[]): void => {
		leavingTargets = new Set(items.filter(item => item.isLeaving).map(item => item.address));
	};

	const refresh = async (signal: AbortSignal): Promise<boolean> => {
		const timed = await runWithTimeout({clock, timeoutMs: LIST_TIMEOUT_MS, signal}, async taskSignal =>
			vmList.list(taskSignal),
		);
		if (timed.isTimedOut || timed.value.isErr()) {
			const detail = timed.isTimedOut ? `no reply within ${LIST_TIMEOUT_MS} ms` : timed.value._unsafeUnwrapErr().detail;
			logger.warn('VM list read failed', {detail});
			return false;
		}

		const items = timed.value.value;
		const nodes = items.filter(item => item.isFleetNode);
		if (nodes.length === 0) {
			logger.warn('VM list contains no fleet node; keeping the previous list');
			return true;
		}

		itemCount = items.length;
		applyNodes(nodes);
		applyTargets(items.filter(item => !item.isFleetNode));
		return true;
	};

	return {
		refresh,
		async run(signal) {
			while (!signal.aborted) {
				const extraCount = Math.max(0, itemCount - options.vmListItemThresholdCount);
				const periodMs = options.vmListPeriodMs + extraCount * options.vmListMsPerItem;
				await clock.sleep(periodMs * (0.75 + 0.5 * random.fraction()), signal);
				if (!signal.aborted) {
					await refresh(signal);
				}
			}
		},
		isTargetLeaving: address => leavingTargets.has(address),
		listLeavingTargetAddresses: () => [...leavingTargets],
	};
};
