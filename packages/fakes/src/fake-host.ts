import type * as core from '@bilberrydoor/core';

/** The process that a node runs in. It can be paused, resumed and killed. */
export type FakeHost = {
	readonly isDead: () => boolean;
	pause(): void;
	resume(): void;
	kill(): void;
	/** Resolves when the process runs; never for a killed process. */
	waitUntilRunning(): Promise<void>;
	/** The clock as the process sees it: a paused process does not wake up from its sleeps. */
	wrapClock(clock: core.Clock): core.Clock;
};

const never = new Promise<void>(() => {
	// A killed process never goes on.
});

export const createFakeHost = (): FakeHost => {
	let isDead = false;
	let paused: Promise<void> | undefined;
	let resumePaused: () => void = () => undefined;

	const waitUntilRunning = async (): Promise<void> => {
		await paused;
		if (isDead) {
			await never;
		}
	};

	return {
		isDead: () => isDead,
		pause() {
			paused ??= new Promise(resolve => {
				resumePaused = resolve;
			});
		},
		resume() {
			paused = undefined;
			resumePaused();
		},
		kill() {
			isDead = true;
		},
		waitUntilRunning,
		wrapClock: clock => ({
			...clock,
			async sleep(durationMs, signal) {
				await clock.sleep(durationMs, signal);
				if (paused !== undefined || isDead) {
					await waitUntilRunning();
				}
			},
		}),
	};
};
