/** Class of work of a route. Classes queue apart, so short work does not wait behind long work. */
export enum WorkClass {
	Short = 'short',
	Long = 'long',
	Bulk = 'bulk',
}

/** Whether work may be executed again. */
export enum Repeatability {
	/** The target may run it more than once. */
	Repeatable = 'repeatable',
	/** The target must run it at most once. */
	Single = 'single',
}
