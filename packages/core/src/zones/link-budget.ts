import type * as ports from '../ports/index.js';
import type {ZoneOptions} from './zone-options.js';

/** Time whose share of the link may be used at once, in ms. */
const BURST_MS = 2000;

/** Bytes beyond this many bursts are forgotten, so that one large body does not keep other calls off the link for minutes. */
const REMEMBERED_BURST_COUNT = 3;

/**
 * A node may use this many times its even share of the link, since calls are not spread evenly over the nodes of a region. The
 * link's own delay, which the crossing time shows, bounds the sum.
 */
const CONCENTRATION = 3;

const MS_PER_SECOND = 1000;

/** Parts of the link, each with a bound of its own. */
enum LinkPart {
	/** What calls may use that their own region could still serve. */
	Usual = 'usual',
	/** What calls may use that no other region can serve. */
	Needed = 'needed',
}

/** Bounds the bytes that this node sends to or gets from other regions. */
export type LinkBudget = {
	/** Whether a call may cross, by its need and by what this node's calls have used. */
	allows(isNeeded: boolean): boolean;
	charge(bytes: number): void;
};

export const createLinkBudget = (parts: {
	readonly clock: Pick<ports.Clock, 'monotonicMs'>;
	readonly options: Pick<ZoneOptions, 'linkBytesPerSecond' | 'linkRatio' | 'linkRatioLimit'>;
	/** Number of nodes that share the link with this one, including it. */
	readonly countNodes: () => number;
}): LinkBudget => {
	const {clock, options} = parts;
	/** Bytes of each part of the link that were charged and have not been covered by its rate since. */
	const used: Record<LinkPart, number> = {[LinkPart.Usual]: 0, [LinkPart.Needed]: 0};
	let updatedAtMs = clock.monotonicMs();

	const readRatios = (): Record<LinkPart, number> => ({
		[LinkPart.Usual]: options.linkRatio,
		[LinkPart.Needed]: options.linkRatioLimit,
	});

	/** This node's part of the whole link, in bytes a ms. */
	const readRate = (): number => {
		const shareRatio = Math.min(1, CONCENTRATION / Math.max(1, parts.countNodes()));
		return (options.linkBytesPerSecond * shareRatio) / MS_PER_SECOND;
	};

	/** Bytes of a part of the link that may be used at once. */
	const readBurstBytes = (part: LinkPart): number => readRate() * readRatios()[part] * BURST_MS;

	const drain = (): void => {
		const elapsedMs = clock.monotonicMs() - updatedAtMs;
		updatedAtMs += elapsedMs;
		Object.values(LinkPart).forEach(part => {
			const burstBytes = readBurstBytes(part);
			const rememberedBytes = Math.min(used[part], burstBytes * REMEMBERED_BURST_COUNT);
			used[part] = Math.max(0, rememberedBytes - (burstBytes * elapsedMs) / BURST_MS);
		});
	};

	return {
		allows(isNeeded) {
			drain();
			const part = isNeeded ? LinkPart.Needed : LinkPart.Usual;
			return used[part] < readBurstBytes(part);
		},
		charge(bytes) {
			drain();
			Object.values(LinkPart).forEach(part => {
				used[part] += bytes;
			});
		},
	};
};
