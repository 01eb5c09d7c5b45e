import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import type {ScheduledCall} from '../scheduling/scheduled-call.js';

/**
 * Runs work that must not start after `scheduled.startDeadlineAtMs`. A call that is still waiting then is cancelled, and
 * the limit is checked again at the dispatch, because the process may have been paused in between.
 */
export const runWithStartLimit = async (
	options: {clock: ports.Clock; scheduled: ScheduledCall; startDeadlineAtMs: number; signal: AbortSignal},
	run: (scheduled: ScheduledCall, signal: AbortSignal) => Promise<domain.CallEnding>,
): Promise<domain.CallEnding> => {
	const {clock, scheduled, startDeadlineAtMs} = options;
	const started = new AbortController();
	const startExpired = new AbortController();

	const beforeDispatch = (): domain.NotRunEnding | undefined => {
		if (clock.monotonicMs() >= startDeadlineAtMs) {
			return domain.notRun(domain.RefusalReason.DeadlineExceeded, 'the time to start the work had passed');
		}

		const refusal = scheduled.beforeDispatch?.();
		if (!refusal) {
			started.abort();
		}

		return refusal;
	};

	const cancelWhenOverdue = async (): Promise<void> => {
		await clock.sleep(startDeadlineAtMs - clock.monotonicMs(), started.signal);
		if (!started.signal.aborted) {
			startExpired.abort();
		}
	};

	void cancelWhenOverdue();
	try {
		return await run({...scheduled, beforeDispatch}, AbortSignal.any([options.signal, startExpired.signal]));
	} finally {
		started.abort();
	}
};
