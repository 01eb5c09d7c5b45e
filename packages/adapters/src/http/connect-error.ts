const CONNECT_ERROR_CODES = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
	'ENOTFOUND',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether a request failed while its connection was being opened, so that no byte of it was sent. */
export const isConnectError = (error: unknown): boolean =>
	error instanceof Error && 'code' in error && CONNECT_ERROR_CODES.has(String(error.code));
