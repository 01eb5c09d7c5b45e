import * as zod from 'zod';

/** A line that a node has logged. */
export type LogLine = {
	readonly timestamp: string;
	readonly node: string;
	readonly event: string;
	/** All fields of the line but those above and the text for humans. */
	readonly fields: Readonly<Record<string, unknown>>;
};

const schema = zod.looseObject({timestamp: zod.iso.datetime(), node: zod.string(), event: zod.string()});

/** Reads a log line, also behind a prefix of a collector. Undefined for lines that no node has logged. */
export const parseLogLine = (text: string): LogLine | undefined => {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const parsed = schema.safeParse(JSON.parse(text.slice(start)));
		if (!parsed.success) {
			return undefined;
		}

		const {timestamp, node, event, level: _level, message: _message, ...fields} = parsed.data;
		return {timestamp, node, event, fields};
	} catch {
		// Collected logs hold lines of other programs, too.
		return undefined;
	}
};
