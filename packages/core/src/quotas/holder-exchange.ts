import type * as domain from '@bilberrydoor/domain';
import type {PeerReachability} from '../registry/peer-reachability.js';
import * as ports from '../ports/index.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import type {LeasedTokens} from './leased-tokens.js';
import type {QuotaOptions} from './quota-options.js';
import {planShares} from './share-plan.js';
import {partitionOf, type ShareRanking} from './share-ranking.js';

export type HolderExchangeParts = {
	readonly self: domain.RegisteredNode;
	readonly ranking: ShareRanking;
	readonly readOptions: () => QuotaOptions;
	/** Leases from the holder on this node. */
	readonly leaseLocally: (request: ports.LeaseQuotaRequest) => Promise<ports.LeaseQuotaReply>;
	readonly peerClient: ports.FleetPeerClient;
	readonly peerReachability: Pick<PeerReachability, 'isUsable'>;
	readonly clock: ports.Clock;
	readonly random: ports.Random;
	readonly metrics: ports.Metrics;
};

export type ExchangeOptions = {
	readonly wantedCount: number;
	/** Whether all tokens of the holder are given up. */
	readonly isReturn?: boolean;
	/** Whether calls wait for the tokens. */
	readonly isImmediate?: boolean;
};

/** Exchanges tokens of one workspace with the holders of its shares. */
export type HolderExchange = {
	/** Holders that may have tokens for waiting calls, in an order that differs between calls and nodes. */
	listUsable(workspace: domain.FleetWorkspace): readonly domain.RegisteredNode[];
	/** The holder from which tokens may be leased ahead of need now. */
	findAhead(workspace: domain.FleetWorkspace): domain.RegisteredNode | undefined;
	/** Reports or returns the unused tokens of a holder, and adds those that it leases to the leased ones. */
	exchange(holder: domain.RegisteredNode, options: ExchangeOptions): Promise<void>;
	/** Records that a token was used. */
	noteUse(holderId: string): void;
	/** Tokens that were asked for and are not answered. */
	pendingCount(): number;
	/** Whether a request ahead of need, or a return, may be sent to the holder now. */
	isFree(holderId: string): boolean;
	/** Time until the first holder may have a token again, in ms. */
	nextTokenMs(): number;
};

/** What this node knows of a holder. */
type HolderState = {
	isAsked: boolean;
	sequence: number;
	/** Until when it is not asked for tokens that calls wait for, and for tokens ahead of need, in ms. */
	pausedUntilMs: number;
	aheadPausedUntilMs: number;
	/** Length of the last pause, in ms. */
	pauseMs: number;
};

/** Distinguishes the tokens that calls wait for from those of the same holder that are leased ahead. */
const IMMEDIATE_MARK = '!';

/** Time limit for a reply, and the time for which a holder that does not reply is not asked, in ms. */
const LEASE_TIMEOUT_MS = 90;
const SILENT_PAUSE_MS = 2000;

/** Shortest and longest time for which holders without tokens are not asked, in ms. It doubles each time. */
export const SHORTEST_PAUSE_MS = 50;
export const LONGEST_PAUSE_MS = 1000;

/** Time after which a holder that leased only part of the tokens ahead of need has several again, in ms. */
const AHEAD_PAUSE_MS = 250;

