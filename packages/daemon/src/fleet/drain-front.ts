import type * as adapters from '@bilberrydoor/adapters';
import type * as core from '@bilberrydoor/core';

/** The load balancer asks once a second and stops sending callers after two misses. */
const ROTATION_MS = 2500;

/** The process ends this long before the platform's kill. */
const KILL_MARGIN_MS = 1000;

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
	options: {readonly clock: core.Clock; readonly graceMs: number},
): Promise<number> => {
	const {clock} = options;
	const endAtMs = clock.monotonicMs() + options.graceMs - KILL_MARGIN_MS;
	await clock.sleep(ROTATION_MS);
	const closed = front.close();
	// A request whose body is still arriving is no call yet, and must not be cut off either.
	while (front.countRequests() > 0 && clock.monotonicMs() < endAtMs) {
		await clock.sleep(DRAIN_TURN_MS);
	}

	// The connections tell when the last byte is out.
	const leftMs = Math.max(0, endAtMs - clock.monotonicMs());
	await Promise.race([closed, clock.sleep(Math.min(LAST_ANSWERS_MS, leftMs))]);
	return front.countRequests();
};
