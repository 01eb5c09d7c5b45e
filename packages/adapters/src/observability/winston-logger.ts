import type * as core from '@bilberrydoor/core';
import * as winston from 'winston';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

const LEVELS: readonly LogLevel[] = ['debug', 'info', 'warn', 'error'];

/** Logger that writes JSON lines. */
export const createWinstonLogger = (options: {
	level: LogLevel;
	/** Fields of every line, such as the VM id. */
	fields?: Readonly<Record<string, unknown>>;
	/** Stream of the process; standard error by default. */
	stream?: 'stdout' | 'stderr';
}): core.Logger => {
	const logger = winston.createLogger({
		level: options.level,
		defaultMeta: options.fields,
		format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
		transports: [new winston.transports.Console({stderrLevels: options.stream === 'stdout' ? [] : [...LEVELS]})],
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
