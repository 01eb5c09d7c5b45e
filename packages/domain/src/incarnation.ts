/** One run of a node's process. A restart on the same address is another incarnation. */
export type Incarnation = {
	readonly vmId: string;
	/** Advertised peer address, IP and port. */
	readonly address: string;
	/** Random token of this run. */
	readonly incarnationId: string;
};

/** A node of the fleet, as described to other nodes. */
export type NodeDescription = Incarnation & {
	readonly region: string;
	readonly availabilityZone: string;
	/** Address of the operations listener, IP and port. */
	readonly operationsAddress: string;
};

/** Whether both identify the same run of a process. */
export const isSameIncarnation = (left: Incarnation, right: Incarnation): boolean =>
	left.vmId === right.vmId && left.address === right.address && left.incarnationId === right.incarnationId;
