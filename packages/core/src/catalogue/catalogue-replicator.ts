import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import type {CatalogueFeed} from './catalogue-feed.js';
import type {CatalogueStore} from './catalogue-store.js';
import {createFollowerStep} from './follower-step.js';
import {createGapRecovery, type GapRecovery} from './gap-recovery.js';
import {StepOutcome} from './log-tail.js';
import {createPacedAppend, type PacedAppend} from './paced-append.js';
import {createReaderStep} from './reader-step.js';
import {type CatalogueReplicatorOptions, DEFAULT_CATALOGUE_REPLICATOR_OPTIONS} from './replicator-options.js';
import {createReplicatorParts} from './replicator-parts.js';
import {createSnapshotRecovery} from './snapshot-recovery.js';
import {createSnapshotWriter, type SnapshotWriter} from './snapshot-writer.js';

/** Keeps the catalogue store up to date from the log or from relays. */
export type CatalogueReplicator = Pick<CatalogueFeed, 'subscribeToResults' | 'pullRecords' | 'pullSnapshot'> & {
	/** Appends to the log at no more than this node's share of the log's append rate. */
	readonly append: PacedAppend;
	/** Whether this node has once caught up with the highest offset known in the fleet, and the catalogue is not lost. */
	isReady(): boolean;
	/** Whether neither the log nor any reachable node holds the catalogue. */
	isLost(): boolean;
	/** Follows the log until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
};

/** Sets the gauge on which operators alert when the catalogue is lost or its snapshot is missing from the log. */
const reportRisk = (metrics: ports.Metrics, gapRecovery: GapRecovery, writer: SnapshotWriter): void => {
	metrics.set(ports.GaugeName.CatalogueAtRisk, {}, gapRecovery.isLost() || writer.isAtRisk() ? 1 : 0);
};

const waitForMembership = async (
	clock: ports.Clock,
	directory: MemberDirectory,
	limitMs: number,
	signal: AbortSignal,
): Promise<void> => {
	const deadlineAtMs = clock.monotonicMs() + limitMs;
	while (directory.version() === 0 && clock.monotonicMs() < deadlineAtMs && !signal.aborted) {
		await clock.sleep(20, signal);
	}
};

export const createCatalogueReplicator = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	directory: MemberDirectory;
	options?: Partial<CatalogueReplicatorOptions>;
}): CatalogueReplicator => {
	const {store, directory} = dependencies;
	const nodePorts = dependencies.ports;
	const options = {...DEFAULT_CATALOGUE_REPLICATOR_OPTIONS, ...dependencies.options};
	const parts = createReplicatorParts({ports: nodePorts, store, directory, options});
	const {feed, tree} = parts;
	const append = createPacedAppend(nodePorts);
	const recovery = createSnapshotRecovery({...parts, directory, options: options.recovery});
	const gapRecovery = createGapRecovery({ports: nodePorts, store, feed, directory, recovery});
	const writer = createSnapshotWriter({
		...parts,
		append,
		selfAddress: directory.self.address,
		options: options.snapshots,
	});
	const readerStep = createReaderStep(parts);
	const followerStep = createFollowerStep(parts);
	let isReady = false;

	const updateReadiness = (isCaughtUp: boolean): void => {
		const isNewEnough = store.appliedOffset() >= directory.highestKnownOffset();
		isReady ||= isCaughtUp && isNewEnough && !gapRecovery.isLost();
	};

	const recoverFromGap = async (signal: AbortSignal): Promise<void> => {
		updateReadiness(await gapRecovery.recoverOnce(signal));
	};

	const outcomeHandlers: Record<StepOutcome, (signal: AbortSignal) => Promise<void>> = {
		async [StepOutcome.CaughtUp]() {
			gapRecovery.recordProgress();
			updateReadiness(feed.freshness() !== ports.RelayFreshness.Stale);
		},
		async [StepOutcome.Behind]() {
			gapRecovery.recordProgress();
		},
		[StepOutcome.Gap]: recoverFromGap,
		async [StepOutcome.Failed](signal) {
			// A starting node recovers from peers instead of waiting until the log can be read.
			if (!isReady) {
				await recoverFromGap(signal);
			}
		},
	};

	const follow = async (signal: AbortSignal): Promise<void> => {
		await waitForMembership(nodePorts.clock, directory, options.membershipWaitMs, signal);
		while (!signal.aborted) {
			const outcome = await (tree.isReader() ? readerStep : followerStep)(signal);
			await outcomeHandlers[outcome](signal);
			reportRisk(nodePorts.metrics, gapRecovery, writer);
		}
	};

	return {
		subscribeToResults: feed.subscribeToResults,
		pullRecords: feed.pullRecords,
		pullSnapshot: feed.pullSnapshot,
		append,
		isReady: () => isReady && !gapRecovery.isLost(),
		isLost: gapRecovery.isLost,
		async run(signal) {
			await Promise.all([follow(signal), writer.run(signal)]);
		},
	};
};
