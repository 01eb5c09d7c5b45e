/** Closes the source of a body that is no longer read. A source that has already failed needs no closing. */
export const closeBody = async (iterator: AsyncIterator<Uint8Array>): Promise<void> => {
	try {
		await iterator.return?.();
	} catch {
		// The reader has already received the error, and an unhandled rejection would terminate the process.
	}
};
