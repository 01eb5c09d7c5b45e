import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import type {MembershipOptions} from './membership-options.js';
import {toUpdate} from './member-exchange.js';
import {isProbed, type Member, type MemberTable} from './member-table.js';
import {Verification, type MemberVerifier} from './member-verifier.js';
import {findRingSuccessor} from './probe-rings.js';

/** The tasks that probe peers. */
export type MemberWatcher = {
	/** Probes peers until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
	/** Tells several peers at once what is queued, such as this node's start or leaving. */
	announce(signal: AbortSignal): Promise<void>;
};

/** State that a second verification gives a suspect; absent when the suspicion is left to others. */
const STATES_AFTER_SUSPICION: Record<Verification, domain.MemberState | undefined> = {
	[Verification.Reached]: undefined,
	[Verification.Unreached]: domain.MemberState.Dead,
	[Verification.HeardOnly]: domain.MemberState.Unheard,
	[Verification.Inconclusive]: undefined,
};

/** Whether a first verification raises a suspicion. */
const IS_SUSPICIOUS: Record<Verification, boolean> = {
	[Verification.Reached]: false,
	[Verification.Unreached]: true,
	[Verification.HeardOnly]: true,
	[Verification.Inconclusive]: false,
};

/** Gives a task a signal of its own. Listeners of all tasks on one signal exceed the platform's warning threshold. */
const forkSignal = (signal: AbortSignal): AbortSignal => AbortSignal.any([signal]);

/** Suspicion periods after which a suspicion that nobody settled is verified again by any member. */
const STALE_SUSPICION_FACTOR = 3;

export const createMemberWatcher = (dependencies: {
	ports: Pick<ports.NodePorts, 'clock' | 'logger' | 'random'>;
	table: MemberTable;
	verifier: MemberVerifier;
	options: MembershipOptions;
}): MemberWatcher => {
	const {table, verifier, options} = dependencies;
	const {clock, logger, random} = dependencies.ports;
	const self = table.self().node;

	const pickAtRandom = <T>(items: readonly T[]): T | undefined => items[Math.floor(random.fraction() * items.length)];

	const findRingPeer = (ring: number): domain.NodeDescription | undefined =>
		findRingSuccessor(table.listProbed(self.region), self.address, `${verifier.ringPeriod()}/${ring}`);

	/**
	 * A region judges its own members. Otherwise a cut between regions would make each side declare the other dead, member
	 * by member, and spread it all.
	 */
	const mayJudge = (member: Member): boolean =>
		member.node.region === self.region || !member.isListed || table.listProbed(member.node.region).length === 1;

	const changeState = (member: Member, state: domain.MemberState): void => {
		table.apply({...toUpdate(member), state});
		// Another of this node's tasks may have come to the same result before.
		if (table.findMember(member.node.address) === member) {
			return;
		}

		logger.info('member state changed', {address: member.node.address, state});
	};

	/** Verifies a member; when it cannot be reached, gives it time to refute and verifies it again. */
	const watchOnce = async (address: string, signal: AbortSignal): Promise<void> => {
		const member = table.findMember(address);
		if (!member) {
			return;
		}

		const first = await verifier.verify(member.node, options.suspicionMs, signal);
		const current = table.findMember(address);
		if (!IS_SUSPICIOUS[first] || !current || !isProbed(current) || !mayJudge(current) || signal.aborted) {
			return;
		}

		changeState(current, domain.MemberState.Suspect);
		const suspected = table.findMember(address)!;
		await clock.sleep(options.suspicionMs, signal);
		const second = await verifier.verify(suspected.node, options.suspicionMs, signal);
		const state = STATES_AFTER_SUSPICION[second];
		if (state !== undefined && table.findMember(address) === suspected && !signal.aborted) {
			changeState(suspected, state);
		}
	};

	const sleepUntil = async (atMs: number, signal: AbortSignal): Promise<void> => {
		await clock.sleep(Math.max(0, atMs - clock.monotonicMs()), signal);
	};

	/** Probes one peer for as long as it is this node's successor on the ring. */
	const watchPeer = async (ring: number, address: string, signal: AbortSignal): Promise<void> => {
		while (!signal.aborted && findRingPeer(ring)?.address === address) {
			const startedAtMs = clock.monotonicMs();
			await watchOnce(address, signal);
			await sleepUntil(startedAtMs + options.probePeriodMs, signal);
		}
	};

	const watchRing = async (ring: number, signal: AbortSignal): Promise<void> => {
		await clock.sleep(random.fraction() * options.probePeriodMs, signal);
		while (!signal.aborted) {
			const peer = findRingPeer(ring);
			await (peer ? watchPeer(ring, peer.address, signal) : clock.sleep(options.probePeriodMs, signal));
		}
	};

	const listStrangers = (): Member[] =>
		table.list().filter(member => member.node.region !== self.region && isProbed(member));

	/** Members that no ring contains, or whose suspicion nobody settled. */
	const listUnsettled = (): Member[] => {
		const staleAtMs = clock.monotonicMs() - STALE_SUSPICION_FACTOR * options.suspicionMs;
		return table
			.list()
			.filter(member => member.state !== domain.MemberState.Alive && member.node.address !== self.address)
			.filter(member => !isProbed(member) || member.changedAtMs < staleAtMs);
	};

	const watchSample = async (listCandidates: () => Member[], periodMs: number, signal: AbortSignal): Promise<void> => {
		while (!signal.aborted) {
			await clock.sleep(periodMs * (0.5 + random.fraction()), signal);
			const member = pickAtRandom(listCandidates());
			if (member && !signal.aborted) {
				await (isProbed(member) ? watchOnce(member.node.address, signal) : verifier.probe(member.node, signal));
			}
		}
	};

	return {
		async run(signal) {
			await Promise.all([
				...Array.from({length: options.regionPeerCount}, async (_, ring) => watchRing(ring, forkSignal(signal))),
				watchSample(listStrangers, options.crossRegionPeriodMs, forkSignal(signal)),
				watchSample(listUnsettled, options.recoveryPeriodMs, forkSignal(signal)),
			]);
		},
		async announce(signal) {
			const peers = table.listProbed(self.region).filter(member => member.node.address !== self.address);
			const strangers = listStrangers();
			const chosen = Array.from({length: options.announcementCount}, (_, index) =>
				pickAtRandom(index === 0 && strangers.length > 0 ? strangers : peers),
			).filter(member => member !== undefined);
			const nodes = [...new Map(chosen.map(member => [member.node.address, member.node])).values()];
			await Promise.all(nodes.map(async node => verifier.probe(node, forkSignal(signal))));
		},
	};
};
