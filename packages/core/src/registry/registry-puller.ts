import * as ports from '../ports/index.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import type {PeerReachability} from './peer-reachability.js';
import {isOfOlderEra, readPeerReply} from './peer-reply.js';
import type {RegistrySources} from './registry-sources.js';
import type {Registry} from './registry.js';

export type RegistryPullerOptions = {
	readonly registry: Registry;
	readonly sources: RegistrySources;
	readonly peerClient: ports.FleetPeerClient;
	readonly peerReachability: PeerReachability;
	readonly clock: ports.Clock;
	readonly logger: ports.Logger;
	readonly metrics: ports.Metrics;
};

/** Time limits of a pull from a peer. */
export type PullOptions = {
	/** How long the peer may hold the pull open, in ms. */
	readonly waitMs: number;
	/** How long the peer is excluded if it is stale, in ms. */
	readonly staleExclusionMs: number;
	/** How long the peer is excluded if it does not answer, in ms; by default as other silent peers. */
	readonly noAnswerExclusionMs?: number;
};

/** Reply time allowed beyond a pull's wait, in ms: two round trips between regions and a margin for slow nodes. */
const PULL_TIMEOUT_MARGIN_MS = 600;

/** Pulls changes of the registry from peers and applies them. */
export type RegistryPuller = {
	/** True if the peer answered and is not stale. */
	pull(address: string, pullOptions: PullOptions, signal: AbortSignal): Promise<boolean>;
};

export const createRegistryPuller = (options: RegistryPullerOptions): RegistryPuller => {
	const {registry, sources, peerReachability, clock, logger} = options;

	/** Logs and counts the records of a peer that cannot be read, such as those of a newer version of the program. */
	const reportUnreadable = (peer: string, topics: ports.PullRegistryReply['topics']): void => {
		Object.values(ports.RegistryTopic).forEach(topic => {
			const effect = ports.UNREADABLE_RECORD_EFFECTS[topic];
			(topics[topic].records as ReadonlyArray<ports.RegistryRecord<ports.RegistryTopic>>)
				.filter(({isUnreadable}) => isUnreadable)
				.forEach(({key, offset}) => {
					options.metrics.increment(ports.CounterName.UnreadableRecords, {topic, effect});
					logger.warn('record of a peer cannot be read', {
						event: ports.LogEvent.RecordUnusable,
						topic,
						key,
						offset,
						effect,
						peer,
					});
				});
		});
	};

	return {
		async pull(address, {waitMs, staleExclusionMs, noAnswerExclusionMs}, signal) {
			const {catalogue, targets, nodes} = registry.replicas;
			const request: ports.PullRegistryRequest = {
				fromOffsets: {
					[ports.RegistryTopic.Catalogue]: catalogue.nextOffset(),
					[ports.RegistryTopic.Targets]: targets.nextOffset(),
					[ports.RegistryTopic.Nodes]: nodes.nextOffset(),
				},
				fromEras: {
					[ports.RegistryTopic.Catalogue]: catalogue.era(),
					[ports.RegistryTopic.Targets]: targets.era(),
					[ports.RegistryTopic.Nodes]: nodes.era(),
				},
				storeEra: registry.eras.newest(),
				waitMs,
			};
			const timed = await runWithTimeout(
				{clock, timeoutMs: waitMs + PULL_TIMEOUT_MARGIN_MS, progressTimeoutMs: PULL_TIMEOUT_MARGIN_MS, signal},
				async (pullSignal, noteProgress) =>
					options.peerClient.request(address, ports.FleetMessageKind.PullRegistry, request, {
						signal: pullSignal,
						noteProgress,
					}),
			);
			if (signal.aborted) {
				return false;
			}

			const reply = readPeerReply(timed);
			if (reply.isErr()) {
				peerReachability.recordFailure(address, reply.error.detail);
				registry.setSourceLost(true);
				if (noAnswerExclusionMs === undefined) {
					sources.excludeSilent(address);
				} else {
					sources.excludeStale(address, noAnswerExclusionMs);
				}

				return false;
			}

			peerReachability.recordSuccess(address);
			const {topics, role, topicAgesMs, storeAnswers, storeEra} = reply.value;
			sources.recordAnswer(role);
			reportUnreadable(address, topics);
			registry.apply(topics, {topicAgesMs, storeAnswers, storeEra});
			const isStale = reply.value.isStale || isOfOlderEra(topics, registry);
			registry.setSourceLost(isStale);
			if (isStale) {
				sources.excludeStale(address, staleExclusionMs);
			} else {
				sources.include(address);
			}

			return !isStale;
		},
	};
};
