import type * as domain from '@bilberrydoor/domain';
import {createEraTracker, createRereadLog, type EraTracker} from '../eras/era-tracker.js';
import {createKnownEras} from '../eras/known-eras.js';
import {selectUsableTopics} from '../eras/select-usable-topics.js';
import * as ports from '../ports/index.js';
import {createChangeNotifier} from '../shared/change-notifier.js';
import {carryOverRoutes} from './carry-over-routes.js';
import {createLapseWindow, DEFAULT_TARGET_HEARTBEAT_MS, describeStoreAnswers} from './lapse-window.js';
import {createNodeRanking} from './node-ranking.js';
import type {PeerReachability} from './peer-reachability.js';
import {createReplica, type Replica} from './replica.js';
import {buildGroupId, createTargetIndex} from './target-index.js';
import {createTopicAges, NEVER_READ_AGE_MS} from './topic-ages.js';

/** This node's replicas of the catalogue, the targets and the nodes of the fleet. */
export type Registry = {
	readonly replicas: {readonly [Topic in ports.RegistryTopic]: Replica<Topic>};
	readonly eras: EraTracker;
	catalogue(): domain.FleetCatalogue | undefined;
	/** Targets of the group of a service in a region. */
	targetsOf(service: string, region: string): readonly domain.RegisteredTarget[];
	/** Regions with targets of a service. */
	regionsOf(service: string): readonly string[];
	target(targetId: string): domain.RegisteredTarget | undefined;
	/** Known nodes of a region, including this one in its own region. */
	nodesOf(region: string): readonly domain.RegisteredNode[];
	/**
	 * Reachable nodes of the region, best first for the key, which is the id of a group. Ranks by incarnation, so that a restarted node, whose in-memory
	 * state is lost, rarely gets its former rank.
	 */
	rankNodes(key: string, region: string, limitCount: number): readonly domain.RegisteredNode[];
	/**
	 * Reachable nodes of this node's region, best first for reading the store. Ranks by node id, so that a restarted node keeps
	 * its rank. Nodes then agree on the reader even if some have only its former incarnation, as after a restart of all nodes.
	 */
	rankReaders(limitCount: number): readonly domain.RegisteredNode[];
	/**
	 * Applies records from a peer, or from the store if the peer's knowledge of the store is absent. Topics without an age count
	 * as just read. Topics of an older era than the newest known one are ignored.
	 */
	apply(
		topics: Partial<ports.PullRegistryReply['topics']>,
		peerKnowledge?: Partial<Pick<ports.PullRegistryReply, 'topicAgesMs' | 'storeAnswers' | 'storeEra'>>,
	): void;
	/** Records what a peer knows of the store's answers, which may show that an assumed outage was none. */
	recordStoreAnswers(answers: ports.StoreAnswers): void;
	/** Resolves when an outage of the store is assumed, after a minute, or when the signal is aborted. */
	waitForOutage(signal: AbortSignal): Promise<void>;
	/** Whether removals may be lapses now, since an outage of the store is assumed to have ended lately. */
	isAfterOutage(): boolean;
	/**
	 * Records whether this node's source, the store or a peer, has failed or is stale itself. A loss is reported at once in the
	 * replies to pending pulls, so that the followers change to another source before their records become stale.
	 */
	setSourceLost(isLost: boolean): void;
	/** Records how this node keeps its registry up to date; told to peers with each reply to a pull. */
	setRole(role: ports.RegistryRole): void;
	role(): ports.RegistryRole;
	/** Age of the catalogue or the targets, whichever is older, in ms. */
	ageMs(): number;
	/**
	 * Whether this node has lost its source, or its catalogue or targets are too old. Topics are checked separately, since the
	 * store may answer reads of one while those of the other hang.
	 */
	isStale(): boolean;
	/** Time since the store last answered a read of each topic, either of this node or of the node that it pulls from, in ms. */
	topicAgesMs(): ports.TopicAgesMs;
	/** Records that a peer lacks. If there are none, waits for a change up to the request's `waitMs`. */
	pull(request: ports.PullRegistryRequest, signal: AbortSignal): Promise<ports.PullRegistryReply>;
	/** Resolves at the next change or after `waitMs`. */
	waitForChange(waitMs: number, signal?: AbortSignal): Promise<void>;
};

