import type * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import type {MeasuredSystem} from './build-systems.js';
import {ENTRY_NODE_COUNT} from './user-profiles.js';

/** A stream of calls with random arrivals. */
export type CallStream = {
	readonly workspace: string;
	readonly path: string;
	/** Rate of arrivals `atMs` after the start of the run. */
	readonly ratePerSecond: (atMs: number) => number;
	/** Upper bound of `ratePerSecond`. */
	readonly peakPerSecond: number;
};

/** Result of one call. */
export type CallSample = {
	readonly workspace: string;
	readonly path: string;
	readonly startedAtMs: number;
	readonly endedAtMs: number;
	readonly latencyMs: number;
	readonly outcome: domain.Outcome;
	/** True when the call completed with a status below 500 and its whole body was received. */
	readonly isUseful: boolean;
};

type Arrival = {readonly atMs: number; readonly stream: CallStream};

const MS_PER_SECOND = 1000;

/** Draws the arrivals of a Poisson process with a time-varying rate by thinning. */
const drawArrivals = (random: core.Random, stream: CallStream, durationMs: number): Arrival[] => {
	const arrivals: Arrival[] = [];
	let atMs = 0;
	for (;;) {
		atMs -= (Math.log(1 - random.fraction()) * MS_PER_SECOND) / stream.peakPerSecond;
		if (atMs >= durationMs) {
			return arrivals;
		}

		if (random.fraction() * stream.peakPerSecond < stream.ratePerSecond(atMs)) {
			arrivals.push({atMs, stream});
		}
	}
};

const makeCall = async (
	system: MeasuredSystem,
	nodeIndex: number,
	arrival: Arrival,
	startMs: number,
): Promise<CallSample> => {
	const {workspace, path} = arrival.stream;
	const controller = new AbortController();
	const call = fakes.buildCall({workspace, path});
	const ending = await system.handleCall(nodeIndex, call, controller.signal);
	let isUseful = ending.outcome === domain.Outcome.Completed && ending.answer.status < 500;
	if (ending.outcome === domain.Outcome.Completed) {
		try {
			await fakes.readText(ending.answer.body);
		} catch {
			isUseful = false;
		}
	}

	controller.abort('ended');
	const endedAtMs = system.clock.monotonicMs() - startMs;
	return {
		workspace,
		path,
		startedAtMs: arrival.atMs,
		endedAtMs,
		latencyMs: endedAtMs - arrival.atMs,
		outcome: ending.outcome,
		isUseful,
	};
};

/**
 * Runs the streams against a system and returns a sample for each call. Times count from the start of the run. Throws
 * when a call does not end.
 */
export const runLoad = async (options: {
	system: MeasuredSystem;
	streams: readonly CallStream[];
	durationMs: number;
	/** Time after the last arrival within which all calls must end. */
	settleMs: number;
	random: core.Random;
}): Promise<CallSample[]> => {
	const {system, random} = options;
	const {clock} = system;
	const startMs = clock.monotonicMs();
	const samples: CallSample[] = [];
	const arrivals = options.streams
		.flatMap(stream => drawArrivals(random, stream, options.durationMs))
		.toSorted((left, right) => left.atMs - right.atMs);

	const record = async (arrival: Arrival): Promise<void> => {
		const nodeIndex = Math.floor(random.fraction() * ENTRY_NODE_COUNT);
		samples.push(await makeCall(system, nodeIndex, arrival, startMs));
	};

	const sendAll = async (): Promise<void> => {
		for (const arrival of arrivals) {
			await clock.sleep(startMs + arrival.atMs - clock.monotonicMs());
			void record(arrival);
		}

		await clock.sleep(options.settleMs);
	};

	await clock.runUntilSettled(sendAll(), options.durationMs + options.settleMs + MS_PER_SECOND);
	if (samples.length !== arrivals.length) {
		throw new Error(`${arrivals.length - samples.length} of ${arrivals.length} calls did not end`);
	}

	return samples;
};
