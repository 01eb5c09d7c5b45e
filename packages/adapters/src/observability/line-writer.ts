import process from 'node:process';
import type * as stream from 'node:stream';
import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';

export type LineWriterOptions = {
	/** Stream that the lines are written to. Its writes must not block. */
	readonly output: stream.Writable;
	/** Characters that may be buffered while the reader is slow; further lines are dropped and counted. */
	readonly bufferLimitLength: number;
	/** Fields of the line that reports dropped lines. */
	readonly fields: Readonly<Record<string, unknown>>;
};

/** Writes lines without blocking the process or filling its memory while the reader of the output is slow. */
export type LineWriter = {
	/** Writes or drops a line, which includes its line break. */
	write(line: string): void;
	/** Resolves when all lines are written, or after `timeoutMs`. */
	flush(timeoutMs: number): Promise<void>;
};

/** In characters; more than ten times what a node logs in one second of the users' heaviest day. */
const DEFAULT_BUFFER_LIMIT_LENGTH = 1_048_576;

const formatDroppedWarning = (droppedCount: number, fields: LineWriterOptions['fields']): string =>
	`${JSON.stringify({
		...fields,
		level: 'warn',
		message: 'log lines dropped',
		event: core.LogEvent.LogLinesDropped,
		droppedCount,
		timestamp: new Date().toISOString(),
	})}\n`;

export const createLineWriter = (given: Partial<LineWriterOptions> = {}): LineWriter => {
	const {output, bufferLimitLength, fields} = {
		output: process.stdout,
		bufferLimitLength: DEFAULT_BUFFER_LIMIT_LENGTH,
		fields: {},
		...given,
	};
	let droppedCount = 0;
	// A closed output must not end the process, and there is no other output to report the error to.
	output.on('error', () => {
		droppedCount++;
	});
	return {
		write(line) {
			if (output.destroyed || output.writableLength + line.length > bufferLimitLength) {
				droppedCount++;
				return;
			}

			if (droppedCount > 0) {
				output.write(formatDroppedWarning(droppedCount, fields));
				droppedCount = 0;
			}

			output.write(line);
		},
		async flush(timeoutMs) {
			const written = new Promise(resolve => {
				output.write('', resolve);
			});
			await Promise.race([written, timersPromises.setTimeout(timeoutMs, undefined, {ref: false})]);
		},
	};
};
