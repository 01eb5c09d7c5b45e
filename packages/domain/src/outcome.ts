/** The one true ending of a call, as the caller is told. */
export enum Outcome {
	/** A target answered, with whatever status. */
	Completed = 'completed',
	/** No target ran the work, and none will. */
	NotRun = 'not-run',
	/** The work may or may not have run. */
	Unknown = 'unknown',
}
