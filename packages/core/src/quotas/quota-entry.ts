import type * as domain from '@bilberrydoor/domain';
import type {PeerReachability} from '../registry/peer-reachability.js';
import * as ports from '../ports/index.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import {createLeasePurse} from './lease-purse.js';
import type {QuotaOptions} from './quota-options.js';
import {createRefusalSpread} from './refusal-spread.js';
import {planShares} from './share-plan.js';
import {partitionOf, type ShareRanking} from './share-ranking.js';
import {createUseEstimate} from './use-estimate.js';
import type {QuotaDecision} from './workspace-quotas.js';

export type QuotaEntryParts = {
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

/** Use of a workspace at this node. */
export type QuotaUse = {
	readonly usePerSecond: number;
	readonly admittedCount: number;
	readonly refusedCount: number;
	/** Leased tokens that are not used. */
	readonly unusedCount: number;
};

/** The part of one workspace's quota that an entry node leases, uses and returns. */
export type QuotaEntry = {
	/** Decides at once if tokens are at hand or known to be unavailable, and otherwise after asking the holders. */
	admit(workspace: domain.FleetWorkspace, signal: AbortSignal): Promise<QuotaDecision>;
	/** Returns the tokens of a workspace that is no longer used. */
	returnUnused(): Promise<void>;
	describe(): QuotaUse;
	/** Whether the entry holds no tokens and has not been used for a while. */
	isDisposable(): boolean;
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

/** Time of use for which tokens are leased ahead, and the remaining time of use at which more are leased, in ms. */
const LEASE_AHEAD_MS = 800;
const LOW_BALANCE_MS = 400;

/** Time without calls after which unused tokens are returned, in ms. */
const IDLE_MS = 400;

/**
 * Time without calls after which the state of a workspace is removed, in ms. Sequence numbers then start anew, so it is longer than
 * holders remember them, which is a lease time.
 */
const DISPOSAL_MS = 3000;

/** Distinguishes the tokens that calls wait for from those of the same holder that are leased ahead. */
const IMMEDIATE_MARK = '!';

/** Time limit for a reply, and the time for which a holder that does not reply is not asked, in ms. */
const LEASE_TIMEOUT_MS = 90;
const SILENT_PAUSE_MS = 2000;

/** Shortest and longest time for which no holder is asked after none had a token, in ms. It doubles each time. */
const SHORTEST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 1000;

/**
 * Holders of other regions that are asked first for the token of a single call. All others are asked after them. Tokens beyond
 * the first one lapse.
 */
const REMOTE_HOLDER_COUNT = 2;

const MS_PER_SECOND = 1000;

/** Time after which a holder that leased only part of the tokens ahead of need has several again, in ms. */
const AHEAD_PAUSE_MS = 250;

type ExchangeOptions = {readonly wantedCount: number; readonly isReturn?: boolean; readonly isImmediate?: boolean};

const ADMITTED: QuotaDecision = {isAdmitted: true};

export const createQuotaEntry = (parts: QuotaEntryParts): QuotaEntry => {
	const {self, ranking, clock, random, readOptions, peerReachability} = parts;
	const purse = createLeasePurse();
	const use = createUseEstimate();
	const admitted = createUseEstimate();
	const refusals = createRefusalSpread();
	const holders = new Map<string, HolderState>();
	/** Holders whose tokens were leased ahead and are used up, which these do not know yet. */
	const spentHolderIds = new Set<string>();
	let name = '';
	let lastCallAtMs = clock.monotonicMs();
	let admittedCount = 0;
	let refusedCount = 0;
	let waitingCount = 0;
	let pendingCount = 0;
	let pausedUntilMs = 0;
	let pauseMs = SHORTEST_PAUSE_MS;
	let search: Promise<void> | undefined;

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

	const missingCount = (): number => Math.max(0, waitingCount - purse.balance(clock.monotonicMs()));

	/** Holders of the workspace's shares that may have tokens, in an order that differs between calls and nodes. */
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
			return parts.leaseLocally(message);
		}

		// Other calls may need the tokens too, so the end of one call does not end the request.
		const {signal} = new AbortController();
		const timed = await runWithTimeout({clock, timeoutMs: LEASE_TIMEOUT_MS, signal}, async leaseSignal =>
			parts.peerClient.request(holder.address, ports.FleetMessageKind.LeaseQuota, message, {signal: leaseSignal}),
		);
		const reply = timed.isTimedOut || timed.value.isErr() ? undefined : timed.value.value;
		parts.metrics.increment(ports.CounterName.QuotaLeases, {result: reply ? 'answered' : 'failed'});
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

	/** Exchanges tokens with a holder: reports or returns the unused ones and leases more. */
	const exchange = async (
		holder: domain.RegisteredNode,
		{wantedCount, isReturn = false, isImmediate = false}: ExchangeOptions,
	): Promise<void> => {
		const {nodeId} = holder;
		const state = readHolder(nodeId);
		const sentAtMs = clock.monotonicMs();
		const returnedCount = isReturn ? purse.removeAll(nodeId, sentAtMs) : 0;
		const message = {
			workspace: name,
			nodeId: self.nodeId,
			incarnationId: self.incarnationId,
			sequence: state.sequence++,
			wantedCount,
			isImmediate,
			unusedCount: isImmediate ? 0 : purse.countOf(nodeId, sentAtMs),
			returnedCount,
		};
		state.isAsked = true;
		pendingCount += wantedCount;
		const reply = await request(holder, message);
		pendingCount -= wantedCount;
		state.isAsked = false;
		const nowMs = clock.monotonicMs();
		if (!reply) {
			state.pausedUntilMs = nowMs + SILENT_PAUSE_MS;
			return;
		}

		if (reply.isRenewed) {
			const key = isImmediate ? `${nodeId}${IMMEDIATE_MARK}` : nodeId;
			purse.add(key, reply.grantedCount, sentAtMs + reply.leaseMs, nowMs);
		}

		spentHolderIds.delete(nodeId);
		if (reply.grantedCount < wantedCount) {
			pauseHolder(state, reply, isImmediate);
		} else if (isImmediate) {
			state.pauseMs = 0;
		}
	};

	const wantedCountNow = (): number => {
		const nowMs = clock.monotonicMs();
		const aheadCount = Math.floor((use.ratePerSecond(nowMs) * LEASE_AHEAD_MS) / MS_PER_SECOND);
		return Math.max(0, aheadCount - purse.balance(nowMs) - pendingCount);
	};

	const isUsableAhead = ({isAsked, aheadPausedUntilMs}: HolderState): boolean =>
		!isAsked && aheadPausedUntilMs <= clock.monotonicMs();

	/** Leases tokens ahead of need from one holder, while the calls use those at hand. */
	const leaseAhead = (workspace: domain.FleetWorkspace): void => {
		const nowMs = clock.monotonicMs();
		const lowCount = (use.ratePerSecond(nowMs) * LOW_BALANCE_MS) / MS_PER_SECOND;
		const wantedCount =
			purse.balance(nowMs) + pendingCount < lowCount && pauseMs === SHORTEST_PAUSE_MS ? wantedCountNow() : 0;
		const usable = wantedCount > 0 ? listUsable(workspace).filter(({nodeId}) => isUsableAhead(readHolder(nodeId))) : [];
		// Until a holder knows that its tokens are used, it replaces only part of them.
		const holder = usable.find(({nodeId}) => spentHolderIds.has(nodeId)) ?? usable[0];
		if (holder) {
			void exchange(holder, {wantedCount});
		}
	};

	/** Time until the first holder may have a token again, in ms. */
	const nextTokenMs = (): number => {
		const nowMs = clock.monotonicMs();
		const waitsMs = [...holders.values()]
			.map(({pausedUntilMs: untilMs}) => untilMs - nowMs)
			.filter(waitMs => waitMs > 0);
		return waitsMs.length > 0 ? Math.min(...waitsMs) : SHORTEST_PAUSE_MS;
	};

	/** Asks one holder of this region or, when none of them has tokens, several others at once. */
	const askNext = async (usable: readonly domain.RegisteredNode[], remoteLimitCount: number): Promise<void> => {
		const near = usable.find(({region}) => region === self.region);
		const holders = near ? [near] : usable.slice(0, Math.max(missingCount(), remoteLimitCount));
		const totalCount = missingCount();
		const evenCount = Math.floor(totalCount / holders.length);
		await Promise.all(
			holders.map(async (holder, index) => {
				const wantedCount = Math.max(1, evenCount + (index < totalCount % holders.length ? 1 : 0));
				await exchange(holder, {wantedCount, isImmediate: true});
			}),
		);
	};

	/** Asks holders until the waiting calls have tokens, no holder has any, or the time is over. */
	const searchTokens = async (workspace: domain.FleetWorkspace): Promise<void> => {
		const endsAtMs = clock.monotonicMs() + readOptions().waitLimitMs;
		let usable = listUsable(workspace);
		let remoteLimitCount = REMOTE_HOLDER_COUNT;
		while (missingCount() > 0 && usable.length > 0 && clock.monotonicMs() < endsAtMs) {
			const isRemote = usable.every(({region}) => region !== self.region);
			await askNext(usable, remoteLimitCount);
			remoteLimitCount = isRemote ? Number.POSITIVE_INFINITY : remoteLimitCount;
			usable = listUsable(workspace);
		}

		if (missingCount() === 0) {
			pauseMs = Math.max(SHORTEST_PAUSE_MS, pauseMs / 2);
		} else if (usable.length === 0) {
			pausedUntilMs = clock.monotonicMs() + Math.max(pauseMs, nextTokenMs()) * (0.5 + random.fraction() / 2);
			pauseMs = Math.min(pauseMs * 2, LONGEST_PAUSE_MS);
		}
	};

	const refuse = (workspace: domain.FleetWorkspace): QuotaDecision => {
		const nowMs = clock.monotonicMs();
		refusedCount++;
		return {
			isAdmitted: false,
			retryAfterMs: refusals.nextMs({
				nowMs,
				nextTokenMs: Math.max(nextTokenMs(), pausedUntilMs - nowMs),
				ratePerSecond: Math.max(
					admitted.ratePerSecond(nowMs),
					workspace.ratePerSecond / Math.max(1, ranking.countNodes()),
				),
				fraction: random.fraction(),
			}),
		};
	};

	const take = (workspace: domain.FleetWorkspace): boolean => {
		const nowMs = clock.monotonicMs();
		const holderId = purse.take(nowMs);
		if (holderId === undefined) {
			return false;
		}

		if (purse.countOf(holderId, nowMs) === 0) {
			spentHolderIds.add(holderId);
		}

		admitted.record(nowMs);

		admittedCount++;
		leaseAhead(workspace);
		return true;
	};

	const waitForSearch = async (workspace: domain.FleetWorkspace): Promise<void> => {
		const run = async (): Promise<void> => {
			await searchTokens(workspace);
			search = undefined;
		};

		waitingCount++;
		search ??= run();
		await search;
		waitingCount--;
	};

	return {
		async admit(workspace, signal) {
			const nowMs = clock.monotonicMs();
			name = workspace.name;
			lastCallAtMs = nowMs;
			use.record(nowMs);
			const endsAtMs = nowMs + readOptions().waitLimitMs;
			// Calls that arrived during a search for other calls' tokens may need another one.
			while (!signal.aborted) {
				if (take(workspace)) {
					return ADMITTED;
				}

				if (clock.monotonicMs() < pausedUntilMs || clock.monotonicMs() >= endsAtMs) {
					break;
				}

				await waitForSearch(workspace);
			}

			return refuse(workspace);
		},
		async returnUnused() {
			const nowMs = clock.monotonicMs();
			if (nowMs - lastCallAtMs < IDLE_MS) {
				return;
			}

			const idle = purse
				.listHolders(nowMs)
				.filter(holderId => !readHolder(holderId).isAsked)
				.flatMap(holderId => ranking.node(holderId) ?? []);
			await Promise.all(idle.map(async holder => exchange(holder, {wantedCount: 0, isReturn: true})));
		},
		describe() {
			const nowMs = clock.monotonicMs();
			return {
				usePerSecond: use.ratePerSecond(nowMs),
				admittedCount,
				refusedCount,
				unusedCount: purse.balance(nowMs),
			};
		},
		isDisposable: () =>
			clock.monotonicMs() - lastCallAtMs > DISPOSAL_MS &&
			purse.balance(clock.monotonicMs()) === 0 &&
			pendingCount === 0,
	};
};
