import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';

/** Where the fault is when several targets look unhealthy at once. */
export enum PathVerdict {
	TargetAtFault = 'target-at-fault',
	/** A peer in another zone reaches the target and this node does not. */
	PathAtFault = 'path-at-fault',
}

/** Asks whether this node or its path is at fault instead of a target. */
export type PathCheck = (target: domain.TargetEntry, signal: AbortSignal) => Promise<PathVerdict>;

export type TargetTest = {readonly isReached: boolean; readonly latencyMs: number};

/** Sends one health probe with a time limit. It shows only whether the target can be reached, not whether it is well. */
export const testTarget = async (
	dependencies: {clock: ports.Clock; targetClient: ports.TargetClient; timeoutMs: number},
	target: domain.TargetEntry,
	signal: AbortSignal,
): Promise<TargetTest> => {
	const {clock, targetClient, timeoutMs} = dependencies;
	const startedAtMs = clock.monotonicMs();
	const probed = await runWithTimeout({clock, timeoutMs, signal}, async probeSignal =>
		targetClient.probe(target, probeSignal),
	);
	return {isReached: !probed.isTimedOut && probed.value.isOk(), latencyMs: clock.monotonicMs() - startedAtMs};
};

/**
 * Creates the check. A probe passes under many faults, so only a difference between this node's probe and a peer's is
 * taken as a statement, and it is one about the path. Without a peer in another zone the target is at fault.
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

	const askPeer = async (target: domain.TargetEntry, signal: AbortSignal): Promise<boolean> => {
		const peers = dependencies.listPeers();
		const peer = peers[Math.floor(random.fraction() * peers.length)];
		if (!peer) {
			return false;
		}

		// The peer's own probe may take the whole time limit, so its answer gets twice that.
		const asked = await runWithTimeout({clock, timeoutMs: 2 * timeoutMs, signal}, async askSignal =>
			peerClient.request(
				peer.address,
				ports.PeerMessageKind.TestTarget,
				{service, targetId: target.targetId},
				askSignal,
			),
		);
		return !asked.isTimedOut && asked.value.isOk() && asked.value.value.isReached;
	};

	return async (target, signal) => {
		const own = await testTarget({clock, targetClient, timeoutMs}, target, signal);
		if (own.isReached) {
			return PathVerdict.TargetAtFault;
		}

		return (await askPeer(target, signal)) ? PathVerdict.PathAtFault : PathVerdict.TargetAtFault;
	};
};
