import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import type {MembershipOptions} from './membership-options.js';
import {toUpdate} from './member-exchange.js';
import {isProbed, type Member, type MemberTable} from './member-table.js';
import {VerificationResult, type MemberVerifier} from './member-verifier.js';
import {findRingSuccessor} from './probe-rings.js';

/** Failure detector: probes peers and changes the states of members that do not reply. */
export type FailureDetector = {
	/** Probes peers until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
	/** Probes several peers at once to send them the queued updates, such as this node's start or leaving. */
	announce(signal: AbortSignal): Promise<void>;
};

/** State of a suspect after a second verification; undefined leaves the suspicion unchanged. */
const STATES_AFTER_SUSPICION: Record<VerificationResult, domain.MemberState | undefined> = {
	[VerificationResult.Reached]: undefined,
	[VerificationResult.Unreached]: domain.MemberState.Dead,
	[VerificationResult.SendOnly]: domain.MemberState.SendOnly,
	[VerificationResult.Inconclusive]: undefined,
};

/** Whether the result of a first verification makes the member a suspect. */
const IS_SUSPICIOUS: Record<VerificationResult, boolean> = {
	[VerificationResult.Reached]: false,
	[VerificationResult.Unreached]: true,
	[VerificationResult.SendOnly]: true,
	[VerificationResult.Inconclusive]: false,
};

/** Derives a signal for one task. The listeners of all tasks on one signal would exceed Node.js's warning threshold. */
const forkSignal = (signal: AbortSignal): AbortSignal => AbortSignal.any([signal]);

/** Suspicion periods after which any member verifies a suspect whose state has not changed since. */
const STALE_SUSPICION_PERIOD_COUNT = 3;

export const createFailureDetector = (dependencies: {
	ports: Pick<ports.NodePorts, 'clock' | 'logger' | 'random'>;
	table: MemberTable;
	verifier: MemberVerifier;
	options: MembershipOptions;
}): FailureDetector => {
	const {table, verifier, options} = dependencies;
	const {clock, logger, random} = dependencies.ports;
	const self = table.self().node;

	const pickAtRandom = <T>(items: readonly T[]): T | undefined => items[Math.floor(random.fraction() * items.length)];

	const findRingPeer = (ring: number): domain.NodeDescription | undefined =>
		findRingSuccessor(table.listProbed(self.region), self.address, `${verifier.ringPeriod()}/${ring}`);

	/**
	 * Only nodes of a member's own region change its state. Otherwise a network partition between regions would make each
	 * side declare all members of the other dead and spread these updates. Members that the VM list does not contain and
	 * the only probed member of a region are exceptions.
	 */
	const mayChangeState = (member: Member): boolean =>
		member.node.region === self.region || !member.isListed || table.listProbed(member.node.region).length === 1;

	const changeState = (member: Member, state: domain.MemberState): void => {
		table.apply({...toUpdate(member), state});
		// The table is unchanged when another task of this node has already applied this state or a newer update.
		if (table.findMember(member.node.address) === member) {
			return;
		}

		logger.info('member state changed', {address: member.node.address, state});
	};

	/** Verifies a member. If it cannot be reached, suspects it and verifies it again after the suspicion period. */
	const verifyMember = async (address: string, signal: AbortSignal): Promise<void> => {
		const member = table.findMember(address);
		if (!member) {
			return;
		}

		const firstResult = await verifier.verify(member.node, options.suspicionMs, signal);
		const current = table.findMember(address);
		if (!IS_SUSPICIOUS[firstResult] || !current || !isProbed(current) || !mayChangeState(current) || signal.aborted) {
			return;
		}

		changeState(current, domain.MemberState.Suspect);
		const suspected = table.findMember(address)!;
		await clock.sleep(options.suspicionMs, signal);
		const secondResult = await verifier.verify(suspected.node, options.suspicionMs, signal);
		const state = STATES_AFTER_SUSPICION[secondResult];
		if (state !== undefined && table.findMember(address) === suspected && !signal.aborted) {
			changeState(suspected, state);
		}
	};

	const sleepUntil = async (atMs: number, signal: AbortSignal): Promise<void> => {
		await clock.sleep(Math.max(0, atMs - clock.monotonicMs()), signal);
	};

	/** Probes one peer until it is no longer this node's successor on the ring. */
	const probeRingPeer = async (ring: number, address: string, signal: AbortSignal): Promise<void> => {
		while (!signal.aborted && findRingPeer(ring)?.address === address) {
			const startedAtMs = clock.monotonicMs();
			await verifyMember(address, signal);
			await sleepUntil(startedAtMs + options.probePeriodMs, signal);
		}
	};

	const probeRing = async (ring: number, signal: AbortSignal): Promise<void> => {
		await clock.sleep(random.fraction() * options.probePeriodMs, signal);
		while (!signal.aborted) {
			const peer = findRingPeer(ring);
			await (peer ? probeRingPeer(ring, peer.address, signal) : clock.sleep(options.probePeriodMs, signal));
		}
	};

	const listOtherRegionMembers = (): Member[] =>
		table.list().filter(member => member.node.region !== self.region && isProbed(member));

	/** Members that are not on the rings, and suspects whose state has not changed for several suspicion periods. */
	const listUnresolvedMembers = (): Member[] => {
		const staleAtMs = clock.monotonicMs() - STALE_SUSPICION_PERIOD_COUNT * options.suspicionMs;
		return table
			.list()
			.filter(member => member.state !== domain.MemberState.Alive && member.node.address !== self.address)
			.filter(member => !isProbed(member) || member.changedAtMs < staleAtMs);
	};

	const probeSample = async (listCandidates: () => Member[], periodMs: number, signal: AbortSignal): Promise<void> => {
		while (!signal.aborted) {
			await clock.sleep(periodMs * (0.5 + random.fraction()), signal);
			const member = pickAtRandom(listCandidates());
			if (member && !signal.aborted) {
				await (isProbed(member) ? verifyMember(member.node.address, signal) : verifier.probe(member.node, signal));
			}
		}
	};

	return {
		async run(signal) {
			await Promise.all([
				...Array.from({length: options.regionPeerCount}, async (_, ring) => probeRing(ring, forkSignal(signal))),
				probeSample(listOtherRegionMembers, options.crossRegionPeriodMs, forkSignal(signal)),
				probeSample(listUnresolvedMembers, options.recoveryPeriodMs, forkSignal(signal)),
			]);
		},
		async announce(signal) {
			const peers = table.listProbed(self.region).filter(member => member.node.address !== self.address);
			const otherRegionMembers = listOtherRegionMembers();
			const chosen = Array.from({length: options.announcementCount}, (_, index) =>
				pickAtRandom(index === 0 && otherRegionMembers.length > 0 ? otherRegionMembers : peers),
			).filter(member => member !== undefined);
			const nodes = [...new Map(chosen.map(member => [member.node.address, member.node])).values()];
			await Promise.all(nodes.map(async node => verifier.probe(node, forkSignal(signal))));
		},
	};
};
