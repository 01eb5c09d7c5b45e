import * as core from '@bilberrydoor/core';

/** Requests to check the settings file, kept until they are seen. */
export type ReloadRequests = {
	/** Ends the wait that is going on, or else the next one. */
	request(): void;
	/** Resolves at the next request, after `waitMs`, or when the signal is aborted. */
	wait(waitMs: number, signal: AbortSignal): Promise<void>;
};

export const createReloadRequests = (clock: core.Clock): ReloadRequests => {
	const notifier = core.createChangeNotifier(clock);
	let isPending = false;
	return {
		request() {
			isPending = true;
			notifier.notifyAll();
		},
		async wait(waitMs, signal) {
			if (!isPending) {
				await notifier.wait(waitMs, signal);
			}

			isPending = false;
		},
	};
};
