import type * as domain from '@bilberrydoor/domain';
import type {PeerReachability} from '../registry/peer-reachability.js';
import * as ports from '../ports/index.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import {groupBy} from '../shared/group-by.js';
import type {QuotaOptions} from './quota-options.js';
import {createShareAccount, type ShareAccount} from './share-account.js';
import {planShares, SHARE_LIMIT_COUNT} from './share-plan.js';
import {PARTITION_COUNT, partitionOf, slotIdOf, type ShareRanking, type Slot} from './share-ranking.js';
import {createSlotHolder} from './slot-holder.js';

export type QuotaHolderParts = {
	readonly selfId: string;
	readonly ranking: ShareRanking;
	readonly findWorkspace: (name: string) => domain.FleetWorkspace | undefined;
	readonly readOptions: () => QuotaOptions;
	readonly peerClient: ports.FleetPeerClient;
	readonly peerReachability: Pick<PeerReachability, 'isUsable'>;
	readonly clock: ports.Clock;
	readonly logger: ports.Logger;
};

/** Holds shares of quotas and leases their tokens to entry nodes. */
export type QuotaHolder = {
	lease(request: ports.LeaseQuotaRequest): Promise<ports.LeaseQuotaReply>;
	/** Claims shares ahead of need, in the next few partitions. */
	claimNext(): Promise<void>;
	releaseShares(request: ports.ClaimQuotaSharesRequest): ports.ClaimQuotaSharesReply;
	/** Has all shares confirmed again before any more of their tokens are leased. */
	requireConfirmation(): void;
	/** Stops leasing tokens for good. */
	stop(): void;
	/** Removes the accounts that are as full as new ones. */
	removeIdleAccounts(): void;
	describe(workspace: string): ReturnType<ShareAccount['describe']> | undefined;
	countAccounts(): number;
	countShares(): number;
};

/** Time limit for a confirmation: a round trip between regions takes 40 ms; the rest is for slow nodes. */
const CLAIM_TIMEOUT_MS = 250;

/** Time for which a request for tokens waits for claims, in ms; shorter than the 90 ms that entry nodes wait for the reply. */
const LEASE_CLAIM_WAIT_MS = 60;

/** Time after a claim that was not confirmed until the next one, in ms. */
const CLAIM_RETRY_MS = 500;

/**
 * Partitions whose shares are claimed at once. After nodes were added or removed, all partitions are checked within 4 s in fleets
 * of up to 125 nodes, and within 16 s in one of 4,100, where a step builds 256 rankings. In a fleet of two nodes, one message then
 * names about 1,024 shares (31 KB); peers accept 64 KB.
 */
const SWEEP_COUNT = 16;
const FAST_SWEEP_COUNT = 128;
const FAST_SWEEP_WORK = 8000;

