import * as zod from 'zod';

/** A line that a node has logged. */
export type LogLine = {
	readonly timestamp: string;
	readonly node: string;
	readonly event: string;
	/** All other fields of the line but `level` and `message`. */
	readonly fields: Readonly<Record<string, unknown>>;
};

const logLineSchema = zod.looseObject({timestamp: zod.iso.datetime(), node: zod.string(), event: zod.string()});

/** Parses a log line, which may follow a log collector's prefix. Undefined for lines that no node has logged. */
export const parseLogLine = (text: string): LogLine | undefined => {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const parsed = logLineSchema.safeParse(JSON.parse(text.slice(start)));
		if (!parsed.success) {
			return undefined;
		}

		const {timestamp, node, event, level: _level, message: _message, ...fields} = parsed.data;
		return {timestamp, node, event, fields};
	} catch {
		// Collected logs may contain lines of other programs.
		return undefined;
	}
};
