import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {observeBody} from '../shared/observe-body.js';
import {createFramePacer, type FramePacer} from './frame-pacer.js';
import {DEFAULT_LINK_OPTIONS, type LinkOptions} from './link-options.js';
import {createLinkRate} from './link-rate.js';
import {paceBody} from './paced-body.js';

/** Direction in which a body crosses the link, seen from this node. */
export enum LinkDirection {
	Outbound = 'outbound',
	Inbound = 'inbound',
}

/** Properties of a body that crosses a link. */
export type LinkTransfer = {
	/** The other region. */
	readonly region: string;
	readonly direction: LinkDirection;
	readonly service: string;
	readonly workClass: domain.WorkClass;
	/** Relative weight of the service among paced bodies. */
	readonly linkWeight: number;
};

/** The links between this node's region and the others. */
export type RegionLink = {
	/** Wraps a body that crosses a link: counts its bytes, and paces it when its class of work is paced. */
	wrapBody(body: domain.BodyStream, transfer: LinkTransfer, signal: AbortSignal): domain.BodyStream;
	/** Number of bodies that are being paced on all links. */
	pacedBodyCount(): number;
};

/** Weight of a paced class; undefined for a class that is sent without pacing. */
const CLASS_WEIGHTS: Record<domain.WorkClass, number | undefined> = {
	[domain.WorkClass.Short]: undefined,
	[domain.WorkClass.Long]: 4,
	[domain.WorkClass.Bulk]: 1,
};

export const createRegionLink = (dependencies: {
	ports: Pick<ports.NodePorts, 'clock' | 'metrics' | 'random'>;
	countRegionNodes: () => number;
	measureRoundTripMs: (region: string) => Promise<number | undefined>;
	options?: Partial<LinkOptions>;
}): RegionLink => {
	const {clock, metrics, random} = dependencies.ports;
	const options = {...DEFAULT_LINK_OPTIONS, ...dependencies.options};
	const pacers = new Map<string, FramePacer>();

	const getOrCreatePacer = (region: string, direction: LinkDirection): FramePacer => {
		const key = `${direction} ${region}`;
		const existing = pacers.get(key);
		if (existing) {
			return existing;
		}

		const rate = createLinkRate({
			clock,
			random,
			options,
			countRegionNodes: dependencies.countRegionNodes,
			measureRoundTripMs: async () => dependencies.measureRoundTripMs(region),
		});
		const pacer: FramePacer = createFramePacer({
			clock,
			rateBytesPerSecond: rate.bytesPerSecond,
			onBusy() {
				void rate.adjustWhile(() => pacer.openFlowCount() > 0);
			},
		});
		pacers.set(key, pacer);
		return pacer;
	};

	return {
		wrapBody(body, {region, direction, service, workClass, linkWeight}, signal) {
			const pacer = getOrCreatePacer(region, direction);
			const classWeight = CLASS_WEIGHTS[workClass];
			const isPaced = classWeight !== undefined;
			const counted = observeBody(body, {
				onChunk(chunk) {
					metrics.increment(ports.CounterName.LinkBytes, {service, workClass}, chunk.byteLength);
					if (!isPaced) {
						pacer.debit(chunk.byteLength);
					}
				},
			});
			return isPaced
				? paceBody(counted, {pacer, weight: classWeight * linkWeight, frameBytes: options.frameBytes, signal})
				: counted;
		},
		pacedBodyCount: () => [...pacers.values()].reduce((sum, pacer) => sum + pacer.openFlowCount(), 0),
	};
};
