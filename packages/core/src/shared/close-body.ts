/** Tells a body's source that nobody reads it any more. A source that has failed already needs no closing. */
export const closeBody = async (iterator: AsyncIterator<Uint8Array>): Promise<void> => {
	try {
		await iterator.return?.();
	} catch {
		// The failure has been seen by the reader, and an unhandled rejection would stop the process.
	}
};
