import type * as ports from '../ports/index.js';

/** A call that waits for a slot. */
export type WaitingCall = {
	readonly request: ports.AcquireGrantRequest;
	/** Order of arrival. */
	readonly order: number;
	/** Gives the call its grant; false when it no longer waits. */
	offer(grant: ports.Grant): void;
};

const compare = (left: WaitingCall, right: WaitingCall): number =>
	left.request.priority - right.request.priority ||
	left.request.attemptIndex - right.request.attemptIndex ||
	left.order - right.order;

/** Calls in the order in which they get slots: rank, first attempts before retries, then arrival. */
export type WaitingCalls = {
	add(call: WaitingCall): void;
	remove(call: WaitingCall): void;
	/** Calls in order. */
	list(): readonly WaitingCall[];
	/** Calls that go before one of the given rank. */
	countBefore(priority: number): number;
};

export const createWaitingCalls = (): WaitingCalls => {
	let calls: readonly WaitingCall[] = [];
	return {
		add(call) {
			calls = [...calls, call].toSorted(compare);
		},
		remove(call) {
			calls = calls.filter(other => other !== call);
		},
		list: () => calls,
		countBefore: priority => calls.filter(({request}) => request.priority <= priority).length,
	};
};
