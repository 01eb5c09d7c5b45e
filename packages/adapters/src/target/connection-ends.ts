/** Tells whether a connection's end is being handled: answers that complete meanwhile complete because of it. */
export type ConnectionEnds = {
	note(): void;
	isHandling(): boolean;
};

export const createConnectionEnds = (): ConnectionEnds => {
	let isHandling = false;
	return {
		note() {
			isHandling = true;
			// The listeners of one event run before any microtask.
			queueMicrotask(() => {
				isHandling = false;
			});
		},
		isHandling: () => isHandling,
	};
};
