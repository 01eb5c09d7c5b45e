import * as perfHooks from 'node:perf_hooks';
import process from 'node:process';
import * as timers from 'node:timers';
import type * as core from '@bilberrydoor/core';

const SAMPLE_PERIOD_MS = 500;
const NANOSECONDS_PER_MILLISECOND = 1e6;

/** Measures the load of this process. */
export const createProcessLoad = (): core.NodeLoad & {stop(): void} => {
	const histogram = perfHooks.monitorEventLoopDelay({resolution: 10});
	histogram.enable();
	let recentDelayMs = 0;
	let recentResidentBytes = process.memoryUsage.rss();
	const timer = timers.setInterval(() => {
		recentDelayMs = histogram.percentile(90) / NANOSECONDS_PER_MILLISECOND;
		histogram.reset();
		recentResidentBytes = process.memoryUsage.rss();
	}, SAMPLE_PERIOD_MS);
	timer.unref();
	return {
		eventLoopDelayMs: () => recentDelayMs,
		residentBytes: () => recentResidentBytes,
		stop() {
			timers.clearInterval(timer);
			histogram.disable();
		},
	};
};
