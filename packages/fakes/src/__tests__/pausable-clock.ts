import type * as core from '@bilberrydoor/core';
import type {VirtualClock} from '../virtual-clock.js';
import type {Draws} from './draws.js';

/** Clock of a node that can be suspended. Nothing that sleeps on it wakes up during a pause. */
export type PausableClock = VirtualClock & {
	/** Suspends the node. What became due meanwhile happens in random order afterwards, each in a turn of its own or not. */
	pause(durationMs: number): Promise<void>;
};

export const createPausableClock = (world: VirtualClock, draws: Draws): PausableClock => {
	let isPaused = false;
	let held: ReadonlyArray<() => void> = [];
	const waitForEndOfPause = async (signal: AbortSignal | undefined): Promise<void> => {
		if (isPaused && !signal?.aborted) {
			await new Promise<void>(resolve => {
				held = [...held, resolve];
				signal?.addEventListener('abort', () => resolve(), {once: true});
			});
		}
	};

	const sleep: core.Clock['sleep'] = async (durationMs, signal) => {
		await world.sleep(durationMs, signal);
		await waitForEndOfPause(signal);
	};

	return {
		...world,
		sleep,
		async pause(durationMs) {
			isPaused = true;
			await world.sleep(durationMs);
			isPaused = false;
			while (held.length > 0) {
				const resume = draws.pick(held);
				held = held.filter(other => other !== resume);
				resume();
				if (draws.chance(0.5)) {
					await world.sleep(0);
				}
			}
		},
	};
};
