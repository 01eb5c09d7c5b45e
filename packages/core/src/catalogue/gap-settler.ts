import type {MemberDirectory} from '../membership/member-directory.js';
import type * as ports from '../ports/index.js';
import {createBackOff} from '../shared/back-off.js';
import type {CatalogueFeed} from './catalogue-feed.js';
import type {CatalogueStore} from './catalogue-store.js';
import {type LogRecovery, LogRecoveryOutcome, type PeerRecovery, type SnapshotRecovery} from './snapshot-recovery.js';

/** Decides what to do when the next record is not to be had. */
export type GapSettler = {
	/** Tries once. True when this node has all that the fleet is known to have. */
	settle(signal: AbortSignal): Promise<boolean>;
	/** Ends the count of attempts, because a source went on. */
	noteProgress(): void;
	/** Whether neither the log nor any reachable node holds the catalogue. */
	isLost(): boolean;
};

/** Attempts that fail alike before the catalogue counts as lost or records as expired unread, about 10 s. */
const GIVE_UP_ATTEMPT_COUNT = 5;
const FIRST_PAUSE_MS = 500;
const PAUSE_LIMIT_MS = 3000;
/** Attempts between repetitions of the error log line. */
const REPEAT_LOG_ATTEMPT_COUNT = 20;

export const createGapSettler = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	feed: CatalogueFeed;
	directory: MemberDirectory;
	recovery: SnapshotRecovery;
}): GapSettler => {
	const {store, feed, directory, recovery} = dependencies;
	const {clock, logger, random} = dependencies.ports;
	const backOff = createBackOff({random, firstMs: FIRST_PAUSE_MS, limitMs: PAUSE_LIMIT_MS});
	let missingCount = 0;
	let isLost = false;

	const noteProgress = (): void => {
		missingCount = 0;
		isLost = false;
		backOff.reset();
	};

	const holdsNewest = (peers: PeerRecovery): boolean =>
		store.appliedOffset() >= Math.max(0, peers.highestOffset, directory.highestKnownOffset());

	const reportLoss = (): void => {
		isLost = true;
		if (missingCount % REPEAT_LOG_ATTEMPT_COUNT === GIVE_UP_ATTEMPT_COUNT) {
			logger.error(
				'the catalogue is lost: the log holds no snapshot and no reachable node holds a catalogue; see docs/operators/recovery.md',
				{attemptCount: missingCount},
			);
		}
	};

	/**
	 * Records that expired before any node had read them were never accepted. The fleet goes on without them, but only
	 * on a node that has all that any node is known to have, so that two nodes do not go on from different states.
	 */
	const skipExpired = (firstOffset: number): void => {
		logger.error('records expired in the log before any node had read them; their edits are to be repeated', {
			fromOffset: store.appliedOffset() + 1,
			toOffset: firstOffset - 1,
		});
		feed.skipTo(firstOffset);
		noteProgress();
	};

	const handleMissing = (peers: PeerRecovery, firstOffset: number): void => {
		missingCount++;
		if (missingCount < GIVE_UP_ATTEMPT_COUNT) {
			return;
		}

		if (holdsNewest(peers)) {
			skipExpired(firstOffset);
		} else if (store.appliedOffset() < 0 && peers.highestOffset < 0) {
			reportLoss();
		}
	};

	const logHandlers: Record<LogRecoveryOutcome, (log: LogRecovery, peers: PeerRecovery) => boolean> = {
		[LogRecoveryOutcome.Applied]() {
			noteProgress();
			return false;
		},
		[LogRecoveryOutcome.Failed]: (_log, peers) => holdsNewest(peers),
		[LogRecoveryOutcome.Missing](log, peers) {
			handleMissing(peers, log.firstOffset!);
			return false;
		},
	};

	return {
		async settle(signal) {
			const peers = await recovery.recoverFromPeers(signal);
			if (peers.isApplied) {
				noteProgress();
				return holdsNewest(peers);
			}

			const log = await recovery.recoverFromLog(signal);
			const isSettled = logHandlers[log.outcome](log, peers);
			if (log.outcome !== LogRecoveryOutcome.Applied) {
				await clock.sleep(backOff.nextMs(), signal);
			}

			return isSettled;
		},
		noteProgress,
		isLost: () => isLost,
	};
};
