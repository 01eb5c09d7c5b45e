/** Health of a target, as determined by its group's scheduling node. */
export enum TargetState {
	Healthy = 'healthy',
	/** Possibly unhealthy: receives less work. */
	Suspect = 'suspect',
	/** Receives no work until its ejection time has passed. */
	Ejected = 'ejected',
	/** Receives a little repeatable work, to confirm that it has recovered. */
	Probation = 'probation',
	/** Leaving: receives no new work and finishes what it has. */
	Draining = 'draining',
	/** New or returned from draining: its slots open gradually. */
	Cold = 'cold',
}
