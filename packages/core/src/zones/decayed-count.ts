/** A count whose entries lose weight exponentially with their age. */
export type DecayedCount = {
	add(nowMs: number, amount?: number): void;
	read(nowMs: number): number;
};

/** Creates a count with the given time constant. At a constant rate it reads the rate times the time constant. */
export const createDecayedCount = (timeConstantMs: number): DecayedCount => {
	let value = 0;
	let atMs = 0;
	const read = (nowMs: number): number => {
		if (nowMs > atMs) {
			value *= Math.exp((atMs - nowMs) / timeConstantMs);
			atMs = nowMs;
		}

		return value;
	};

	return {
		read,
		add(nowMs, amount = 1) {
			value = read(nowMs) + amount;
		},
	};
};
