/** Readiness for work that a target reports. */
export enum TargetReadiness {
	Ready = 'ready',
	Draining = 'draining',
}

/** A target as it is registered in the platform's store. */
export type RegisteredTarget = {
	readonly targetId: string;
	/** Start of the target's process in ms since 1970. A new value under the same id is a new incarnation. */
	readonly startedAtMs: number;
	readonly service: string;
	/** IP and port. */
	readonly address: string;
	readonly region: string;
	readonly availabilityZone: string;
	readonly slotCount: number;
	readonly readiness: TargetReadiness;
	/** Time left, when the record was written, in which the target is slower because it is warming up, in ms. */
	readonly warmUpLeftMs: number;
};

/** A node of the fleet as it is registered in the platform's store. */
export type RegisteredNode = {
	readonly nodeId: string;
	readonly incarnationId: string;
	/** Address of the listener for peers, IP and port. */
	readonly address: string;
	readonly region: string;
	readonly availabilityZone: string;
	/** Processor cores that the node may use. */
	readonly capacityCores: number;
};

/** Capacity assumed for nodes of earlier versions, whose records have none. */
export const DEFAULT_CAPACITY_CORES = 0.5;
