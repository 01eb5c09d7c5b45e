import type * as domain from '@bilberrydoor/domain';
import type {QuotaOptions} from './quota-options.js';

/** The equal shares into which a workspace's quota is divided. Each share is held by one node. */
export type SharePlan = {
	readonly shareCount: number;
	/** Rate at which a share's tokens become available. */
	readonly ratePerSecond: number;
	/** Most tokens of a share that are available or leased and unused at the same time. */
	readonly limitCount: number;
};

/**
 * Most shares of a workspace. A share that two nodes hold by mistake adds a sixteenth to the calls of a window, which is less
 * than the default overrun of a tenth; the loss of a holder takes a sixteenth of the rate away.
 */
export const SHARE_LIMIT_COUNT = 16;

const MS_PER_SECOND = 1000;

type Limits = Pick<domain.FleetWorkspace, 'ratePerSecond' | 'burstCount'>;

/**
 * Divides a quota. A window admits at most the tokens that exist at its start and those that become available in it. With all
 * shares, and one of them held twice, that is `(limitCount + rate x window) x (shareCount + 1)`, which must not exceed the bound.
 */
export const planShares = ({ratePerSecond, burstCount}: Limits, options: QuotaOptions): SharePlan => {
	const windowCount = (ratePerSecond * options.windowMs) / MS_PER_SECOND;
	const boundCount = (windowCount + burstCount) * (1 + options.overrunRatio) + options.slackCount;
	const spareCount = boundCount - windowCount;
	const reservedCount = (boundCount - windowCount * (1 + 1 / SHARE_LIMIT_COUNT)) / (SHARE_LIMIT_COUNT + 1);
	if (reservedCount >= 1) {
		return {
			shareCount: SHARE_LIMIT_COUNT,
			ratePerSecond: ratePerSecond / SHARE_LIMIT_COUNT,
			limitCount: reservedCount,
		};
	}

	// Too small a bound for a reserve: as many shares as can hold a whole token each.
	const shareCount = Math.min(SHARE_LIMIT_COUNT, Math.max(1, Math.floor(spareCount)));
	return {shareCount, ratePerSecond: ratePerSecond / shareCount, limitCount: spareCount / shareCount};
};
