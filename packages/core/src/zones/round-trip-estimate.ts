/** Length of each of the two periods over which the minimum is kept, in ms. */
const PERIOD_MS = 10_000;

/** Round trips of messages to a place. */
export type RoundTripEstimate = {
	record(nowMs: number, roundTripMs: number): void;
	/** Smallest round trip of the last 10 to 20 s, in ms; undefined without one, since older ones may no longer hold. */
	read(nowMs: number): number | undefined;
};

/** Uses the minimum, since the other replies contain waits at the dispatcher or for the processor. */
export const createRoundTripEstimate = (): RoundTripEstimate => {
	let periodIndex = 0;
	let current = Number.POSITIVE_INFINITY;
	let previous = Number.POSITIVE_INFINITY;
	const advance = (nowMs: number): void => {
		const index = Math.floor(nowMs / PERIOD_MS);
		if (index !== periodIndex) {
			previous = index === periodIndex + 1 ? current : Number.POSITIVE_INFINITY;
			current = Number.POSITIVE_INFINITY;
			periodIndex = index;
		}
	};

	return {
		record(nowMs, roundTripMs) {
			advance(nowMs);
			current = Math.min(current, roundTripMs);
		},
		read(nowMs) {
			advance(nowMs);
			const smallest = Math.min(current, previous);
			return Number.isFinite(smallest) ? smallest : undefined;
		},
	};
};
