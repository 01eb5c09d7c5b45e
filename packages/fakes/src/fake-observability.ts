import type * as core from '@bilberrydoor/core';

const ignore = (): void => undefined;

/** Logger that discards all entries. */
export const createSilentLogger = (): core.Logger => ({
	debug: ignore,
	info: ignore,
	warn: ignore,
	error: ignore,
});

/** In-memory metrics. */
export type FakeMetrics = core.Metrics & {
	readonly gauges: ReadonlyMap<string, number>;
	/** Sum of a counter over all label sets that contain the given labels. */
	sum(name: core.CounterName, labels?: core.Labels): number;
};

export const createFakeMetrics = (): FakeMetrics => {
	const counters = new Map<string, {name: core.CounterName; labels: core.Labels; value: number}>();
	const gauges = new Map<string, number>();
	const buildKey = (name: string, labels: core.Labels): string => `${name} ${Object.values(labels).join(' ')}`;
	return {
		gauges,
		increment(name, labels, by = 1) {
			const key = buildKey(name, labels);
			const counter = counters.get(key) ?? {name, labels, value: 0};
			counter.value += by;
			counters.set(key, counter);
		},
		set(name, labels, value) {
			gauges.set(buildKey(name, labels), value);
		},
		observe: ignore,
		sum: (name, labels = {}) =>
			[...counters.values()]
				.filter(counter => counter.name === name)
				.filter(counter => Object.entries(labels).every(([key, value]) => counter.labels[key] === value))
				.reduce((sum, counter) => sum + counter.value, 0),
	};
};
