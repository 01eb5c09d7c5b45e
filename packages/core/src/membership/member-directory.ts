import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';

export type MembershipOptions = {
	/** Pause between readings of the VM list, in ms. Below the bound of 2 s by which leaving targets get no new work. */
	readonly vmListPeriodMs: number;
};

export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
	vmListPeriodMs: 1000,
};

/** The fleet as this node sees it. */
export type MemberDirectory = {
	readonly self: domain.NodeDescription;
	/** Rises whenever the set of eligible nodes changes. */
	version(): number;
	/** Nodes that may schedule groups in a region: believed alive, heard by others and not leaving. */
	listEligibleNodes(region: string): readonly domain.NodeDescription[];
	/** All members that are not known to be dead. */
	listLiveNodes(): readonly domain.NodeDescription[];
	/** Target addresses that the VM list calls leaving. */
	isTargetLeaving(address: string): boolean;
	/** All addresses for which {@link isTargetLeaving} holds. */
	listLeavingTargetAddresses(): readonly string[];
};

/** A directory that a task keeps up to date. */
export type Membership = {
	readonly directory: MemberDirectory;
	run(signal: AbortSignal): Promise<void>;
};

export const createMembership = (dependencies: {
	ports: ports.NodePorts;
	self: domain.NodeDescription;
	options?: Partial<MembershipOptions>;
}): Membership => {
	const {self} = dependencies;
	const {clock, vmList, logger} = dependencies.ports;
	const options = {...DEFAULT_MEMBERSHIP_OPTIONS, ...dependencies.options};
	let nodes: domain.NodeDescription[] = [self];
	let leavingTargets = new Set<string>();
	let version = 0;

	const describeListedNode = (item: ports.VmListItem): domain.NodeDescription =>
		item.address === self.address
			? self
			: {
					vmId: item.vmId,
					address: item.address,
					incarnationId: '',
					region: item.region,
					availabilityZone: item.availabilityZone,
					operationsAddress: '',
				};

	const refresh = async (signal: AbortSignal): Promise<void> => {
		const reply = await vmList.list(signal);
		if (reply.isErr()) {
			logger.warn('VM list read failed', {detail: reply.error.detail});
			return;
		}

		const listed = reply.value.filter(item => item.isFleetNode && !item.isLeaving).map(describeListedNode);
		nodes = listed.some(node => node.address === self.address) ? listed : [self, ...listed];
		leavingTargets = new Set(reply.value.filter(item => !item.isFleetNode && item.isLeaving).map(item => item.address));
		version++;
	};

	return {
		directory: {
			self,
			version: () => version,
			listEligibleNodes: region => nodes.filter(node => node.region === region),
			listLiveNodes: () => nodes,
			isTargetLeaving: address => leavingTargets.has(address),
			listLeavingTargetAddresses: () => [...leavingTargets],
		},
		async run(signal) {
			while (!signal.aborted) {
				await refresh(signal);
				await clock.sleep(options.vmListPeriodMs, signal);
			}
		},
	};
};
