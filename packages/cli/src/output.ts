/** How results are printed. */
export enum OutputFormat {
	Table = 'table',
	Json = 'json',
}

/** A result in both output formats. */
export type View = {
	/** Printed as JSON; its fields are stable. */
	readonly json: unknown;
	/** Printed as lines. */
	readonly lines: readonly string[];
};

/** Value of a table cell; an absent or empty one is shown as a hyphen. */
type Cell = string | number | boolean | undefined;

const formatCell = (value: Cell): string => (value === undefined || value === '' ? '-' : String(value));

/** Lays out rows under column titles. */
export const layOutTable = <Column extends string>(
	columns: readonly Column[],
	rows: ReadonlyArray<Readonly<Record<Column, Cell>>>,
): string[] => {
	const cells = rows.map(row => columns.map(column => formatCell(row[column])));
	const widths = columns.map((column, index) => Math.max(column.length, ...cells.map(line => line[index]!.length)));
	return [[...columns], ...cells].map(line =>
		line
			.map((cell, index) => cell.padEnd(widths[index]!))
			.join('  ')
			.trimEnd(),
	);
};

const RENDERERS: Record<OutputFormat, (view: View) => string> = {
	[OutputFormat.Table]: view => view.lines.map(line => `${line}\n`).join(''),
	[OutputFormat.Json]: view => `${JSON.stringify(view.json, undefined, 2)}\n`,
};

export const renderView = (view: View, format: OutputFormat): string => RENDERERS[format](view);
