import type {MemberDirectory} from '../membership/member-directory.js';
import type * as ports from '../ports/index.js';
import {createBackOff} from '../shared/back-off.js';
import type {CatalogueFeed} from './catalogue-feed.js';
import type {CatalogueStore} from './catalogue-store.js';
import {type LogRecovery, LogRecoveryOutcome, type PeerRecovery, type SnapshotRecovery} from './snapshot-recovery.js';

/** Recovers when the next record is unavailable: from peers, from a snapshot in the log, or by skipping records. */
export type GapRecovery = {
	/** Makes one attempt. Returns true when the applied offset has reached the highest offset known in the fleet. */
	recoverOnce(signal: AbortSignal): Promise<boolean>;
	/** Resets the attempt count and the backoff. Called after a read without a gap, and after a snapshot was applied. */
	recordProgress(): void;
	/** Whether neither the log nor any reachable node holds the catalogue. */
	isLost(): boolean;
};

/** Attempts without a snapshot, about 10 s, after which expired records are skipped or the catalogue counts as lost. */
const MISSING_ATTEMPT_LIMIT_COUNT = 5;
const FIRST_RETRY_DELAY_MS = 500;
const RETRY_DELAY_LIMIT_MS = 3000;
/** Attempts between repetitions of the error in the log output. */
const ERROR_LOG_INTERVAL_ATTEMPT_COUNT = 20;

export const createGapRecovery = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	feed: CatalogueFeed;
	directory: MemberDirectory;
	recovery: SnapshotRecovery;
}): GapRecovery => {
	const {store, feed, directory, recovery} = dependencies;
	const {clock, logger, random} = dependencies.ports;
	const backOff = createBackOff({random, firstMs: FIRST_RETRY_DELAY_MS, limitMs: RETRY_DELAY_LIMIT_MS});
	let missingAttemptCount = 0;
	let isLost = false;

	const recordProgress = (): void => {
		missingAttemptCount = 0;
		isLost = false;
		backOff.reset();
	};

	const hasNewestOffset = (peers: PeerRecovery): boolean =>
		store.appliedOffset() >= Math.max(0, peers.highestOffset, directory.highestKnownOffset());

	const reportLoss = (): void => {
		isLost = true;
		if (missingAttemptCount % ERROR_LOG_INTERVAL_ATTEMPT_COUNT === MISSING_ATTEMPT_LIMIT_COUNT) {
			logger.error(
				'the catalogue is lost: the log holds no snapshot and no reachable node holds a catalogue; see docs/operators/recovery.md',
				{attemptCount: missingAttemptCount},
			);
		}
	};

	/**
	 * Records that expired before any node had read them were never accepted and can be skipped. Only a node with the
	 * highest offset known in the fleet does so; otherwise two nodes could continue from different states.
	 */
	const skipExpiredRecords = (firstOffset: number): void => {
		logger.error('records expired in the log before any node had read them; submit their edits again', {
			fromOffset: store.appliedOffset() + 1,
			toOffset: firstOffset - 1,
		});
		feed.skipTo(firstOffset);
		recordProgress();
	};

	const handleMissingSnapshot = (peers: PeerRecovery, firstOffset: number): void => {
		missingAttemptCount++;
		if (missingAttemptCount < MISSING_ATTEMPT_LIMIT_COUNT) {
			return;
		}

		if (hasNewestOffset(peers)) {
			skipExpiredRecords(firstOffset);
		} else if (store.appliedOffset() < 0 && peers.highestOffset < 0) {
			reportLoss();
		}
	};

	const outcomeHandlers: Record<LogRecoveryOutcome, (log: LogRecovery, peers: PeerRecovery) => boolean> = {
		[LogRecoveryOutcome.Applied]() {
			recordProgress();
			return false;
		},
		[LogRecoveryOutcome.Failed]: (_log, peers) => hasNewestOffset(peers),
		[LogRecoveryOutcome.Missing](log, peers) {
			handleMissingSnapshot(peers, log.firstOffset!);
			return false;
		},
	};

	return {
		async recoverOnce(signal) {
			const peers = await recovery.recoverFromPeers(signal);
			if (peers.isApplied) {
				recordProgress();
				return hasNewestOffset(peers);
			}

			const log = await recovery.recoverFromLog(signal);
			const isUpToDate = outcomeHandlers[log.outcome](log, peers);
			if (log.outcome !== LogRecoveryOutcome.Applied) {
				await clock.sleep(backOff.nextMs(), signal);
			}

			return isUpToDate;
		},
		recordProgress,
		isLost: () => isLost,
	};
};
