import type * as domain from '@bilberrydoor/domain';
import {
	createHolderExchange,
	LONGEST_PAUSE_MS,
	SHORTEST_PAUSE_MS,
	type HolderExchangeParts,
} from './holder-exchange.js';
import {createLeasedTokens} from './leased-tokens.js';
import {createRefusalSpread} from './refusal-spread.js';
import {createUseEstimate} from './use-estimate.js';
import type {QuotaDecision} from './workspace-quotas.js';

export type QuotaEntryParts = HolderExchangeParts;

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

/**
 * Holders of other regions that are asked first for the token of a single call. All others are asked after them. Tokens beyond
 * the first one lapse.
 */
const REMOTE_HOLDER_COUNT = 2;

const MS_PER_SECOND = 1000;

const ADMITTED: QuotaDecision = {isAdmitted: true};

export const createQuotaEntry = (parts: QuotaEntryParts & {readonly workspace: string}): QuotaEntry => {
	const {self, ranking, clock, random, readOptions} = parts;
	const leasedTokens = createLeasedTokens();
	const {listUsable, findAhead, exchange, noteUse, pendingCount, isFree, nextTokenMs} = createHolderExchange({
		...parts,
		leasedTokens,
	});
	const use = createUseEstimate();
	const admitted = createUseEstimate();
	const refusals = createRefusalSpread();
	let lastCallAtMs = clock.monotonicMs();
	let admittedCount = 0;
	let refusedCount = 0;
	let waitingCount = 0;
	let pausedUntilMs = 0;
	let pauseMs = SHORTEST_PAUSE_MS;
	let search: Promise<void> | undefined;

	const missingCount = (): number => Math.max(0, waitingCount - leasedTokens.balance(clock.monotonicMs()));

	const wantedCountNow = (): number => {
		const nowMs = clock.monotonicMs();
		const aheadCount = Math.floor((use.ratePerSecond(nowMs) * LEASE_AHEAD_MS) / MS_PER_SECOND);
		return Math.max(0, aheadCount - leasedTokens.balance(nowMs) - pendingCount());
	};

	/** Leases tokens ahead of need from one holder, while the calls use those at hand. */
	const leaseAhead = (workspace: domain.FleetWorkspace): void => {
		const nowMs = clock.monotonicMs();
		const lowCount = (use.ratePerSecond(nowMs) * LOW_BALANCE_MS) / MS_PER_SECOND;
		const wantedCount =
			leasedTokens.balance(nowMs) + pendingCount() < lowCount && pauseMs === SHORTEST_PAUSE_MS ? wantedCountNow() : 0;
		const holder = wantedCount > 0 ? findAhead(workspace) : undefined;
		if (holder) {
			void exchange(holder, {wantedCount});
		}
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
		const holderId = leasedTokens.take(nowMs);
		if (holderId === undefined) {
			return false;
		}

		noteUse(holderId);
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

			const idle = leasedTokens
				.listHolders(nowMs)
				.filter(holderId => isFree(holderId))
				.flatMap(holderId => ranking.node(holderId) ?? []);
			await Promise.all(idle.map(async holder => exchange(holder, {wantedCount: 0, isReturn: true})));
		},
		describe() {
			const nowMs = clock.monotonicMs();
			return {
				usePerSecond: use.ratePerSecond(nowMs),
				admittedCount,
				refusedCount,
				unusedCount: leasedTokens.balance(nowMs),
			};
		},
		isDisposable: () =>
			clock.monotonicMs() - lastCallAtMs > DISPOSAL_MS &&
			leasedTokens.balance(clock.monotonicMs()) === 0 &&
			pendingCount() === 0,
	};
};
