import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {observeBody} from '../shared/observe-body.js';
import {STOP_REASON} from '../shared/stop-reason.js';

export type AnswerBounds = {
	readonly clock: ports.Clock;
	/** Time that is left for the whole answer, in ms. */
	readonly timeoutMs: number;
	/** Aborted when the caller leaves. */
	readonly callerSignal: AbortSignal;
	/** Stops the exchange with the target. */
	readonly stop: () => void;
};

/** Stops the exchange when a streamed answer is not over in time, or when nobody reads it any more. */
export const boundAnswer = (answer: domain.TargetAnswer, bounds: AnswerBounds): domain.TargetAnswer => {
	if (answer.body instanceof Uint8Array) {
		return answer;
	}

	const {callerSignal, stop} = bounds;
	const ended = new AbortController();
	const stopLate = async (): Promise<void> => {
		await bounds.clock.sleep(bounds.timeoutMs, ended.signal);
		if (!ended.signal.aborted) {
			stop();
		}
	};

	callerSignal.addEventListener('abort', stop, {once: true});
	if (callerSignal.aborted) {
		stop();
	}

	void stopLate();
	const body = observeBody(answer.body, {
		onEnd() {
			ended.abort(STOP_REASON);
			callerSignal.removeEventListener('abort', stop);
			// Without effect on an exchange that is complete.
			stop();
		},
	});
	return {...answer, body};
};
