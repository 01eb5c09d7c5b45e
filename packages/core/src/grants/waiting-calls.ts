import type * as ports from '../ports/index.js';

/** A call that waits for a slot. */
export type WaitingCall = {
	readonly request: ports.AcquireGrantRequest;
	/** Higher for calls that arrived later. */
	readonly arrivalNumber: number;
	/** Ends the wait. */
	resolve(reply: ports.AcquireGrantReply): void;
};

/** Kinds of attempts, in the order in which they get slots within a priority. */
enum AttemptRank {
	/**
	 * The call has failed and fails for its caller without this attempt. These attempts are few, since the retry budget bounds
	 * them; behind the first attempts they would get no slot while all are in use.
	 */
	Retry = 0,
	First = 1,
	/** The call still has an attempt that may succeed. */
	Replacement = 2,
}

const rankAttempt = ({attemptIndex, isReplacement}: ports.AcquireGrantRequest): AttemptRank => {
	if (isReplacement) {
		return AttemptRank.Replacement;
	}

	return attemptIndex === 0 ? AttemptRank.First : AttemptRank.Retry;
};

const compareWaitingCalls = (left: WaitingCall, right: WaitingCall): number =>
	left.request.priority - right.request.priority ||
	rankAttempt(left.request) - rankAttempt(right.request) ||
	left.arrivalNumber - right.arrivalNumber;

/** Waiting calls in the order in which they get slots: by priority, retries before first attempts, then by arrival. */
export type WaitingCalls = {
	add(call: WaitingCall): void;
	remove(call: WaitingCall): void;
	/** All waiting calls, the next one to get a slot first. */
	list(): readonly WaitingCall[];
	/** Number of waiting calls ahead of a new call of the given priority. */
	countBefore(priority: number): number;
};

export const createWaitingCalls = (): WaitingCalls => {
	let calls: readonly WaitingCall[] = [];
	return {
		add(call) {
			calls = [...calls, call].toSorted(compareWaitingCalls);
		},
		remove(call) {
			calls = calls.filter(other => other !== call);
		},
		list: () => calls,
		countBefore: priority => calls.filter(({request}) => request.priority <= priority).length,
	};
};
