import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';

/** Location of the fault when several targets are unhealthy at the same time. */
export enum PathVerdict {
	TargetAtFault = 'target-at-fault',
	/** A peer in another zone reaches the target, but this node does not. */
	PathAtFault = 'path-at-fault',
}

/** Checks whether a target is at fault, or this node or its network path to the target. */
export type PathCheck = (target: domain.TargetEntry, signal: AbortSignal) => Promise<PathVerdict>;

export type TargetTest = {readonly isReached: boolean; readonly latencyMs: number};

/** Sends one health probe with a time limit. It shows that the target can be reached, not that it is healthy. */
export const testTarget = async (
	dependencies: Pick<ports.NodePorts, 'clock' | 'targetClient' | 'random'> & {timeoutMs: number},
	target: domain.TargetEntry,
	signal: AbortSignal,
): Promise<TargetTest> => {
	const {clock, targetClient, random, timeoutMs} = dependencies;
	const startedAtMs = clock.monotonicMs();
	const probed = await runWithTimeout({clock, timeoutMs, signal}, async probeSignal =>
		targetClient.probe(target, random.token(), probeSignal),
	);
	return {isReached: !probed.isTimedOut && probed.value.isOk(), latencyMs: clock.monotonicMs() - startedAtMs};
};

/**
 * Creates the check. A probe succeeds despite many kinds of fault, so its result is evidence only when a peer's probe
 * succeeds and this node's fails, and then the network path is at fault. In all other cases, and without a peer in
 * another zone, the target is considered at fault.
 */
export const createPathCheck = (dependencies: {
	ports: Pick<ports.NodePorts, 'clock' | 'targetClient' | 'peerClient' | 'random'>;
	service: string;
	timeoutMs: number;
	/** Live nodes in other availability zones than this node's. */
	listPeers: () => readonly domain.NodeDescription[];
}): PathCheck => {
	const {service, timeoutMs} = dependencies;
	const {clock, targetClient, peerClient, random} = dependencies.ports;

	const isReachedByPeer = async (target: domain.TargetEntry, signal: AbortSignal): Promise<boolean> => {
		const peers = dependencies.listPeers();
		const peer = peers[Math.floor(random.fraction() * peers.length)];
		if (!peer) {
			return false;
		}

		// The peer's own probe may take the whole time limit, so the limit for its answer is twice as long.
		const peerTest = await runWithTimeout({clock, timeoutMs: 2 * timeoutMs, signal}, async requestSignal =>
			peerClient.request(
				peer.address,
				ports.PeerMessageKind.TestTarget,
				{service, targetId: target.targetId},
				requestSignal,
			),
		);
		return !peerTest.isTimedOut && peerTest.value.isOk() && peerTest.value.value.isReached;
	};

	return async (target, signal) => {
		const ownTest = await testTarget({clock, targetClient, random, timeoutMs}, target, signal);
		if (ownTest.isReached) {
			return PathVerdict.TargetAtFault;
		}

		return (await isReachedByPeer(target, signal)) ? PathVerdict.PathAtFault : PathVerdict.TargetAtFault;
	};
};
