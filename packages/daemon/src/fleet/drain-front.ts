import type * as adapters from '@bilberrydoor/adapters';
import type * as core from '@bilberrydoor/core';

/** The load balancer checks readiness once a second and stops sending callers after two failed checks. */
const LOAD_BALANCER_REMOVAL_MS = 2500;

/** Largest fraction of the time to the end in which connections are accepted; the rest is for the last requests. */
const ACCEPT_RATIO = 0.5;

/**
 * Serves callers as before until the load balancer has stopped sending them, then closes the front's idle connections and waits
 * for the others to close, but until `endsAtMs` at most. Resolves with the number of requests that are cut off.
 */
export const drainFront = async (
	front: Pick<adapters.HttpListener, 'close' | 'countRequests'>,
	options: {
		readonly clock: core.Clock;
		/** Monotonic time at which requests still in progress are cut off, in ms. */
		readonly endsAtMs: number;
	},
): Promise<number> => {
	const {clock, endsAtMs} = options;
	await clock.sleep(Math.min(LOAD_BALANCER_REMOVAL_MS, (endsAtMs - clock.monotonicMs()) * ACCEPT_RATIO));
	// A connection that is not idle has a request that arrives or is at work, or an answer that is being sent.
	const closed = front.close();
	await Promise.race([closed, clock.sleep(endsAtMs - clock.monotonicMs())]);
	return front.countRequests();
};
