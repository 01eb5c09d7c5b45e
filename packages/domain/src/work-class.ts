/** Class of work of a route. Each class has its own queue, so that short work does not wait behind long work. */
export enum WorkClass {
	Short = 'short',
	Long = 'long',
	Bulk = 'bulk',
}

/** Whether work may be run more than once. */
export enum Repeatability {
	/** The target may run it more than once. */
	Repeatable = 'repeatable',
	/** The target must run it at most once. */
	Single = 'single',
}
