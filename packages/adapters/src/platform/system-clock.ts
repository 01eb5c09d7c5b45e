import * as timers from 'node:timers';
import type * as core from '@bilberrydoor/core';

/** Clock of the running process. */
export const createSystemClock = (): core.Clock => ({
	monotonicMs: () => performance.now(),
	wallMs: () => Date.now(),
	async sleep(durationMs, signal) {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = (): void => {
				timers.clearTimeout(timer);
				signal?.removeEventListener('abort', finish);
				resolve();
			};

			const timer = timers.setTimeout(finish, Math.max(0, durationMs));
			signal?.addEventListener('abort', finish, {once: true});
		});
	},
});
