import * as ports from '../ports/index.js';

/** Time for which a peer is not used after a first failure; doubled with each consecutive failure. */
const INITIAL_BACK_OFF_MS = 500;

/** Longest time for which a failing peer is not used, so that a restarted one is used again soon. */
const BACK_OFF_LIMIT_MS = 4000;

/** Tracks which peers this node can reach, by address. A peer is not usable for a back-off time after each failure. */
export type PeerReachability = {
	isUsable(address: string): boolean;
	recordSuccess(address: string): void;
	recordFailure(address: string, detail: string): void;
};

export const createPeerReachability = (options: {clock: ports.Clock; logger: ports.Logger}): PeerReachability => {
	const backOffs = new Map<string, {untilMs: number; durationMs: number}>();
	return {
		isUsable: address => (backOffs.get(address)?.untilMs ?? 0) <= options.clock.monotonicMs(),
		recordSuccess(address) {
			if (backOffs.delete(address)) {
				options.logger.info('peer reachable again', {event: ports.LogEvent.PeerRegained, peer: address});
			}
		},
		recordFailure(address, detail) {
			const last = backOffs.get(address);
			const durationMs = last ? Math.min(last.durationMs * 2, BACK_OFF_LIMIT_MS) : INITIAL_BACK_OFF_MS;
			backOffs.set(address, {untilMs: options.clock.monotonicMs() + durationMs, durationMs});
			if (!last) {
				options.logger.warn('peer unreachable', {
					event: ports.LogEvent.PeerLost,
					peer: address,
					detail,
					passedOverMs: durationMs,
				});
			}
		},
	};
};
