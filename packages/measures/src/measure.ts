/** Parameters of one run of a measurement. */
export type MeasureOptions = {
	readonly seed: number;
	/** Writes a line of progress to standard error. */
	reportProgress(line: string): void;
};

/** A measurement. Its result is printed as one JSON object. */
export type Measure = (options: MeasureOptions) => Promise<Readonly<Record<string, unknown>>>;
