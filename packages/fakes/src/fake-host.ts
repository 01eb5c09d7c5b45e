import type * as core from '@bilberrydoor/core';

/** Simulated process of a node. It can be paused, resumed and killed. */
export type FakeHost = {
	readonly isDead: () => boolean;
	pause(): void;
	resume(): void;
	kill(): void;
	/** Resolves once the process is not paused. Never settles if the process has been killed. */
	waitUntilRunning(): Promise<void>;
	/** Wraps a clock so that sleeps do not end while the process is paused or after it has been killed. */
	wrapClock(clock: core.Clock): core.Clock;
};

const neverSettled = new Promise<void>(() => {
	// Never settles, because a killed process does not continue.
});

export const createFakeHost = (): FakeHost => {
	let isDead = false;
	let pauseEnd: Promise<void> | undefined;
	let resolvePauseEnd: () => void = () => undefined;

	const waitUntilRunning = async (): Promise<void> => {
		await pauseEnd;
		if (isDead) {
			await neverSettled;
		}
	};

	return {
		isDead: () => isDead,
		pause() {
			pauseEnd ??= new Promise(resolve => {
				resolvePauseEnd = resolve;
			});
		},
		resume() {
			pauseEnd = undefined;
			resolvePauseEnd();
		},
		kill() {
			isDead = true;
		},
		waitUntilRunning,
		wrapClock: clock => ({
			...clock,
			async sleep(durationMs, signal) {
				await clock.sleep(durationMs, signal);
				if (pauseEnd !== undefined || isDead) {
					await waitUntilRunning();
				}
			},
		}),
	};
};