export const createHolderExchange = (
	options: HolderExchangeParts & {readonly workspace: string; readonly leasedTokens: LeasedTokens},
): HolderExchange => {
	const {self, ranking, clock, random, readOptions, peerReachability, leasedTokens} = options;
	const holders = new Map<string, HolderState>();
	/** Holders whose tokens were leased ahead and are used up, which these do not know yet. */
	const spentHolderIds = new Set<string>();
	let pendingCount = 0;

	const readHolder = (holderId: string): HolderState => {
		const state = holders.get(holderId) ?? {
			isAsked: false,
			sequence: 0,
			pausedUntilMs: 0,
			aheadPausedUntilMs: 0,
			pauseMs: 0,
		};
		holders.set(holderId, state);
		return state;
	};

	const listUsable = (workspace: domain.FleetWorkspace): readonly domain.RegisteredNode[] => {
		const partition = partitionOf(workspace.name);
		const {shareCount} = planShares(workspace, readOptions());
		const offset = Math.floor(random.fraction() * shareCount);
		const nodes = Array.from(
			{length: shareCount},
			(_, index) => ranking.rank({partition, share: (index + offset) % shareCount}).first,
		).filter(node => node !== undefined);
		const nowMs = clock.monotonicMs();
		return [...new Map(nodes.map(node => [node.nodeId, node])).values()].filter(
			({nodeId, address}) =>
				readHolder(nodeId).pausedUntilMs <= nowMs && (nodeId === self.nodeId || peerReachability.isUsable(address)),
		);
	};

	const request = async (
		holder: domain.RegisteredNode,
		message: ports.LeaseQuotaRequest,
	): Promise<ports.LeaseQuotaReply | undefined> => {
		if (holder.nodeId === self.nodeId) {
			return options.leaseLocally(message);
		}

		// Other calls may need the tokens too, so the end of one call does not end the request.
		const {signal} = new AbortController();
		const timed = await runWithTimeout({clock, timeoutMs: LEASE_TIMEOUT_MS, signal}, async leaseSignal =>
			options.peerClient.request(holder.address, ports.FleetMessageKind.LeaseQuota, message, {signal: leaseSignal}),
		);
		const reply = timed.isTimedOut || timed.value.isErr() ? undefined : timed.value.value;
		options.metrics.increment(ports.CounterName.QuotaLeases, {result: reply ? 'answered' : 'failed'});
		return reply;
	};

	/** Stops asking a holder that has too few tokens for a while, which doubles while it has none at all. */
	const pauseHolder = (state: HolderState, reply: ports.LeaseQuotaReply, isImmediate: boolean): void => {
		const nowMs = clock.monotonicMs();
		if (!isImmediate) {
			state.aheadPausedUntilMs = nowMs + (reply.grantedCount > 0 ? AHEAD_PAUSE_MS : LONGEST_PAUSE_MS);
			return;
		}

		state.pauseMs = Math.max(SHORTEST_PAUSE_MS, reply.grantedCount > 0 ? 0 : state.pauseMs * 2);
		state.pausedUntilMs = nowMs + Math.min(LONGEST_PAUSE_MS, Math.max(state.pauseMs, reply.nextTokenMs));
	};

	const exchange = async (
		holder: domain.RegisteredNode,
		{wantedCount, isReturn = false, isImmediate = false}: ExchangeOptions,
	): Promise<void> => {
		const {nodeId} = holder;
		const state = readHolder(nodeId);
		const sentAtMs = clock.monotonicMs();
		const returnedCount = isReturn ? leasedTokens.removeAll(nodeId, sentAtMs) : 0;
		const message = {
			workspace: options.workspace,
			nodeId: self.nodeId,
			incarnationId: self.incarnationId,
			sequence: state.sequence++,
			wantedCount,
			isImmediate,
			unusedCount: isImmediate ? 0 : leasedTokens.countOf(nodeId, sentAtMs),
			returnedCount,
		};
		// Two requests ahead of need at the same time would each report without the tokens of the other.
		state.isAsked ||= !isImmediate;
		pendingCount += wantedCount;
		const reply = await request(holder, message);
		pendingCount -= wantedCount;
		state.isAsked &&= isImmediate;
		const nowMs = clock.monotonicMs();
		if (!reply) {
			state.pausedUntilMs = nowMs + SILENT_PAUSE_MS;
			return;
		}

		if (reply.isRenewed) {
			const key = isImmediate ? `${nodeId}${IMMEDIATE_MARK}` : nodeId;
			leasedTokens.add(key, reply.grantedCount, sentAtMs + reply.leaseMs, nowMs);
		}

		if (!isImmediate) {
			spentHolderIds.delete(nodeId);
		}

		if (reply.grantedCount < wantedCount) {
			pauseHolder(state, reply, isImmediate);
		} else if (isImmediate) {
			state.pauseMs = 0;
		}
	};

	const isUsableAhead = ({isAsked, aheadPausedUntilMs}: HolderState): boolean =>
		!isAsked && aheadPausedUntilMs <= clock.monotonicMs();

	return {
		listUsable,
		findAhead(workspace) {
			const usable = listUsable(workspace).filter(({nodeId}) => isUsableAhead(readHolder(nodeId)));
			// Until a holder knows that its tokens are used, it replaces only part of them.
			return usable.find(({nodeId}) => spentHolderIds.has(nodeId)) ?? usable[0];
		},
		exchange,
		noteUse(holderId) {
			if (holders.has(holderId) && leasedTokens.countOf(holderId, clock.monotonicMs()) === 0) {
				spentHolderIds.add(holderId);
			}
		},
		pendingCount: () => pendingCount,
		isFree: holderId => !readHolder(holderId).isAsked,
		nextTokenMs() {
			const nowMs = clock.monotonicMs();
			const waitsMs = [...holders.values()]
				.map(({pausedUntilMs}) => pausedUntilMs - nowMs)
				.filter(waitMs => waitMs > 0);
			return waitsMs.length > 0 ? Math.min(...waitsMs) : SHORTEST_PAUSE_MS;
		},
	};
};
