import type * as core from '@bilberrydoor/core';
import {createOlderReplies, delayAnswers, hideEras} from './changed-answers.js';
import type {OpenReadEnding} from './fake-registry-store.js';
import {createRegistryFleet} from './registry-fleet.js';
import {createRollbackWatch, describeDifference, STOPPED_INDEX, type Fleet} from './rollback-watch.js';
import {createRollbackWriters, HEARTBEAT_MS, type RollbackWriters} from './rollback-writers.js';
import {createVirtualClock} from './virtual-clock.js';

/** What happens just before the store goes back. */
export enum RollbackMoment {
	Idle = 'idle',
	TargetLeaves = 'while a target leaves',
	TargetRegisters = 'while a target registers',
	CatalogueChanges = 'while a catalogue is acknowledged',
	DispatcherChanges = 'while a dispatcher changes',
	NodeStops = 'in a stop',
	Twice = 'twice within 10 s',
}

/** Nodes that the store answers between the rollback and `BLOCK_MS` later. */
export enum NodesReading {
	All = 'all nodes',
	Half = 'half of the nodes',
	One = 'one node',
	None = 'no node',
}

export type RollbackOptions = {
	readonly nodeCount: number;
	readonly moment: RollbackMoment;
	/** Age of the copy to which the store goes back, in ms. */
	readonly ageMs: number;
	readonly reading: NodesReading;
	/** For how long the store answers no node before it goes back, in ms. */
	readonly outageMs?: number;
	readonly openReadEnding?: OpenReadEnding;
	/** Cuts the given number of nodes off from the store and their peers until 4 s after the rollback. */
	readonly cutCount?: number;
	/** Further time before the rollback, which decides the phase of the nodes' intervals, in ms. */
	readonly delayMs?: number;
	/** Longest time by which answers of the store are late, in ms. */
	readonly lateAnswersMs?: number;
	/** How many nodes omit eras in their replies, as those of earlier versions do. */
	readonly olderCount?: number;
	/** Makes the store's client hide eras, so that the nodes compare offsets alone. */
	readonly hidesEras?: boolean;
};

export type RollbackResult = {
	/** Everything that must not happen, each with its time; empty if the nodes behaved as required. */
	readonly faults: readonly string[];
	/** Longest time from the rollback until all nodes had the store's records, in ms; Infinity if they never had. */
	readonly caughtUpAfterMs: number;
	readonly peakStoreCallsPerSecond: number;
};

const STEP_MS = 50;
const MS_PER_SECOND = 1000;

/**
 * Shortest time from the start to the rollback. A copy that is older than this has only the records with which the store was
 * filled, and no node's.
 */
const SETTLE_MS = 8000;

/** How long some nodes cannot read the store after it has gone back. */
const BLOCK_MS = 1500;

/** Time within which all nodes have the store's records after the last rollback and the end of every block. */
const CATCH_UP_MS = 6000;

/** The platform's limit for removals and configuration, from the write in the present era on. */
const IN_FORCE_LIMIT_MS = 2500;

const SECOND_ROLLBACK_DELAY_MS = 4000;

/** How long some nodes are cut off. */
const CUT_MS = 4000;

/** Time of the first changes after a rollback. Their offsets are ones that the nodes have read before. */
const DRAIN_DELAY_MS = 200;

/** When the operator writes the next version of the catalogue after a rollback. */
const OPERATOR_DELAY_MS = 1000;

/** Registrations expire after this time without a heartbeat. */
const EXPIRY_MS = 3 * HEARTBEAT_MS;

const FIRST_TARGET_IDS = Array.from({length: 6}, (_, index) => `first-${index}`);
const LATE_TARGET_IDS = Array.from({length: 4}, (_, index) => `late-${index}`);

/** Registers after the oldest copy, and is removed long before the rollback. */
const GONE_ID = 'gone';
const LEAVING_ID = 'leaving';
const NEW_ID = 'new';
const SOON_DRAINING_ID = FIRST_TARGET_IDS[2]!;
const SOON_REMOVED_ID = FIRST_TARGET_IDS[3]!;

/** Removed 3 s before the rollback, so that copies of 5 s and 20 s restore it. */
const GONE_BEFORE_MS = 3000;

