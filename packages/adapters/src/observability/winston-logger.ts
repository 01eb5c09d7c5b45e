import type * as core from '@bilberrydoor/core';
import * as winston from 'winston';

/** Logger that writes JSON lines to standard error. */
export const createWinstonLogger = (options: {
	level: 'debug' | 'info' | 'warn' | 'error';
	/** Fields of every line, such as the VM id. */
	fields?: Readonly<Record<string, unknown>>;
}): core.Logger => {
	const logger = winston.createLogger({
		level: options.level,
		defaultMeta: options.fields,
		format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
		transports: [new winston.transports.Console({stderrLevels: ['debug', 'info', 'warn', 'error']})],
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
