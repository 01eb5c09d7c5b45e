import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {createChangeNotifier} from '../shared/change-notifier.js';
import {groupBy} from '../shared/group-by.js';
import {carryOverRoutes} from './carry-over-routes.js';
import {createLapseWindow, DEFAULT_TARGET_HEARTBEAT_MS, type EndedOutage} from './lapse-window.js';
import {createNodeRanking} from './node-ranking.js';
import type {PeerReachability} from './peer-reachability.js';
import {createReplica, type Replica} from './replica.js';
import {createTopicAges, NEVER_READ_AGE_MS} from './topic-ages.js';

/** Id of the group that holds the targets of a service in a region. */
export const buildGroupId = (service: string, region: string): string => `${service}@${region}`;

/** This node's replicas of the catalogue, the targets and the nodes of the fleet. */
export type Registry = {
	readonly replicas: {readonly [Topic in ports.RegistryTopic]: Replica<Topic>};
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
	 * as just read.
	 */
	apply(
		topics: Partial<ports.PullRegistryReply['topics']>,
		peerKnowledge?: Partial<Pick<ports.PullRegistryReply, 'topicAgesMs' | 'storeAnswers'>>,
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

/** Age at which the target index is rebuilt, since after a store outage targets expire without a new record. */
const INDEX_AGE_LIMIT_MS = 250;

type TargetIndex = {
	readonly builtAtMs: number;
	readonly revision: number;
	readonly byId: ReadonlyMap<string, domain.RegisteredTarget>;
	readonly byGroup: ReadonlyMap<string, readonly domain.RegisteredTarget[]>;
	readonly slotCountByGroup: ReadonlyMap<string, number>;
	readonly regionsByService: ReadonlyMap<string, readonly string[]>;
};

const createTargetIndex = (replica: Replica<ports.RegistryTopic.Targets>, clock: ports.Clock): (() => TargetIndex) => {
	let index: TargetIndex | undefined;
	return () => {
		const nowMs = clock.monotonicMs();
		if (index?.revision === replica.revision() && nowMs - index.builtAtMs < INDEX_AGE_LIMIT_MS) {
			return index;
		}

		const byId = replica.values();
		const byGroup = groupBy(byId.values(), ({service, region}) => buildGroupId(service, region));
		const slotCountByGroup = new Map(
			[...byGroup].map(([groupId, targets]) => [groupId, targets.reduce((sum, {slotCount}) => sum + slotCount, 0)]),
		);
		const oneTargetPerGroup = [...byGroup.values()].map(([target]) => target!);
		const regionsByService = new Map(
			[...groupBy(oneTargetPerGroup, ({service}) => service)].map(([service, targets]) => [
				service,
				targets.map(({region}) => region),
			]),
		);
		index = {builtAtMs: nowMs, revision: replica.revision(), byId, byGroup, slotCountByGroup, regionsByService};
		return index;
	};
};

export const createRegistry = (options: RegistryOptions): Registry => {
	const {self, clock, logger, metrics} = options;
	const replicas = {
		[ports.RegistryTopic.Catalogue]: createReplica(ports.RegistryTopic.Catalogue, clock),
		[ports.RegistryTopic.Targets]: createReplica(ports.RegistryTopic.Targets, clock),
		[ports.RegistryTopic.Nodes]: createReplica(ports.RegistryTopic.Nodes, clock),
	};
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
		changes !== undefined && (replicas[topic] as unknown as Replica<Topic>).apply(changes, readLapseEndMs[topic]());

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

	const logOutage = ({pauseMs}: EndedOutage): void => {
		logger.info('outage of the store assumed', {
			event: ports.LogEvent.StoreOutageAssumed,
			pauseMs: Math.round(pauseMs),
			removalsKeptMs: Math.round(lapseWindow.endsAtMs() - clock.monotonicMs()),
			role: currentRole,
			topicAgesMs: topicAges.list(),
		});
	};

	const isAfterOutage = (): boolean => lapseWindow.endsAtMs() > clock.monotonicMs();

	const recordStoreAnswers = ({ageMs, runMs}: ports.StoreAnswers): void => {
		const wasAfterOutage = isAfterOutage();
		const endedAtMs = clock.monotonicMs() - ageMs;
		const outage = lapseWindow.recordRun({startedAtMs: endedAtMs - runMs, endedAtMs});
		if (outage && isAfterOutage()) {
			logOutage(outage);
			outageNotifier.notifyAll();
		}

		const hasRemoved = wasAfterOutage && replicas.targets.limitLapses(lapseWindow.endsAtMs());
		if (wasAfterOutage && !isAfterOutage()) {
			logger.info('outage of the store ruled out', {event: ports.LogEvent.StoreOutageRuledOut, hasRemoved, runMs});
		}
	};

	const listStoreAnswers = (): ports.StoreAnswers | undefined => {
		const run = lapseWindow.latestRun();
		return (
			run && {
				ageMs: Math.round(clock.monotonicMs() - run.endedAtMs),
				runMs: Math.round(run.endedAtMs - run.startedAtMs),
			}
		);
	};

	const hasChanges = ({fromOffsets}: ports.PullRegistryRequest): boolean =>
		TOPICS.some(topic => replicas[topic].changesSince(fromOffsets[topic]).records.length > 0);

	return {
		replicas,
		catalogue: () => catalogue,
		targetsOf: (service, region) => readTargetIndex().byGroup.get(buildGroupId(service, region)) ?? [],
		regionsOf: service => readTargetIndex().regionsByService.get(service) ?? [],
		target: targetId => readTargetIndex().byId.get(targetId),
		nodesOf,
		rankNodes: ranking.rank,
		rankReaders: limitCount => readerRanking.rank(READER_KEY, self.region, limitCount),
		apply(given, {topicAgesMs, storeAnswers} = {}) {
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
			if (!hasChanges(request) && !isSourceLost()) {
				await notifier.wait(request.waitMs, signal);
			}

			return {
				topics: {
					[ports.RegistryTopic.Catalogue]: replicas.catalogue.changesSince(request.fromOffsets.catalogue),
					[ports.RegistryTopic.Targets]: replicas.targets.changesSince(request.fromOffsets.targets),
					[ports.RegistryTopic.Nodes]: replicas.nodes.changesSince(request.fromOffsets.nodes),
				},
				isStale: isStale(),
				role: currentRole,
				topicAgesMs: topicAges.list(),
				storeAnswers: listStoreAnswers(),
			};
		},
		recordStoreAnswers,
		isAfterOutage,
		waitForOutage: async signal => outageNotifier.wait(OUTAGE_WAIT_MS, signal),
		waitForChange: async (waitMs, signal) => notifier.wait(waitMs, signal),
	};
};
