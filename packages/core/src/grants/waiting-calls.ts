import type * as ports from '../ports/index.js';

/** A call that waits for a slot. */
export type WaitingCall = {
	readonly request: ports.AcquireGrantRequest;
	/** Higher for calls that arrived later. */
	readonly arrivalNumber: number;
	/** Ends the wait with a grant. */
	resolve(grant: ports.Grant): void;
};

const compareWaitingCalls = (left: WaitingCall, right: WaitingCall): number =>
	left.request.priority - right.request.priority ||
	left.request.attemptIndex - right.request.attemptIndex ||
	left.arrivalNumber - right.arrivalNumber;

/** Waiting calls in the order in which they get slots: by priority, first attempts before retries, then by arrival. */
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
