/** Tracks whether the end of a connection is being handled, which may complete the answer in progress. */
export type ConnectionEndTracker = {
	recordEnd(): void;
	isHandlingEnd(): boolean;
};

export const createConnectionEndTracker = (): ConnectionEndTracker => {
	let isHandlingEnd = false;
	return {
		recordEnd() {
			isHandlingEnd = true;
			// All listeners of an event run before the next microtask, so undici handles the event while the flag is set.
			queueMicrotask(() => {
				isHandlingEnd = false;
			});
		},
		isHandlingEnd: () => isHandlingEnd,
	};
};