/** Events by time before the rollback, in ms. */
type Preparation = ReadonlyArray<{readonly beforeMs: number; run(fleet: Fleet, writers: RollbackWriters): void}>;

/** Time that a stopping node has until its calls are cut off, in ms. */
const GRACE_MS = 5000;

const PREPARATIONS: Record<RollbackMoment, Preparation> = {
	[RollbackMoment.Idle]: [],
	[RollbackMoment.TargetLeaves]: [
		{
			beforeMs: 900,
			run(_fleet, writers) {
				writers.drain(LEAVING_ID);
			},
		},
	],
	[RollbackMoment.TargetRegisters]: [
		{
			beforeMs: 900,
			run(_fleet, writers) {
				writers.register(NEW_ID);
			},
		},
	],
	[RollbackMoment.CatalogueChanges]: [
		{
			beforeMs: 300,
			run(_fleet, writers) {
				writers.changeCatalogue();
			},
		},
	],
	[RollbackMoment.DispatcherChanges]: [
		{
			beforeMs: 700,
			run(fleet) {
				const [dispatcher] = [...fleet.nodes.values()][0]!.registry.rankNodes('malipo@pwani', 'pwani', 1);
				fleet.startNode(dispatcher!.nodeId, 900);
			},
		},
	],
	[RollbackMoment.NodeStops]: [
		{
			beforeMs: 500,
			run({nodes, clock}) {
				void nodes.get(`node-${STOPPED_INDEX}`)!.leave(clock.monotonicMs() + GRACE_MS);
			},
		},
	],
	[RollbackMoment.Twice]: [],
};

const selectBlocked: Record<NodesReading, (nodeIds: readonly string[]) => readonly string[]> = {
	[NodesReading.All]: () => [],
	[NodesReading.Half]: nodeIds => nodeIds.slice(0, Math.ceil(nodeIds.length / 2)),
	[NodesReading.One]: nodeIds => nodeIds.slice(0, -1),
	[NodesReading.None]: nodeIds => nodeIds,
};

