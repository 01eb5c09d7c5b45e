import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {hashString} from '../routing/rendezvous-ranking.js';
import {createEligibleNodes, type EligibleNodes} from './eligible-nodes.js';
import type {UpdateQueue} from './update-queue.js';

/** The latest statement about a member, with the data that this node keeps for it locally. */
export type Member = domain.MemberUpdate & {
	/** Hash of the address, from which the position on a probe ring is derived. */
	readonly addressHash: number;
	/** Whether the VM list contains the member's VM. */
	isListed: boolean;
	/** When this node last replaced its statement about the member, on its monotonic clock, in ms. */
	readonly changedAtMs: number;
	/** When this node last received a message from the member, on its monotonic clock, in ms. */
	lastReceivedAtMs?: number;
	/** Applied offset that the member last reported. */
	appliedOffset?: number;
};

/** Table of all known members, including this node. */
export type MemberTable = {
	readonly eligible: EligibleNodes;
	self(): domain.MemberUpdate;
	findMember(address: string): Member | undefined;
	list(): readonly Member[];
	/** Members of a region that take part in probing. */
	listProbed(region: string): readonly Member[];
	count(): number;
	/** Stores an update that is newer than the known statement, and queues it for dissemination. */
	apply(update: domain.MemberUpdate): void;
	/** Adds a VM from the VM list that is not in the table. It counts as alive until probes to it fail. */
	addListed(node: domain.NodeDescription): void;
	remove(address: string): void;
	/** Sets this node's own state to leaving, and queues the statement for dissemination. */
	markSelfLeaving(): void;
};

/** Orders statements about one incarnation that have the same refutation count; the higher precedence wins. */
const PRECEDENCES: Record<domain.MemberState, number> = {
	[domain.MemberState.Alive]: 0,
	[domain.MemberState.Suspect]: 1,
	[domain.MemberState.Leaving]: 2,
	[domain.MemberState.Dead]: 3,
	// A member from which any node still receives messages is not dead.
	[domain.MemberState.SendOnly]: 4,
};

/** States in which a member may schedule groups. Suspects stay eligible, so a mere suspicion moves no group. */
const IS_ELIGIBLE: Record<domain.MemberState, boolean> = {
	[domain.MemberState.Alive]: true,
	[domain.MemberState.Suspect]: true,
	[domain.MemberState.Leaving]: false,
	[domain.MemberState.Dead]: false,
	[domain.MemberState.SendOnly]: false,
};

/** States in which a member takes part in probing. */
const IS_PROBED: Record<domain.MemberState, boolean> = {
	[domain.MemberState.Alive]: true,
	[domain.MemberState.Suspect]: true,
	[domain.MemberState.Leaving]: false,
	[domain.MemberState.Dead]: false,
	[domain.MemberState.SendOnly]: false,
};

export const isProbed = (member: Member): boolean => IS_PROBED[member.state];

/** States that a running member refutes when another node claims them for it. */
const IS_REFUTED: Record<domain.MemberState, boolean> = {
	[domain.MemberState.Alive]: false,
	[domain.MemberState.Suspect]: true,
	[domain.MemberState.Leaving]: false,
	[domain.MemberState.Dead]: true,
	[domain.MemberState.SendOnly]: true,
};

/** Whether an update replaces a known statement. The order is total, so all nodes converge on the same statement. */
export const isNewerUpdate = (update: domain.MemberUpdate, known: domain.MemberUpdate): boolean => {
	if (update.refutationCount !== known.refutationCount) {
		return update.refutationCount > known.refutationCount;
	}

	return update.node.incarnationId === known.node.incarnationId
		? PRECEDENCES[update.state] > PRECEDENCES[known.state]
		: update.node.incarnationId > known.node.incarnationId;
};

export const createMemberTable = (dependencies: {
	clock: ports.Clock;
	self: domain.NodeDescription;
	queue: UpdateQueue;
}): MemberTable => {
	const {clock, queue} = dependencies;
	const members = new Map<string, Member>();
	const eligible = createEligibleNodes();
	/** Cache derived from `members`; a region is invalidated whenever one of its members changes. */
	const probedByRegion = new Map<string, readonly Member[]>();
	let self: domain.MemberUpdate = {
		node: dependencies.self,
		state: domain.MemberState.Alive,
		refutationCount: Math.max(0, Math.floor(clock.wallMs())),
	};

	const storeMember = (given: Omit<Member, 'addressHash'>): void => {
		const {address, region} = given.node;
		const known = members.get(address);
		const member = {...given, addressHash: known?.addressHash ?? hashString(address)};
		members.set(address, member);
		probedByRegion.delete(region);
		probedByRegion.delete(known?.node.region ?? region);
		if (IS_ELIGIBLE[member.state]) {
			eligible.add(member.node);
		} else {
			eligible.remove(member.node);
		}
	};

	const replaceSelf = (update: domain.MemberUpdate): void => {
		self = update;
		storeMember({...update, isListed: true, changedAtMs: clock.monotonicMs()});
		queue.add(update);
	};

	const applyToSelf = (update: domain.MemberUpdate): void => {
		const isOtherIncarnation = update.node.incarnationId !== self.node.incarnationId;
		const isContradicted = isOtherIncarnation || IS_REFUTED[update.state];
		if (isContradicted && update.refutationCount >= self.refutationCount) {
			replaceSelf({...self, refutationCount: update.refutationCount + 1});
		} else if (!isOtherIncarnation && update.state === domain.MemberState.Leaving) {
			replaceSelf({...self, state: domain.MemberState.Leaving});
		}
	};

	replaceSelf(self);

	return {
		eligible,
		self: () => self,
		findMember: address => members.get(address),
		list: () => [...members.values()],
		listProbed(region) {
			const probed =
				probedByRegion.get(region) ??
				[...members.values()].filter(member => member.node.region === region && isProbed(member));
			probedByRegion.set(region, probed);
			return probed;
		},
		count: () => members.size,
		apply(update) {
			if (update.node.address === self.node.address) {
				if (isNewerUpdate(update, self)) {
					applyToSelf(update);
				}

				return;
			}

			const known = members.get(update.node.address);
			if (known && !isNewerUpdate(update, known)) {
				return;
			}

			const isSameIncarnation = known?.node.incarnationId === update.node.incarnationId;
			storeMember({
				...update,
				isListed: known?.isListed ?? false,
				changedAtMs: clock.monotonicMs(),
				...(isSameIncarnation && {lastReceivedAtMs: known.lastReceivedAtMs, appliedOffset: known.appliedOffset}),
			});
			queue.add(update);
		},
		addListed(node) {
			storeMember({
				node,
				state: domain.MemberState.Alive,
				refutationCount: 0,
				isListed: true,
				changedAtMs: clock.monotonicMs(),
			});
		},
		remove(address) {
			const member = members.get(address);
			if (member) {
				members.delete(address);
				probedByRegion.delete(member.node.region);
				eligible.remove(member.node);
			}
		},
		markSelfLeaving() {
			replaceSelf({...self, state: domain.MemberState.Leaving, refutationCount: self.refutationCount + 1});
		},
	};
};
