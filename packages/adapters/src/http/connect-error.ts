const CONNECT_ERROR_CODES = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
	'ENOTFOUND',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Calls that fail before a connection is open. */
const CONNECT_SYSTEM_CALLS = new Set(['connect', 'getaddrinfo']);

/**
 * Whether a request failed while its connection was being opened, so that no byte of it was sent. An open connection can
 * fail with the same codes (a router that reports the host unreachable, say), and then the request may have arrived, so
 * the failed system call is checked too.
 */
export const isConnectError = (error: unknown): boolean => {
	if (!(error instanceof Error && 'code' in error)) {
		return false;
	}

	const isConnecting = !('syscall' in error) || CONNECT_SYSTEM_CALLS.has(String(error.syscall));
	return isConnecting && CONNECT_ERROR_CODES.has(String(error.code));
};
