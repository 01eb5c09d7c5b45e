import * as stream from 'node:stream';
import type * as core from '@bilberrydoor/core';
import * as winston from 'winston';
import type {LineWriter} from './line-writer.js';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

const LEVELS: readonly LogLevel[] = ['debug', 'info', 'warn', 'error'];

const createTransport = (writer: LineWriter | undefined): winston.transport =>
	writer === undefined
		? new winston.transports.Console({stderrLevels: [...LEVELS]})
		: new winston.transports.Stream({
				stream: new stream.Writable({
					decodeStrings: false,
					write(line: string, _encoding, callback) {
						writer.write(line);
						callback();
					},
				}),
			});

/** Logger that writes JSON lines. */
export const createWinstonLogger = (options: {
	level: LogLevel;
	/** Fields of every line, such as the VM id. */
	fields?: Readonly<Record<string, unknown>>;
	/** Destination of the lines; standard error by default, which blocks the process while the output is read slowly. */
	writer?: LineWriter;
}): core.Logger => {
	const logger = winston.createLogger({
		level: options.level,
		defaultMeta: options.fields,
		format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
		transports: [createTransport(options.writer)],
	});
	return {
		debug(message, fields) {
			logger.debug(message, fields);
		},
		info(message, fields) {
			logger.info(message, fields);
		},
		warn(message, fields) {
			logger.warn(message, fields);
		},
		error(message, fields) {
			logger.error(message, fields);
		},
	};
};
