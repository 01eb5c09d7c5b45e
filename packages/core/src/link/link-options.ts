/** Capacity and rate control of the link to one other region. */
export type LinkOptions = {
	/** Capacity of the link in each direction, in bytes per second. */
	readonly capacityBytesPerSecond: number;
	/** Share of the capacity that the paced bodies of all nodes may use together, 0 to 1. */
	readonly pacedRatio: number;
	/** Largest frame of a paced body, in bytes. */
	readonly frameBytes: number;
	/** Pause between two adjustments of the rate, in ms. */
	readonly adjustPeriodMs: number;
	/** Queueing delay on the link above which a node reduces its rate, in ms. */
	readonly delayTargetMs: number;
	/** Lowest rate of a node, in bytes per second. */
	readonly minRateBytesPerSecond: number;
};

/**
 * Sending a frame of 2 KiB takes 0.55 ms at 30 Mbit/s, so short calls are hardly delayed by frames of many nodes. At a
 * utilization of 0.8 the queue stays short even when independent nodes send frames at the same time.
 */
export const DEFAULT_LINK_OPTIONS: LinkOptions = {
	capacityBytesPerSecond: 3_750_000,
	pacedRatio: 0.8,
	frameBytes: 2048,
	adjustPeriodMs: 400,
	delayTargetMs: 3,
	minRateBytesPerSecond: 8192,
};
