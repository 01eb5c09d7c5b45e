import type * as ports from '../ports/index.js';
import type {LinkOptions} from './link-options.js';

/** This node's share of the link to one region. */
export type LinkRate = {
	bytesPerSecond(): number;
	/** Adjusts the rate while `isBusy` says so. Returns at once when it is being adjusted already. */
	adjustWhile(isBusy: () => boolean): Promise<void>;
};

/** Increase of a node's rate at each adjustment. All nodes together overshoot by at most this share. */
const INCREASE_RATIO = 0.03;

/** Nodes with a small rate gain on others by this part of an equal share at each adjustment. */
const EQUAL_INCREASE_RATIO = 1 / 32;

/** Decrease when the link queues. */
const DECREASE_RATIO = 0.2;

/** Decrease when no round trip could be measured. */
const BLIND_DECREASE_RATIO = 0.5;

/** Rise of the shortest known round trip at each adjustment, so that a changed path is learned, in ms. */
const BASE_DRIFT_MS = 0.02;

/**
 * Divides the link among nodes without a coordinator. Each busy node starts with an equal share of all nodes in its
 * region, raises its rate while the link shows no queue and lowers it when it does. Idle nodes take nothing, so the rates
 * follow demand.
 */
export const createLinkRate = (dependencies: {
	clock: ports.Clock;
	random: ports.Random;
	options: LinkOptions;
	/** Nodes of this region, which share the link. */
	countSharers: () => number;
	/** Round trip to the other region now, in ms; undefined when it cannot be measured. */
	measureRoundTripMs: () => Promise<number | undefined>;
}): LinkRate => {
	const {clock, random, options} = dependencies;
	const limit = options.capacityBytesPerSecond * options.pacedRatio;
	const calculateEqualShare = (): number => limit / Math.max(1, dependencies.countSharers());
	let rate = calculateEqualShare();
	let baseMs = Infinity;
	let isAdjusting = false;

	const adjust = async (): Promise<void> => {
		const roundTripMs = await dependencies.measureRoundTripMs();
		if (roundTripMs === undefined) {
			rate = Math.max(options.rateMinimumBytesPerSecond, rate * (1 - BLIND_DECREASE_RATIO));
			return;
		}

		baseMs = Math.min(baseMs + BASE_DRIFT_MS, roundTripMs);
		rate =
			roundTripMs - baseMs <= options.delayTargetMs
				? Math.min(limit, rate * (1 + INCREASE_RATIO) + calculateEqualShare() * EQUAL_INCREASE_RATIO)
				: Math.max(options.rateMinimumBytesPerSecond, rate * (1 - DECREASE_RATIO));
	};

	return {
		bytesPerSecond: () => rate,
		async adjustWhile(isBusy) {
			if (isAdjusting) {
				return;
			}

			isAdjusting = true;
			rate = calculateEqualShare();
			while (isBusy()) {
				await adjust();
				await clock.sleep(options.adjustPeriodMs * (0.75 + 0.5 * random.fraction()));
			}

			isAdjusting = false;
		},
	};
};
