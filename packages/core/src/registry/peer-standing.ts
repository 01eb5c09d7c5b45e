import * as ports from '../ports/index.js';

/** First time for which an unreachable peer is passed over; doubled with each failure in a row. */
const FIRST_ABSENCE_MS = 500;

/** Longest time for which an unreachable peer is passed over, so that a restarted one is found again soon. */
const ABSENCE_LIMIT_MS = 4000;

/** Which peers this node can reach, by their address. */
export type PeerStanding = {
	isUsable(address: string): boolean;
	recordSuccess(address: string): void;
	recordFailure(address: string, detail: string): void;
};

export const createPeerStanding = (options: {clock: ports.Clock; logger: ports.Logger}): PeerStanding => {
	const absences = new Map<string, {untilMs: number; durationMs: number}>();
	return {
		isUsable: address => (absences.get(address)?.untilMs ?? 0) <= options.clock.monotonicMs(),
		recordSuccess(address) {
			if (absences.delete(address)) {
				options.logger.info('peer regained', {event: ports.LogEvent.PeerRegained, peer: address});
			}
		},
		recordFailure(address, detail) {
			const last = absences.get(address);
			const durationMs = last ? Math.min(last.durationMs * 2, ABSENCE_LIMIT_MS) : FIRST_ABSENCE_MS;
			absences.set(address, {untilMs: options.clock.monotonicMs() + durationMs, durationMs});
			if (!last) {
				options.logger.warn('peer lost', {
					event: ports.LogEvent.PeerLost,
					peer: address,
					detail,
					passedOverMs: durationMs,
				});
			}
		},
	};
};
