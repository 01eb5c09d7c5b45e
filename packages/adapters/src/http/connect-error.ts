const CONNECT_ERROR_CODES = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
	'ENOTFOUND',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** System calls that run before a connection is open. */
const CONNECT_PHASE_SYSTEM_CALLS = new Set(['connect', 'getaddrinfo']);

/**
 * Whether a request failed while its connection was being opened, so that no byte of it was sent. An open connection can
 * fail with the same codes, for example when a router reports the host unreachable, and the request may have arrived
 * then. The failed system call is therefore checked too.
 */
export const isConnectError = (error: unknown): boolean => {
	if (!(error instanceof Error && 'code' in error)) {
		return false;
	}

	const isConnecting = !('syscall' in error) || CONNECT_PHASE_SYSTEM_CALLS.has(String(error.syscall));
	return isConnecting && CONNECT_ERROR_CODES.has(String(error.code));
};
