/** Computes when refused calls may come back, so that they do not do so at the same time. */
export type RefusalSpread = {
	/**
	 * Time until the next refused call may come back, in ms. Each call is assigned the next token that this node can expect.
	 *
	 * @param nextTokenMs time until this node expects a token
	 * @param ratePerSecond tokens that this node can expect
	 * @param fraction random number from 0 to 1
	 */
	nextMs(given: {nowMs: number; nextTokenMs: number; ratePerSecond: number; fraction: number}): number;
};

/** Longest time that is told to callers: beyond it, nothing is known of the workspace's use. */
const RETRY_LIMIT_MS = 10_000;

const MS_PER_SECOND = 1000;

export const createRefusalSpread = (): RefusalSpread => {
	let nextAtMs = 0;
	return {
		nextMs({nowMs, nextTokenMs, ratePerSecond, fraction}) {
			const gapMs = MS_PER_SECOND / Math.max(ratePerSecond, MS_PER_SECOND / RETRY_LIMIT_MS);
			nextAtMs = Math.max(nextAtMs, nowMs + nextTokenMs);
			const waitMs = nextAtMs - nowMs + gapMs * fraction;
			nextAtMs += gapMs;
			if (waitMs <= RETRY_LIMIT_MS) {
				return waitMs;
			}

			nextAtMs = nowMs + RETRY_LIMIT_MS;
			return RETRY_LIMIT_MS * (1 - fraction / 2);
		},
	};
};
