import type * as adapters from '@bilberrydoor/adapters';
import type * as core from '@bilberrydoor/core';

/** The load balancer asks once a second and stops sending callers after two misses. */
const ROTATION_MS = 2500;

/** Time for the last answers to leave after the last call has ended: a second of a slow caller's link. */
const LAST_ANSWERS_MS = 1000;

/** How often a stopping node looks whether its last call has ended. */
const DRAIN_TURN_MS = 50;

/**
 * Serves until the load balancer has stopped sending callers, then until the last request has its answer. Resolves with the
 * number of requests that the end cuts off.
 */
export const drainFront = async (
	front: Pick<adapters.HttpListener, 'close' | 'countRequests'>,
	options: {
		readonly clock: core.Clock;
		/** Monotonic time at which requests that go on are cut off, in ms. */
		readonly endsAtMs: number;
	},
): Promise<number> => {
	const {clock, endsAtMs} = options;
	await clock.sleep(ROTATION_MS);
	const closed = front.close();
	// A request whose body is still arriving is no call yet, and must not be cut off either.
	while (front.countRequests() > 0 && clock.monotonicMs() < endsAtMs) {
		await clock.sleep(DRAIN_TURN_MS);
	}

	// The connections tell when the last byte is out.
	const leftMs = Math.max(0, endsAtMs - clock.monotonicMs());
	await Promise.race([closed, clock.sleep(Math.min(LAST_ANSWERS_MS, leftMs))]);
	return front.countRequests();
};
