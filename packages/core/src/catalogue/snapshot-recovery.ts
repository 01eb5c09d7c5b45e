import * as domain from '@bilberrydoor/domain';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import {rankByRendezvous} from '../routing/rendezvous-ranking.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import type {CatalogueFeed} from './catalogue-feed.js';
import type {CatalogueStore} from './catalogue-store.js';
import type {LogTail} from './log-tail.js';
import {createSnapshotCollector, joinSnapshotParts} from './snapshot-parts.js';

export type SnapshotRecoveryOptions = {
	/** Peers asked for their applied offset. Several are asked because a single one may be stale. */
	readonly peerCount: number;
	/** Longest wait for one reply, in ms. A snapshot part takes about 70 ms on a link of 30 Mbit/s. */
	readonly timeoutMs: number;
	/** Most records in one read of the log. Validating a snapshot part takes about 40 ms and blocks calls meanwhile. */
	readonly readLimitCount: number;
};

export const DEFAULT_SNAPSHOT_RECOVERY_OPTIONS: SnapshotRecoveryOptions = {
	peerCount: 6,
	timeoutMs: 3000,
	readLimitCount: 4,
};

/** Result of a recovery from peers. */
export type PeerRecovery = {
	/** Whether a newer snapshot was applied. */
	readonly isApplied: boolean;
	/** Highest applied offset that a peer reported; -1 when no peer has a catalogue or none replied. */
	readonly highestOffset: number;
};

export enum LogRecoveryOutcome {
	/** A snapshot was applied, or the log still holds the record after the applied offset. */
	Applied = 'applied',
	/** The log was read to its end. It holds neither a usable snapshot nor the record after the applied offset. */
	Missing = 'missing',
	Failed = 'failed',
}

export type LogRecovery = {
	readonly outcome: LogRecoveryOutcome;
	/** Oldest offset that the log still holds; present with `Missing`. */
	readonly firstOffset?: number;
};

/** Closes a gap between the applied offset and the available records by applying a snapshot. */
export type SnapshotRecovery = {
	/** Applies the newest snapshot among several peers, if its digest is right. */
	recoverFromPeers(signal: AbortSignal): Promise<PeerRecovery>;
	/** Applies the first complete snapshot in the log after which no record is missing. */
	recoverFromLog(signal: AbortSignal): Promise<LogRecovery>;
};

type PeerOffset = {readonly node: domain.NodeDescription; readonly appliedOffset: number};

/** Asks several peers for their applied offset, and pulls snapshots part by part, highest offset first. */
const createPeerRecovery = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	feed: CatalogueFeed;
	directory: MemberDirectory;
	options: SnapshotRecoveryOptions;
}): SnapshotRecovery['recoverFromPeers'] => {
	const {store, feed, directory, options} = dependencies;
	const {clock, peerClient, logger} = dependencies.ports;

	const requestFromPeer = async <Kind extends ports.PeerMessageKind>(
		node: domain.NodeDescription,
		kind: Kind,
		request: ports.PeerMessages[Kind]['request'],
		signal: AbortSignal,
	): Promise<ports.PeerMessages[Kind]['reply'] | undefined> => {
		const reply = await runWithTimeout({clock, timeoutMs: options.timeoutMs, signal}, async requestSignal =>
			peerClient.request(node.address, kind, request, requestSignal),
		);
		return reply.isTimedOut || reply.value.isErr() ? undefined : reply.value.value;
	};

	/**
	 * Chooses peers by a hash with this node's incarnation id, which spreads the load. Two are in other regions, in case
	 * the own region is stale.
	 */
	const choosePeers = (): domain.NodeDescription[] => {
		const others = directory.listLiveNodes().filter(node => node.address !== directory.self.address);
		const sameRegion = others.filter(node => node.region === directory.self.region);
		const otherRegions = others.filter(node => node.region !== directory.self.region);
		const key = directory.self.incarnationId;
		const chosenOtherRegions = rankByRendezvous(key, otherRegions, 2);
		return [...rankByRendezvous(key, sameRegion, options.peerCount - chosenOtherRegions.length), ...chosenOtherRegions];
	};

	const pullSnapshot = async (
		node: domain.NodeDescription,
		signal: AbortSignal,
	): Promise<domain.CatalogueSnapshot | undefined> => {
		const firstReply = await requestFromPeer(node, ports.PeerMessageKind.PullSnapshot, {partIndex: 0}, signal);
		if (!firstReply?.part) {
			return undefined;
		}

		const {offset, digest, partCount} = firstReply.part;
		const parts = [firstReply.part];
		while (parts.length < partCount) {
			const request = {partIndex: parts.length, snapshot: {offset, digest}};
			const nextReply = await requestFromPeer(node, ports.PeerMessageKind.PullSnapshot, request, signal);
			if (!nextReply?.part) {
				return undefined;
			}

			nextReply.part.items.forEach(store.measureItem);
			parts.push(nextReply.part);
		}

		return joinSnapshotParts(parts);
	};

	const requestOffset = async (node: domain.NodeDescription, signal: AbortSignal): Promise<PeerOffset> => {
		const request = {fromOffset: store.appliedOffset() + 1, limitCount: 0, waitMs: 0};
		const reply = await requestFromPeer(node, ports.PeerMessageKind.PullRecords, request, signal);
		return {node, appliedOffset: reply?.appliedOffset ?? -1};
	};

	return async signal => {
		const offsets = await Promise.all(choosePeers().map(async node => requestOffset(node, signal)));
		const newerPeers = offsets
			.filter(({appliedOffset}) => appliedOffset > store.appliedOffset())
			.toSorted((left, right) => right.appliedOffset - left.appliedOffset);
		const highestOffset = Math.max(-1, ...offsets.map(({appliedOffset}) => appliedOffset));
		for (const {node} of newerPeers) {
			const snapshot = await pullSnapshot(node, signal);
			if (snapshot && feed.applySnapshot(snapshot)) {
				logger.info('catalogue restored from a peer', {peer: node.address, offset: snapshot.offset});
				return {isApplied: true, highestOffset};
			}

			logger.warn('no valid snapshot from a peer', {peer: node.address, isComplete: snapshot !== undefined});
		}

		return {isApplied: false, highestOffset};
	};
};

