import type {QuotaOptions} from './quota-options.js';
import type {SharePlan} from './share-plan.js';

/** An entry node's request for tokens of a workspace. */
export type LeaseDemand = {
	/** Identifies a run of the entry node. */
	readonly entryId: string;
	/** Rises with each request of the entry node; a request that arrives after a later one has no effect. */
	readonly sequence: number;
	readonly wantedCount: number;
	/** Whether the tokens are used at once or not at all. Such a demand changes nothing for the entry node's other tokens. */
	readonly isImmediate: boolean;
	/** Tokens of this account that the entry node holds unused, without the returned ones. */
	readonly unusedCount: number;
	/** Tokens of this account that the entry node gives up unused. */
	readonly returnedCount: number;
};

export type LeaseGrant = {
	readonly grantedCount: number;
	/** Whether the unused tokens are valid for another lease time. */
	readonly isRenewed: boolean;
	/** Time until a token is available, in ms. */
	readonly nextTokenMs: number;
};

/** Tokens of one workspace for the shares that this node holds. */
export type ShareAccount = {
	/**
	 * Brings the account up to date.
	 *
	 * @param heldSinceMs when each held share became this node's, by number of the share; may be in the future
	 */
	update(plan: SharePlan, heldSinceMs: ReadonlyMap<number, number>, nowMs: number): void;
	lease(demand: LeaseDemand, nowMs: number): LeaseGrant;
	/** Available tokens, leased tokens and number of held shares. */
	describe(): {readonly availableCount: number; readonly leasedCount: number; readonly shareCount: number};
	/** Whether nothing is leased and the account is as full as a new one would be. */
	isDisposable(): boolean;
};

export type ShareAccountOptions = Pick<QuotaOptions, 'leaseMs' | 'immediateLeaseMs'>;

type Lease = {readonly sequence: number; readonly count: number; readonly expiresAtMs: number};

const MS_PER_SECOND = 1000;

/** Share of the available tokens that one request leases ahead; the rest is left for calls that wait. */
const AHEAD_RATIO = 0.5;

/**
 * The sum of available tokens and of leased tokens that may be unused never exceeds the limit of the held shares. In any time it
 * therefore allows at most that limit and the tokens that become available in it. Used tokens count as unused until the entry
 * node reports them or their lease expires, here never earlier than at the entry node.
 */
export const createShareAccount = ({leaseMs, immediateLeaseMs}: ShareAccountOptions): ShareAccount => {
	const leases = new Map<string, Lease>();
	let immediateLeases: ReadonlyArray<Pick<Lease, 'count' | 'expiresAtMs'>> = [];
	let shares: ReadonlySet<number> = new Set();
	/** When shares were lost that may be held again before they would be full. */
	const lostAtMs = new Map<number, number>();
	let plan: SharePlan = {shareCount: 1, ratePerSecond: 0, limitCount: 0};
	let availableCount = 0;
	let updatedAtMs = 0;

	const leasedCount = (): number => [...leases.values(), ...immediateLeases].reduce((sum, {count}) => sum + count, 0);
	const limitCount = (): number => shares.size * plan.limitCount;

	const add = (count: number): void => {
		availableCount = Math.max(0, Math.min(availableCount + count, limitCount() - leasedCount()));
	};

	const removeExpired = (nowMs: number): void => {
		immediateLeases = immediateLeases.filter(({expiresAtMs}) => expiresAtMs > nowMs);
		[...leases]
			.filter(([, {expiresAtMs}]) => expiresAtMs <= nowMs)
			.forEach(([entryId]) => {
				leases.delete(entryId);
			});
	};

	const nextTokenMs = (): number => {
		const ratePerSecond = shares.size * plan.ratePerSecond;
		return ratePerSecond > 0 ? (Math.max(0, 1 - availableCount) / ratePerSecond) * MS_PER_SECOND : leaseMs;
	};

	const withdraw = (wantedCount: number, withdrawableCount: number): number => {
		const grantedCount = Math.min(Math.floor(withdrawableCount), wantedCount);
		availableCount -= grantedCount;
		return grantedCount;
	};

	const leaseNow = ({wantedCount}: LeaseDemand, nowMs: number): Omit<LeaseGrant, 'nextTokenMs'> => {
		const grantedCount = withdraw(wantedCount, availableCount);
		immediateLeases = [...immediateLeases, {count: grantedCount, expiresAtMs: nowMs + immediateLeaseMs}];
		return {grantedCount, isRenewed: true};
	};

	const leaseAhead = (
		{entryId, sequence, wantedCount, unusedCount, returnedCount}: LeaseDemand,
		nowMs: number,
	): Omit<LeaseGrant, 'nextTokenMs'> => {
		const previous = leases.get(entryId);
		if (sequence <= (previous?.sequence ?? -1)) {
			return {grantedCount: 0, isRenewed: false};
		}

		leases.delete(entryId);
		const isRenewed = leasedCount() + unusedCount <= limitCount();
		const heldCount = isRenewed ? unusedCount : Math.max(unusedCount, previous?.count ?? 0);
		leases.set(entryId, {sequence, count: heldCount, expiresAtMs: nowMs + leaseMs});
		add(Math.min(returnedCount, Math.max(0, (previous?.count ?? 0) - unusedCount)));
		const grantedCount = isRenewed ? withdraw(wantedCount, availableCount * AHEAD_RATIO) : 0;
		leases.set(entryId, {sequence, count: heldCount + grantedCount, expiresAtMs: nowMs + leaseMs});
		return {grantedCount, isRenewed};
	};

	return {
		update(nextPlan, heldSinceMs, nowMs) {
			const earnedPerShare = (sinceMs: number): number =>
				(nextPlan.ratePerSecond * Math.max(0, nowMs - sinceMs)) / MS_PER_SECOND;
			const active = new Map([...heldSinceMs].filter(([, sinceMs]) => sinceMs <= nowMs));
			const keptCount = [...shares].filter(share => active.has(share)).length;
			[...shares]
				.filter(share => !active.has(share))
				.forEach(share => {
					lostAtMs.set(share, nowMs);
				});
			const addedCount = [...active]
				.filter(([share]) => !shares.has(share))
				.map(([share, sinceMs]) => earnedPerShare(Math.max(sinceMs, lostAtMs.get(share) ?? sinceMs)))
				.reduce((sum, earnedCount) => sum + Math.min(nextPlan.limitCount, earnedCount), 0);
			[...lostAtMs]
				.filter(([share, atMs]) => active.has(share) || earnedPerShare(atMs) >= nextPlan.limitCount)
				.forEach(([share]) => {
					lostAtMs.delete(share);
				});
			availableCount *= shares.size === 0 ? 0 : keptCount / shares.size;
			removeExpired(nowMs);
			shares = new Set(active.keys());
			plan = nextPlan;
			add(keptCount * earnedPerShare(updatedAtMs) + addedCount);
			updatedAtMs = nowMs;
		},
		lease(demand, nowMs) {
			if (shares.size === 0) {
				return {grantedCount: 0, isRenewed: false, nextTokenMs: leaseMs};
			}

			const grant = demand.isImmediate ? leaseNow(demand, nowMs) : leaseAhead(demand, nowMs);
			return {...grant, nextTokenMs: nextTokenMs()};
		},
		describe: () => ({availableCount, leasedCount: leasedCount(), shareCount: shares.size}),
		isDisposable: () =>
			leases.size === 0 && immediateLeases.length === 0 && lostAtMs.size === 0 && availableCount >= limitCount(),
	};
};
