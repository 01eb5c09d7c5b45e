import type * as adapters from '@bilberrydoor/adapters';
import type * as core from '@bilberrydoor/core';

/** The load balancer checks readiness once a second and stops sending callers after two failed checks. */
const LOAD_BALANCER_REMOVAL_MS = 2500;

/** Time limit for sending the last answers after the last call has ended; a slow caller's link can take a second. */
const LAST_ANSWERS_TIMEOUT_MS = 1000;

/** Interval at which a stopping node checks whether its last request has ended. */
const DRAIN_POLL_INTERVAL_MS = 50;

/**
 * Keeps serving until the load balancer has stopped sending callers, then closes the front and waits until every request is
 * answered, but until `endsAtMs` at most. Resolves with the number of requests that are cut off.
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
	await clock.sleep(LOAD_BALANCER_REMOVAL_MS);
	const closed = front.close();
	// Counts requests instead of calls: a request whose body is still arriving is not a call yet, but must not be cut off.
	while (front.countRequests() > 0 && clock.monotonicMs() < endsAtMs) {
		await clock.sleep(DRAIN_POLL_INTERVAL_MS);
	}

	// The front is closed when all connections have sent their last byte and are closed.
	const remainingMs = Math.max(0, endsAtMs - clock.monotonicMs());
	await Promise.race([closed, clock.sleep(Math.min(LAST_ANSWERS_TIMEOUT_MS, remainingMs))]);
	return front.countRequests();
};
