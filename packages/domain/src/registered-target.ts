/** What a target says about its readiness for work. */
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
	/** How much longer the target is slow after its start, in ms, when the record was written. */
	readonly warmUpLeftMs: number;
};

/** A node of the fleet as it registers itself in the platform's store. */
export type RegisteredNode = {
	readonly nodeId: string;
	readonly incarnationId: string;
	/** IP and port of the listener for peers. */
	readonly address: string;
	readonly region: string;
	readonly availabilityZone: string;
};
