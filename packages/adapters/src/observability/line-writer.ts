import process from 'node:process';
import type * as stream from 'node:stream';
import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';

export type LineWriterOptions = {
	/** Stream that the lines go to. Its writes must not block. */
	readonly output: stream.Writable;
	/** Characters that may wait while the reader is slow; later lines are dropped and counted. */
	readonly limitLength: number;
	/** Fields of the line that tells of dropped lines. */
	readonly fields: Readonly<Record<string, unknown>>;
};

/** Writes lines without holding up the process or filling its memory while their reader is slow. */
export type LineWriter = {
	/** Takes a line with its line break. */
	write(line: string): void;
	/** Resolves when all lines are written, or after `timeoutMs`. */
	flush(timeoutMs: number): Promise<void>;
};

/** The node's lines in a second of the users' heaviest day take less than a tenth of this. */
const DEFAULT_LIMIT_LENGTH = 1_048_576;

const describeDropped = (droppedCount: number, fields: LineWriterOptions['fields']): string =>
	`${JSON.stringify({
		...fields,
		level: 'warn',
		message: 'log lines dropped',
		event: core.LogEvent.LogLinesDropped,
		droppedCount,
		timestamp: new Date().toISOString(),
	})}\n`;

export const createLineWriter = (given: Partial<LineWriterOptions> = {}): LineWriter => {
	const {output, limitLength, fields} = {
		output: process.stdout,
		limitLength: DEFAULT_LIMIT_LENGTH,
		fields: {},
		...given,
	};
	let droppedCount = 0;
	// A reader that is gone must not end the process, and there is no other place for the error.
	output.on('error', () => {
		droppedCount++;
	});
	return {
		write(line) {
			if (output.destroyed || output.writableLength + line.length > limitLength) {
				droppedCount++;
				return;
			}

			if (droppedCount > 0) {
				output.write(describeDropped(droppedCount, fields));
				droppedCount = 0;
			}

			output.write(line);
		},
		async flush(timeoutMs) {
			const isWritten = new Promise(resolve => {
				output.write('', resolve);
			});
			await Promise.race([isWritten, timersPromises.setTimeout(timeoutMs, undefined, {ref: false})]);
		},
	};
};