/** Scans the log from its oldest record for a complete snapshot after which no record is missing. */
const createLogRecovery = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	feed: CatalogueFeed;
	tail: LogTail;
	options: SnapshotRecoveryOptions;
}): SnapshotRecovery['recoverFromLog'] => {
	const {store, feed, tail, options} = dependencies;
	const {logService, logger} = dependencies.ports;

	const findFirstOffset = async (signal: AbortSignal): Promise<number | undefined> => {
		const reply = await logService.read({fromOffset: 0, limitCount: 1, waitMs: 0}, signal);
		return reply.isOk() ? reply.value.firstOffset : reply.error.firstOffset;
	};

	const createScan = (firstOffset: number) => {
		const collector = createSnapshotCollector();
		let edits: domain.LoggedRecord[] = [];

		const applyWhenComplete = (loggedPart: {offset: number; part: domain.SnapshotPart}): boolean => {
			loggedPart.part.items.forEach(store.measureItem);
			const loggedSnapshot = collector.add(loggedPart);
			const isContinuedByLog = loggedSnapshot !== undefined && loggedSnapshot.snapshot.offset + 1 >= firstOffset;
			if (!isContinuedByLog || !feed.applySnapshot(loggedSnapshot.snapshot)) {
				return false;
			}

			tail.recordSnapshot({offset: loggedSnapshot.snapshot.offset, firstPartOffset: loggedSnapshot.firstPartOffset});
			logger.info('catalogue restored from a snapshot in the log', {offset: loggedSnapshot.snapshot.offset});
			const laterEdits = edits.filter(edit => edit.offset > loggedSnapshot.snapshot.offset);
			edits = [];
			feed.applyBatch({records: laterEdits, nextOffset: loggedPart.offset + 1});
			return true;
		};

		return (logged: domain.LoggedRecord): boolean => {
			if (logged.record.kind === domain.CatalogueRecordKind.Snapshot) {
				return applyWhenComplete({offset: logged.offset, part: logged.record.part});
			}

			edits.push(logged);
			return false;
		};
	};

	return async signal => {
		const firstOffset = await findFirstOffset(signal);
		if (firstOffset === undefined) {
			return {outcome: LogRecoveryOutcome.Failed};
		}

		const scan = createScan(firstOffset);
		let fromOffset = firstOffset;
		for (;;) {
			const reply = await logService.read({fromOffset, limitCount: options.readLimitCount, waitMs: 0}, signal);
			if (reply.isErr() || signal.aborted) {
				return {outcome: LogRecoveryOutcome.Failed};
			}

			if (reply.value.records.some(scan)) {
				return {outcome: LogRecoveryOutcome.Applied};
			}

			fromOffset = reply.value.nextOffset;
			if (fromOffset >= reply.value.endOffset) {
				const isCovered = store.appliedOffset() + 1 >= firstOffset;
				return {outcome: isCovered ? LogRecoveryOutcome.Applied : LogRecoveryOutcome.Missing, firstOffset};
			}
		}
	};
};

export const createSnapshotRecovery = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	feed: CatalogueFeed;
	tail: LogTail;
	directory: MemberDirectory;
	options?: Partial<SnapshotRecoveryOptions>;
}): SnapshotRecovery => {
	const options = {...DEFAULT_SNAPSHOT_RECOVERY_OPTIONS, ...dependencies.options};
	return {
		recoverFromPeers: createPeerRecovery({...dependencies, options}),
		recoverFromLog: createLogRecovery({...dependencies, options}),
	};
};
