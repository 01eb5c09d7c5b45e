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
 * Numbers of shares. A share that two nodes hold by mistake adds a sixteenth to the calls of a window, which is less than the
 * default overrun of a tenth, and the loss of a holder takes a sixteenth of the rate away. For small workspaces the slack covers
 * larger shares, which are empty less often.
 */
const SHARE_COUNTS = [4, 8, 16];

/** Most shares of a workspace. */
export const SHARE_LIMIT_COUNT = 16;

/** Time of the rate that the shares can hold beyond the burst, in s. With less, a share is often empty while others are not. */
const SPARE_RATE_S = 0.5;

const MS_PER_SECOND = 1000;

type Limits = Pick<domain.FleetWorkspace, 'ratePerSecond' | 'burstCount'>;

/**
 * Divides a quota. A window admits at most the tokens that exist at its start and those that become available in it. With all
 * shares, and one of them held twice, that is `(limitCount + rate x window) x (shareCount + 1)`, which must not exceed the bound.
 */
export const planShares = ({ratePerSecond, burstCount}: Limits, options: QuotaOptions): SharePlan => {
	const windowCount = (ratePerSecond * options.windowMs) / MS_PER_SECOND;
	const boundCount = (windowCount + burstCount) * (1 + options.overrunRatio) + options.slackCount;
	const plan = (shareCount: number, limitCount: number): SharePlan => ({
		shareCount,
		ratePerSecond: ratePerSecond / shareCount,
		limitCount,
	});
	const plans = SHARE_COUNTS.map(count => plan(count, boundCount / (count + 1) - windowCount / count));
	const neededCount = burstCount + ratePerSecond * SPARE_RATE_S;
	const smallest = plans.find(({shareCount, limitCount}) => limitCount >= 1 && shareCount * limitCount >= neededCount);
	const largest = plans.at(-1)!;
	if (smallest) {
		return smallest;
	}

	if (largest.limitCount >= 1) {
		return largest;
	}

	// Too small a bound for a reserve: as many shares as can hold a whole token each.
	const spareCount = boundCount - windowCount;
	const shareCount = Math.min(SHARE_LIMIT_COUNT, Math.max(1, Math.floor(spareCount)));
	return plan(shareCount, spareCount / shareCount);
};
