import type * as ports from '../ports/index.js';
import type {LinkOptions} from './link-options.js';

/** This node's share of the link to one region. */
export type LinkRate = {
	bytesPerSecond(): number;
	/** Adjusts the rate periodically while `isBusy` returns true. Returns immediately when another call is doing so. */
	adjustWhile(isBusy: () => boolean): Promise<void>;
};

/** Relative increase of a node's rate at each adjustment. All nodes together overshoot by at most this share. */
const INCREASE_RATIO = 0.03;

/** Additional increase at each adjustment, as a fraction of the equal share, so that the nodes' rates converge. */
const EQUALIZING_INCREASE_RATIO = 1 / 32;

/** Relative decrease when the queueing delay exceeds its target. */
const DECREASE_RATIO = 0.2;

/** Relative decrease when the round-trip time could not be measured. */
const UNMEASURED_DECREASE_RATIO = 0.5;

/** Increase of the base round-trip time at each adjustment, so that it adapts to a longer network path, in ms. */
const BASE_ROUND_TRIP_DRIFT_MS = 0.02;

/**
 * Divides the link among the nodes of a region without a coordinator. Each busy node starts with an equal share,
 * increases its rate while the link has no queue and decreases it when a queue builds up. Idle nodes use no bandwidth,
 * so the rates follow demand.
 */
export const createLinkRate = (dependencies: {
	clock: ports.Clock;
	random: ports.Random;
	options: LinkOptions;
	/** Number of nodes of this region, which share the link. */
	countRegionNodes: () => number;
	/** Current round-trip time to the other region, in ms; undefined when it cannot be measured. */
	measureRoundTripMs: () => Promise<number | undefined>;
}): LinkRate => {
	const {clock, random, options} = dependencies;
	const limitBytesPerSecond = options.capacityBytesPerSecond * options.pacedRatio;
	const calculateEqualShare = (): number => limitBytesPerSecond / Math.max(1, dependencies.countRegionNodes());
	let currentBytesPerSecond = calculateEqualShare();
	let baseRoundTripMs = Infinity;
	let isAdjusting = false;

	const adjust = async (): Promise<void> => {
		const roundTripMs = await dependencies.measureRoundTripMs();
		if (roundTripMs === undefined) {
			currentBytesPerSecond = Math.max(
				options.minRateBytesPerSecond,
				currentBytesPerSecond * (1 - UNMEASURED_DECREASE_RATIO),
			);
			return;
		}

		baseRoundTripMs = Math.min(baseRoundTripMs + BASE_ROUND_TRIP_DRIFT_MS, roundTripMs);
		currentBytesPerSecond =
			roundTripMs - baseRoundTripMs <= options.delayTargetMs
				? Math.min(
						limitBytesPerSecond,
						currentBytesPerSecond * (1 + INCREASE_RATIO) + calculateEqualShare() * EQUALIZING_INCREASE_RATIO,
					)
				: Math.max(options.minRateBytesPerSecond, currentBytesPerSecond * (1 - DECREASE_RATIO));
	};

	return {
		bytesPerSecond: () => currentBytesPerSecond,
		async adjustWhile(isBusy) {
			if (isAdjusting) {
				return;
			}

			isAdjusting = true;
			currentBytesPerSecond = calculateEqualShare();
			while (isBusy()) {
				await adjust();
				await clock.sleep(options.adjustPeriodMs * (0.75 + 0.5 * random.fraction()));
			}

			isAdjusting = false;
		},
	};
};
