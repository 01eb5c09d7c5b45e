import type * as neverthrow from 'neverthrow';

/** One VM that the platform lists. */
export type VmListItem = {
	readonly vmId: string;
	/** Peer address of the node on the VM, or the address of the target on it. */
	readonly address: string;
	readonly region: string;
	readonly availabilityZone: string;
	/** True for VMs of the fleet, false for target VMs. */
	readonly isFleetNode: boolean;
	readonly isLeaving: boolean;
};

export type VmListError = {readonly detail: string};

/** The platform's list of VMs. It may be outdated. */
export type VmList = {
	list(signal?: AbortSignal): Promise<neverthrow.Result<readonly VmListItem[], VmListError>>;
};
