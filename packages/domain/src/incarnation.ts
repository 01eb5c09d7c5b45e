/** One run of a node's process. A restart on the same address is another incarnation. */
export type Incarnation = {
	readonly vmId: string;
	/** Advertised peer address, IP and port. */
	readonly address: string;
	/** Random token of this run. */
	readonly incarnationId: string;
};

/** A node of the fleet, as other nodes know it. */
export type NodeDescription = Incarnation & {
	readonly region: string;
	readonly availabilityZone: string;
	/** Address of the operations listener, IP and port. */
	readonly operationsAddress: string;
};

/** Whether two descriptions mean the same process run. */
export const isSameIncarnation = (left: Incarnation, right: Incarnation): boolean =>
	left.vmId === right.vmId && left.address === right.address && left.incarnationId === right.incarnationId;