export const createQuotaHolder = (parts: QuotaHolderParts): QuotaHolder => {
	const {selfId, ranking, clock, logger, readOptions} = parts;
	/** Accounts with the limits that they were last updated by. */
	const accounts = new Map<string, {readonly account: ShareAccount; readonly workspace: domain.FleetWorkspace}>();
	/** When each slot may be claimed again. */
	const nextClaimAtMs = new Map<number, number>();
	let isStopped = false;
	let sweepStart = 0;
	let generation = -1;
	let fastSweepLeftCount = 0;
	const slotHolder = createSlotHolder({
		selfId,
		ranking,
		clock,
		leaseMs: readOptions().leaseMs,
		onChange({partition, share}, isHeld, otherNodeId) {
			logger.debug(isHeld ? 'quota share held' : 'quota share released', {
				event: isHeld ? ports.LogEvent.QuotaShareHeld : ports.LogEvent.QuotaShareReleased,
				partition,
				share,
				otherNodeId,
			});
		},
	});

	/** Slots of a partition for which this node ranks first. */
	const listSlots = (partition: number, shareCount: number): readonly Slot[] =>
		Array.from({length: shareCount}, (_, share) => ({partition, share})).filter(
			slot => ranking.rank(slot).first?.nodeId === selfId,
		);

	const claimFrom = async (confirmerId: string, shares: readonly Slot[]): Promise<void> => {
		const {address} = ranking.node(confirmerId)!;
		shares.forEach(slot => nextClaimAtMs.set(slotIdOf(slot), clock.monotonicMs() + CLAIM_RETRY_MS));
		const {signal} = new AbortController();
		const timed = await runWithTimeout({clock, timeoutMs: CLAIM_TIMEOUT_MS, signal}, async claimSignal =>
			parts.peerClient.request(
				address,
				ports.FleetMessageKind.ClaimQuotaShares,
				{nodeId: selfId, shares},
				{signal: claimSignal},
			),
		);
		if (!timed.isTimedOut && timed.value.isOk()) {
			timed.value.value.released.forEach(({idleMs, ...slot}) => {
				slotHolder.recordConfirmation(slot, confirmerId, idleMs);
			});
		}
	};

	const claimSlots = async (slots: readonly Slot[]): Promise<void> => {
		const nowMs = clock.monotonicMs();
		const claims = slots
			.filter(slot => (nextClaimAtMs.get(slotIdOf(slot)) ?? 0) <= nowMs)
			.flatMap(slot => {
				const confirmerId = slotHolder.findConfirmer(slot);
				return confirmerId === undefined ? [] : [{slot, confirmerId}];
			});
		await Promise.all(
			[...groupBy(claims, ({confirmerId}) => confirmerId)].map(async ([confirmerId, group]) =>
				claimFrom(
					confirmerId,
					group.map(({slot}) => slot),
				),
			),
		);
	};

	/** Claims slots in the background; waits a little if none of them is held, as after the first limit of a catalogue. */
	const claimForLease = async (slots: readonly Slot[]): Promise<void> => {
		const claimed = claimSlots(slots);
		if (slots.every(slot => slotHolder.heldSinceMs(slot) === undefined)) {
			const {signal} = new AbortController();
			await runWithTimeout({clock, timeoutMs: LEASE_CLAIM_WAIT_MS, signal}, async () => claimed);
		}
	};

	const nextSweepCount = (): number => {
		if (generation !== ranking.generation()) {
			generation = ranking.generation();
			fastSweepLeftCount = PARTITION_COUNT;
		}

		const fastCount = Math.floor(FAST_SWEEP_WORK / Math.max(1, ranking.countNodes()));
		const count = fastSweepLeftCount > 0 ? Math.max(SWEEP_COUNT, Math.min(FAST_SWEEP_COUNT, fastCount)) : SWEEP_COUNT;
		fastSweepLeftCount -= count;
		return count;
	};

	const updateAccount = (workspace: domain.FleetWorkspace): ShareAccount => {
		const {name} = workspace;
		const options = readOptions();
		const plan = planShares(workspace, options);
		const heldSinceMs = new Map(
			listSlots(partitionOf(name), plan.shareCount).flatMap(slot => {
				const sinceMs = slotHolder.heldSinceMs(slot);
				return sinceMs === undefined ? [] : [[slot.share, sinceMs] as const];
			}),
		);
		const account = accounts.get(name)?.account ?? createShareAccount(options);
		accounts.set(name, {account, workspace});
		account.update(plan, heldSinceMs, clock.monotonicMs());
		return account;
	};

	return {
		async claimNext() {
			const length = nextSweepCount();
			const partitions = Array.from({length}, (_, index) => (sweepStart + index) % PARTITION_COUNT);
			sweepStart = (sweepStart + length) % PARTITION_COUNT;
			await claimSlots(partitions.flatMap(partition => listSlots(partition, SHARE_LIMIT_COUNT)));
		},
		async lease(request) {
			const options = readOptions();
			const leaseMs = request.isImmediate ? options.immediateLeaseMs : options.leaseMs;
			const workspace = parts.findWorkspace(request.workspace);
			if (!workspace || workspace.ratePerSecond <= 0) {
				// The limit is not in force on all nodes yet.
				return {grantedCount: request.wantedCount, isRenewed: true, leaseMs, nextTokenMs: 0};
			}

			if (isStopped) {
				return {grantedCount: 0, isRenewed: false, leaseMs, nextTokenMs: leaseMs};
			}

			const {shareCount} = planShares(workspace, options);
			await claimForLease(listSlots(partitionOf(workspace.name), shareCount));
			const {nodeId, incarnationId} = request;
			const grant = updateAccount(workspace).lease(
				{...request, entryId: `${nodeId}#${incarnationId}`},
				clock.monotonicMs(),
			);
			return {...grant, leaseMs};
		},
		releaseShares: ({nodeId, shares}) => ({
			released: shares.flatMap(({partition, share}) => {
				const idleMs = slotHolder.release({partition, share}, nodeId);
				return idleMs === undefined ? [] : [{partition, share, idleMs}];
			}),
		}),
		requireConfirmation: slotHolder.requireConfirmation,
		stop() {
			isStopped = true;
		},
		removeIdleAccounts() {
			// A workspace that is removed and added again must not get a new account while tokens of the former one may be in use.
			accounts.forEach(({workspace}, name) => {
				const current = parts.findWorkspace(name);
				if (updateAccount(current && current.ratePerSecond > 0 ? current : workspace).isDisposable()) {
					accounts.delete(name);
				}
			});
		},
		describe: workspace => accounts.get(workspace)?.account.describe(),
		countAccounts: () => accounts.size,
		countShares: slotHolder.countHeld,
	};
};
