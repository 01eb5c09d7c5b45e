/** Outcome of a call, as reported to the caller. */
export enum Outcome {
	/** A target answered, with any status. */
	Completed = 'completed',
	/** No target ran the work, and none will. */
	NotRun = 'not-run',
	/** The work may or may not have run. */
	Unknown = 'unknown',
}
