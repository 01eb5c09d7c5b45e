/** Resolves when the signal is aborted. */
export const waitForAbort = async (signal: AbortSignal): Promise<void> =>
	new Promise<void>(resolve => {
		if (signal.aborted) {
			resolve();
		}

		signal.addEventListener(
			'abort',
			() => {
				resolve();
			},
			{once: true},
		);
	});
