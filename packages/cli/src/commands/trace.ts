import * as fs from 'node:fs';
import * as readline from 'node:readline';
import type {Command} from '../command.js';
import {ExitCode} from '../exit-code.js';
import {parseLogLine, type LogLine} from '../log-line.js';
import {isInScope, findRequestScope, formatLogLine} from '../trace-request.js';

/** Reads the lines that pass a filter, without loading whole files into memory. */
const readLines = async (
	fileNames: readonly string[],
	isWanted: (text: string) => boolean,
): Promise<readonly LogLine[]> => {
	const lines: LogLine[] = [];
	for (const fileName of fileNames) {
		for await (const text of readline.createInterface({input: fs.createReadStream(fileName)})) {
			const line = isWanted(text) ? parseLogLine(text) : undefined;
			if (line) {
				lines.push(line);
			}
		}
	}

	return lines;
};

/** Shows the log lines of several nodes that concern one request, in order of time. */
export const trace: Command = {
	usage: '<request-id> <files...>',
	description: 'show from log files how a request was handled',
	async run({args, print, report}) {
		const [requestId = '', ...fileNames] = args;
		try {
			const requestLines = await readLines(fileNames, text => text.includes(requestId));
			const scope = findRequestScope(requestId, requestLines);
			if (!scope) {
				report(
					`no line of ${fileNames.join(', ')} contains request id ${requestId}; calls answered with a status below 500 at the first attempt are logged at level debug only`,
				);
				return ExitCode.NotFound;
			}

			const eventLines = await readLines(fileNames, text => text.includes('"event"'));
			const timeline = eventLines
				.filter(line => isInScope(scope, line))
				.toSorted((left, right) => Date.parse(left.timestamp) - Date.parse(right.timestamp));
			print({json: timeline, lines: timeline.map(formatLogLine)});
			return ExitCode.Ok;
		} catch (error) {
			report(`log files cannot be read: ${String(error)}`);
			return ExitCode.InvalidInput;
		}
	},
};