/** Starts a fleet, lets its store go back to an older copy, and lists what then happens that must not. */
export const simulateRollback = async (options: RollbackOptions): Promise<RollbackResult> => {
	const {nodeCount, moment, ageMs, reading, outageMs = 0, openReadEnding, cutCount = 0, hidesEras = false} = options;
	const {delayMs = 0, lateAnswersMs = 0, olderCount = 0} = options;
	const clock = createVirtualClock();
	let writers!: RollbackWriters;
	const fleet = createRegistryFleet({
		clock,
		nodeCount,
		seedIds: ['node-0', 'node-2'],
		wrapStore: store => delayAnswers(hidesEras ? hideEras(store) : store, clock, lateAnswersMs),
		deliverReply: createOlderReplies(olderCount),
		fillStore(store) {
			writers = createRollbackWriters(clock, store);
			writers.writeCatalogue();
			[...FIRST_TARGET_IDS, LEAVING_ID].forEach(targetId => {
				writers.register(targetId);
			});
			writers.register(GONE_ID);
		},
	});
	const {store, nodes} = fleet;
	const settleMs = Math.max(SETTLE_MS, ageMs) + delayMs;
	const watch = createRollbackWatch(fleet, writers, settleMs);
	let peakCalls = 0;
	const callCounts: number[] = [];
	const advance = async (durationMs: number): Promise<void> => {
		const endsAtMs = clock.monotonicMs() + durationMs;
		while (clock.monotonicMs() < endsAtMs) {
			await clock.advance(Math.min(STEP_MS, endsAtMs - clock.monotonicMs()));
			callCounts.push(store.callCount);
			peakCalls = Math.max(
				peakCalls,
				store.callCount - callCounts[Math.max(0, callCounts.length - 1 - MS_PER_SECOND / STEP_MS)]!,
			);
			watch.check();
		}
	};

	await clock.advance(MS_PER_SECOND);
	LATE_TARGET_IDS.forEach(targetId => {
		writers.register(targetId);
	});
	await clock.advance(settleMs - MS_PER_SECOND - GONE_BEFORE_MS);
	writers.remove(GONE_ID);
	await advance(GONE_BEFORE_MS - MS_PER_SECOND);
	const preparation = PREPARATIONS[moment].toSorted((left, right) => right.beforeMs - left.beforeMs);
	let leftMs = MS_PER_SECOND;
	for (const {beforeMs, run} of preparation) {
		await advance(leftMs - beforeMs);
		leftMs = beforeMs;
		const before = new Set(nodes.values());
		run(fleet, writers);
		[...nodes].filter(([, node]) => !before.has(node)).forEach(([nodeId]) => watch.forget(nodeId));
	}

	await advance(leftMs);
	const rankedIds = [...nodes.values()][0]!.registry.rankReaders(nodeCount).map(({nodeId}) => nodeId);
	const blockedIds = selectBlocked[reading](rankedIds);
	const cutIds = rankedIds.slice(0, cutCount);
	let changedAtMs = 0;
	const rollBack = async (): Promise<void> => {
		store.isDown = true;
		await advance(outageMs);
		blockedIds.forEach(nodeId => store.refusedNodeIds.add(nodeId));
		store.isDown = false;
		store.rollBack(ageMs + outageMs, openReadEnding);
		await advance(DRAIN_DELAY_MS);
		writers.drain(SOON_DRAINING_ID);
		writers.remove(SOON_REMOVED_ID);
		await advance(OPERATOR_DELAY_MS - DRAIN_DELAY_MS);
		writers.changeCatalogue();
		changedAtMs = clock.monotonicMs();
		await advance(BLOCK_MS - OPERATOR_DELAY_MS);
		blockedIds.forEach(nodeId => store.refusedNodeIds.delete(nodeId));
	};

	cutIds.forEach(nodeId => {
		store.refusedNodeIds.add(nodeId);
		fleet.cutNodeIds.add(nodeId);
	});
	await rollBack();
	if (moment === RollbackMoment.Twice) {
		await advance(SECOND_ROLLBACK_DELAY_MS - BLOCK_MS);
		await rollBack();
	}

	if (cutIds.length > 0) {
		await advance(CUT_MS - BLOCK_MS);
		cutIds.forEach(nodeId => {
			store.refusedNodeIds.delete(nodeId);
			fleet.cutNodeIds.delete(nodeId);
		});
	}

	const listOldTopics = ({registry}: core.FleetNode): string[] =>
		Object.entries(registry.replicas)
			.filter(([, replica]) => !hidesEras && replica.era() !== store.era)
			.map(([topic]) => topic);
	const listDifferences = () =>
		[...nodes].flatMap(([nodeId, node]) => {
			const difference = [describeDifference(fleet, writers, node), ...listOldTopics(node)].filter(Boolean).join('; ');
			return difference === '' ? [] : [{nodeId, difference}];
		});
	const addDifferences = (kind: string): void => {
		listDifferences().forEach(({nodeId, difference}) => {
			watch.addFault(kind, nodeId, difference);
		});
	};

	const healedAtMs = clock.monotonicMs();
	const inForceAtMs =
		blockedIds.length + cutIds.length > 0 ? Number.POSITIVE_INFINITY : changedAtMs + IN_FORCE_LIMIT_MS;
	let caughtUpAfterMs = Number.POSITIVE_INFINITY;
	while (clock.monotonicMs() - healedAtMs < CATCH_UP_MS) {
		const elapsedMs = clock.monotonicMs() - healedAtMs;
		caughtUpAfterMs = listDifferences().length > 0 ? Number.POSITIVE_INFINITY : Math.min(caughtUpAfterMs, elapsedMs);
		if (clock.monotonicMs() >= inForceAtMs && clock.monotonicMs() - STEP_MS < inForceAtMs) {
			addDifferences('changes just after the rollback not in force');
		}

		if (elapsedMs >= EXPIRY_MS - BLOCK_MS) {
			writers.expire();
		}

		await advance(STEP_MS);
	}

	addDifferences('other records');

	// Offsets are assigned again, so changes now have the offsets of records that the nodes read before the rollback.
	writers.changeCatalogue();
	writers.remove(FIRST_TARGET_IDS[0]!);
	writers.drain(FIRST_TARGET_IDS[1]!);
	await advance(IN_FORCE_LIMIT_MS);
	addDifferences('changes after the rollback not in force');
	fleet.stop();
	return {faults: watch.list(), caughtUpAfterMs, peakStoreCallsPerSecond: peakCalls};
};