export type RegistryOptions = {
	readonly self: domain.RegisteredNode;
	readonly clock: ports.Clock;
	readonly logger: ports.Logger;
	readonly metrics: ports.Metrics;
	readonly peerReachability: PeerReachability;
	/** Returns the time between two heartbeats of a target, in ms, or undefined for the default. */
	readonly readTargetHeartbeatMs?: () => number | undefined;
};

const MS_PER_SECOND = 1000;

/** Key under which the nodes of a region are ranked for reading the store. */
const READER_KEY = 'registry-reader';

/** Estimate: a slot serves two or three calls a second, and a call takes its dispatcher a little less than 1 ms. */
const DISPATCHER_CORES_PER_SLOT = 0.002;

/** Estimate: readers and relays answer one pull a second of each follower, and send every change to all of them. */
const READER_CORES_PER_NODE = 0.002;

const TOPICS = Object.values(ports.RegistryTopic);

/** Longest wait for an outage, in ms. Timers of several weeks would overflow. */
const OUTAGE_WAIT_MS = 60_000;

export const createRegistry = (options: RegistryOptions): Registry => {
	const {self, clock, logger, metrics} = options;
	const logReread = createRereadLog(logger);
	const replicas = {
		[ports.RegistryTopic.Catalogue]: createReplica(ports.RegistryTopic.Catalogue, clock, logReread),
		[ports.RegistryTopic.Targets]: createReplica(ports.RegistryTopic.Targets, clock, logReread),
		[ports.RegistryTopic.Nodes]: createReplica(ports.RegistryTopic.Nodes, clock, logReread),
	};
	const knownEras = createKnownEras(clock);
	const notifier = createChangeNotifier(clock);
	const outageNotifier = createChangeNotifier(clock);
	const readTargetIndex = createTargetIndex(replicas.targets, clock);
	const topicAges = createTopicAges(clock);
	const lapseWindow = createLapseWindow(() => options.readTargetHeartbeatMs?.() ?? DEFAULT_TARGET_HEARTBEAT_MS);
	let isSourceMarkedLost = false;
	let currentRole = ports.RegistryRole.Follower;
	let catalogue: domain.FleetCatalogue | undefined;

	const nodesOf = (region: string): readonly domain.RegisteredNode[] => {
		const others = [...replicas.nodes.values().values()].filter(
			node => node.region === region && node.nodeId !== self.nodeId,
		);
		return region === self.region ? [...others, self] : others;
	};

	const rankingOptions = {
		clock,
		listNodes: nodesOf,
		readRevision: replicas.nodes.revision,
		isUsable: ({nodeId, address}: domain.RegisteredNode) =>
			nodeId === self.nodeId || options.peerReachability.isUsable(address),
	};
	const ranking = createNodeRanking({
		...rankingOptions,
		readRankingId: ({incarnationId}) => incarnationId,
		readNeededCores: groupId => (readTargetIndex().slotCountByGroup.get(groupId) ?? 0) * DISPATCHER_CORES_PER_SLOT,
	});
	const readerRanking = createNodeRanking({
		...rankingOptions,
		readRankingId: ({nodeId}) => nodeId,
		readNeededCores: (_key, region) => nodesOf(region).length * READER_CORES_PER_NODE,
	});

	const isStale = (): boolean => isSourceMarkedLost || topicAges.isStale();

	/** Whether this node had a source and lost it. False before the first read, since the first records are expected soon. */
	const isSourceLost = (): boolean => isStale() && topicAges.oldestMs() < NEVER_READ_AGE_MS;

	const adoptNewestCatalogue = (): void => {
		const newest = [...replicas.catalogue.values().values()].reduce<domain.FleetCatalogue | undefined>(
			(best, candidate) => (best && best.version >= candidate.version ? best : candidate),
			catalogue,
		);
		if (newest && newest !== catalogue) {
			logger.info('catalogue in force', {
				event: ports.LogEvent.CatalogueInForce,
				version: newest.version,
				previousVersion: catalogue?.version,
				routeCount: newest.routes.length,
				unreadableRouteCount: newest.unreadableRoutes.length,
				registryAgeMs: Math.round(topicAges.oldestMs()),
				topicAgesMs: topicAges.list(),
			});
			metrics.set(ports.GaugeName.CatalogueVersion, {}, newest.version);
			catalogue = newest;
		}
	};

	/** Time until which removals of each topic may be lapses, in ms. Only registrations of targets expire. */
	const readLapseEndMs: Record<ports.RegistryTopic, () => number> = {
		[ports.RegistryTopic.Catalogue]: () => 0,
		[ports.RegistryTopic.Targets]: lapseWindow.endsAtMs,
		[ports.RegistryTopic.Nodes]: () => 0,
	};

	/** The cast is safe because each topic's changes go to the replica of the same topic. */
	const applyTopic = <Topic extends ports.RegistryTopic>(
		topic: Topic,
		changes: ports.TopicChanges<Topic> | undefined,
	): boolean =>
		changes !== undefined &&
		(replicas[topic] as unknown as Replica<Topic>).apply(changes, readLapseEndMs[topic](), knownEras.renewalEndsAtMs());

	/** Completes new catalogues before they are stored, so that followers get the rules that are in force here. */
	const completeCatalogues = (
		changes: ports.TopicChanges<ports.RegistryTopic.Catalogue> | undefined,
	): ports.TopicChanges<ports.RegistryTopic.Catalogue> | undefined =>
		changes && {
			...changes,
			records: changes.records.map(record => ({
				...record,
				value: record.value && carryOverRoutes(catalogue, record.value),
			})),
		};

	const confirmTopic = (topic: ports.RegistryTopic, confirmedAgeMs: number): void => {
		metrics.set(ports.GaugeName.RegistryAgeSeconds, {topic}, topicAges.ageMs(topic) / MS_PER_SECOND);
		topicAges.confirm(topic, confirmedAgeMs);
	};

	const isAfterOutage = (): boolean => lapseWindow.endsAtMs() > clock.monotonicMs();

	const recordStoreAnswers = ({ageMs, runMs}: ports.StoreAnswers): void => {
		const wasAfterOutage = isAfterOutage();
		const endedAtMs = clock.monotonicMs() - ageMs;
		const outage = lapseWindow.recordRun({startedAtMs: endedAtMs - runMs, endedAtMs});
		if (outage && isAfterOutage()) {
			logger.info('outage of the store assumed', {
				event: ports.LogEvent.StoreOutageAssumed,
				pauseMs: Math.round(outage.pauseMs),
				removalsKeptMs: Math.round(lapseWindow.endsAtMs() - clock.monotonicMs()),
				role: currentRole,
				topicAgesMs: topicAges.list(),
			});
			outageNotifier.notifyAll();
		}

		const hasRemoved = wasAfterOutage && limitLapses();
		if (wasAfterOutage && !isAfterOutage()) {
			logger.info('outage of the store ruled out', {event: ports.LogEvent.StoreOutageRuledOut, hasRemoved, runMs});
		}
	};

	const limitLapses = (): boolean =>
		replicas.targets.limitLapses(Math.max(lapseWindow.endsAtMs(), knownEras.renewalEndsAtMs()));

	const eras = createEraTracker({
		clock,
		logger,
		metrics,
		knownEras,
		replicas,
		readRole: () => currentRole,
		onRenewalShortened: limitLapses,
	});

	/** Whether the requesting node lacks changes that it would use. */
	const hasChanges = ({fromOffsets, fromEras, storeEra = 0}: ports.PullRegistryRequest): boolean =>
		TOPICS.some(
			topic =>
				replicas[topic].era() >= storeEra && replicas[topic].hasChangesSince(fromOffsets[topic], fromEras?.[topic]),
		);

	return {
		replicas,
		eras,
		catalogue: () => catalogue,
		targetsOf: (service, region) => readTargetIndex().byGroup.get(buildGroupId(service, region)) ?? [],
		regionsOf: service => readTargetIndex().regionsByService.get(service) ?? [],
		target: targetId => readTargetIndex().byId.get(targetId),
		nodesOf,
		rankNodes: ranking.rank,
		rankReaders: limitCount => readerRanking.rank(READER_KEY, self.region, limitCount),
		apply(received, {topicAgesMs, storeAnswers, storeEra} = {}) {
			eras.recordPeer(storeEra);
			const given = selectUsableTopics(received, knownEras);
			const targetsAgeMs = topicAgesMs?.targets ?? 0;
			if (given.targets && targetsAgeMs < NEVER_READ_AGE_MS) {
				recordStoreAnswers(storeAnswers ?? {ageMs: targetsAgeMs, runMs: 0});
			}

			const topics = {...given, [ports.RegistryTopic.Catalogue]: completeCatalogues(given.catalogue)};
			const changedTopics = TOPICS.filter(topic => applyTopic(topic, topics[topic] as never));
			TOPICS.filter(topic => topics[topic] !== undefined).forEach(topic => {
				confirmTopic(topic, topicAgesMs?.[topic] ?? 0);
			});
			if (changedTopics.length > 0) {
				adoptNewestCatalogue();
				notifier.notifyAll();
			}
		},
		setSourceLost(isNowLost) {
			const isNewLoss = isNowLost && !isSourceMarkedLost;
			isSourceMarkedLost = isNowLost;
			if (isNewLoss) {
				notifier.notifyAll();
			}
		},
		setRole(role) {
			currentRole = role;
		},
		role: () => currentRole,
		ageMs: topicAges.oldestMs,
		isStale,
		topicAgesMs: topicAges.list,
		async pull(request, signal) {
			const {fromOffsets, fromEras, storeEra = 0, waitMs} = request;
			eras.recordPeer(storeEra > 0 ? {era: storeEra, ageMs: 0} : undefined);
			const waitEndsAtMs = clock.monotonicMs() + waitMs;
			if (!eras.isRereading() && !hasChanges(request) && !isSourceLost()) {
				await notifier.wait(waitMs, signal);
			}

			// A reply with topics of different eras would be taken for one of a peer that is behind.
			while (eras.isRereading() && clock.monotonicMs() < waitEndsAtMs && !signal.aborted) {
				await notifier.wait(waitEndsAtMs - clock.monotonicMs(), signal);
			}

			return {
				topics: {
					[ports.RegistryTopic.Catalogue]: replicas.catalogue.changesSince(fromOffsets.catalogue, fromEras?.catalogue),
					[ports.RegistryTopic.Targets]: replicas.targets.changesSince(fromOffsets.targets, fromEras?.targets),
					[ports.RegistryTopic.Nodes]: replicas.nodes.changesSince(fromOffsets.nodes, fromEras?.nodes),
				},
				isStale: isStale(),
				role: currentRole,
				topicAgesMs: topicAges.list(),
				storeAnswers: describeStoreAnswers(lapseWindow.latestRun(), clock.monotonicMs()),
				storeEra: knownEras.describe(),
			};
		},
		recordStoreAnswers,
		isAfterOutage,
		waitForOutage: async signal => outageNotifier.wait(OUTAGE_WAIT_MS, signal),
		waitForChange: async (waitMs, signal) => notifier.wait(waitMs, signal),
	};
};
