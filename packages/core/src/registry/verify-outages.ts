import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import type {Registry} from './registry.js';

export type OutageVerificationOptions = {
	readonly self: domain.RegisteredNode;
	readonly registry: Pick<Registry, 'isAfterOutage' | 'nodesOf' | 'waitForOutage'>;
	readonly random: ports.Random;
	readonly clock: ports.Clock;
	/** Asks peers when the store answered them, and records what they say. */
	readonly askPeers: (peers: readonly domain.RegisteredNode[], signal: AbortSignal) => Promise<void>;
};

/** Peers that are asked at once. */
const ASKED_PEER_COUNT = 6;

/** Pauses after each question; the peers that were asked may have been suspended too, and learn from others meanwhile. */
const QUESTION_PAUSES_MS = [100, 300, 600];

/** Draws up to `limitCount` of the nodes at random. */
const drawNodes = (
	nodes: readonly domain.RegisteredNode[],
	limitCount: number,
	random: ports.Random,
): readonly domain.RegisteredNode[] =>
	nodes
		.map(node => ({node, order: random.fraction()}))
		.toSorted((left, right) => left.order - right.order)
		.slice(0, limitCount)
		.map(({node}) => node);

/**
 * Asks peers about each assumed outage of the store, until the signal is aborted. A node that was suspended or was cut off has
 * seen a pause that was none for the others, and would offer targets that have left to other nodes. One peer that the store
 * answered is enough. Peers are drawn at random, so that it does not depend on which of them were lost as well.
 */
export const verifyOutages = async (options: OutageVerificationOptions, signal: AbortSignal): Promise<void> => {
	const {self, registry, random, clock} = options;
	while (!signal.aborted) {
		for (const pauseMs of QUESTION_PAUSES_MS) {
			if (signal.aborted || !registry.isAfterOutage()) {
				break;
			}

			const peers = registry.nodesOf(self.region).filter(({nodeId}) => nodeId !== self.nodeId);
			await options.askPeers(drawNodes(peers, ASKED_PEER_COUNT, random), signal);
			await clock.sleep(pauseMs, signal);
		}

		await registry.waitForOutage(signal);
	}
};
