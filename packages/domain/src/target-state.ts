/** Health of a target as its group's scheduling node judges it. */
export enum TargetState {
	Healthy = 'healthy',
	/** Under suspicion: receives less work. */
	Suspect = 'suspect',
	/** Receives no work until its ejection time has passed. */
	Ejected = 'ejected',
	/** Receives a trickle of repeatable work to confirm its return. */
	Probation = 'probation',
	/** Leaving: receives no new work and finishes what it has. */
	Draining = 'draining',
	/** Just started: its slots open gradually. */
	Cold = 'cold',
}
