import type * as ports from '../ports/index.js';

/** Notifies tasks that wait for a change. */
export type ChangeNotifier = {
	/** Resolves at the next change, after `waitMs`, or when `signal` is aborted. */
	wait(waitMs: number, signal?: AbortSignal): Promise<void>;
	/** Wakes all waiting tasks. */
	notifyAll(): void;
};

/** Each wait uses its own controller, because Node.js 20 retains the listeners of long-lived combined signals. */
export const createChangeNotifier = (clock: ports.Clock): ChangeNotifier => {
	const waiting = new Set<AbortController>();
	return {
		async wait(waitMs, signal) {
			if (signal?.aborted) {
				return;
			}

			const controller = new AbortController();
			const wake = (): void => {
				controller.abort();
			};

			waiting.add(controller);
			signal?.addEventListener('abort', wake, {once: true});
			await clock.sleep(waitMs, controller.signal);
			signal?.removeEventListener('abort', wake);
			waiting.delete(controller);
		},
		notifyAll() {
			const controllers = [...waiting];
			waiting.clear();
			controllers.forEach(controller => {
				controller.abort();
			});
		},
	};
};
