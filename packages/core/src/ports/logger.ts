/** Structured log lines. */
export type Logger = {
	debug(message: string, fields?: Readonly<Record<string, unknown>>): void;
	info(message: string, fields?: Readonly<Record<string, unknown>>): void;
	warn(message: string, fields?: Readonly<Record<string, unknown>>): void;
	error(message: string, fields?: Readonly<Record<string, unknown>>): void;
};
