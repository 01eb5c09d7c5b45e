import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {observeBody} from '../shared/observe-body.js';
import {STOP_REASON} from '../shared/stop-reason.js';

export type AnswerBounds = {
	readonly clock: ports.Clock;
	/** Time limit for streaming the answer's body, in ms. */
	readonly timeoutMs: number;
	/** Aborted when the caller disconnects. */
	readonly callerSignal: AbortSignal;
	/** Stops the exchange with the target. */
	readonly stop: () => void;
};

/** Aborts the exchange with the target if a streamed answer does not end in time, or when the caller stops reading it. */
export const limitAnswerTime = (answer: domain.TargetAnswer, bounds: AnswerBounds): domain.TargetAnswer => {
	if (answer.body instanceof Uint8Array) {
		return answer;
	}

	const {callerSignal, stop} = bounds;
	const ended = new AbortController();
	const stopAtDeadline = async (): Promise<void> => {
		await bounds.clock.sleep(bounds.timeoutMs, ended.signal);
		if (!ended.signal.aborted) {
			stop();
		}
	};

	callerSignal.addEventListener('abort', stop, {once: true});
	if (callerSignal.aborted) {
		stop();
	}

	void stopAtDeadline();
	const body = observeBody(answer.body, {
		onEnd() {
			ended.abort(STOP_REASON);
			callerSignal.removeEventListener('abort', stop);
			// Has no effect on a completed exchange.
			stop();
		},
	});
	return {...answer, body};
};
