import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {hashString} from '../routing/rendezvous-ranking.js';
import {createEligibleNodes, type EligibleNodes} from './eligible-nodes.js';
import type {UpdateQueue} from './update-queue.js';

/** A member as this node knows it. */
export type Member = domain.MemberUpdate & {
	/** Hash of the address, by which rings order members. */
	readonly addressHash: number;
	/** Whether the VM list shows the member's VM. */
	isListed: boolean;
	/** When this node last learned something new, on its monotonic clock, in ms. */
	readonly changedAtMs: number;
	/** When the member last sent this node a message, in ms. */
	heardAtMs?: number;
	/** Applied offset that the member last reported. */
	appliedOffset?: number;
};

/** All members that this node knows, itself included. */
export type MemberTable = {
	readonly eligible: EligibleNodes;
	self(): domain.MemberUpdate;
	findMember(address: string): Member | undefined;
	list(): readonly Member[];
	/** Members of a region that take part in probing. */
	listProbed(region: string): readonly Member[];
	count(): number;
	/** Takes over an update when it is newer than what is known, and queues it for spreading. */
	apply(update: domain.MemberUpdate): void;
	/** Adds a listed VM that is not known yet. It is presumed alive until a probe shows otherwise. */
	addListed(node: domain.NodeDescription): void;
	forget(address: string): void;
	/** States that this node is leaving. */
	leave(): void;
};

/** Of two statements about one incarnation with the same count, the one with the higher precedence holds. */
const PRECEDENCES: Record<domain.MemberState, number> = {
	[domain.MemberState.Alive]: 0,
	[domain.MemberState.Suspect]: 1,
	[domain.MemberState.Leaving]: 2,
	[domain.MemberState.Dead]: 3,
	// A member that somebody has heard is not dead.
	[domain.MemberState.Unheard]: 4,
};

/** States in which a member may schedule groups. A suspicion alone moves no group. */
const IS_ELIGIBLE: Record<domain.MemberState, boolean> = {
	[domain.MemberState.Alive]: true,
	[domain.MemberState.Suspect]: true,
	[domain.MemberState.Leaving]: false,
	[domain.MemberState.Dead]: false,
	[domain.MemberState.Unheard]: false,
};

/** States in which a member takes part in probing. */
const IS_PROBED: Record<domain.MemberState, boolean> = {
	[domain.MemberState.Alive]: true,
	[domain.MemberState.Suspect]: true,
	[domain.MemberState.Leaving]: false,
	[domain.MemberState.Dead]: false,
	[domain.MemberState.Unheard]: false,
};

export const isProbed = (member: Member): boolean => IS_PROBED[member.state];

/** Statements that a running member contradicts. */
const IS_REFUTED: Record<domain.MemberState, boolean> = {
	[domain.MemberState.Alive]: false,
	[domain.MemberState.Suspect]: true,
	[domain.MemberState.Leaving]: false,
	[domain.MemberState.Dead]: true,
	[domain.MemberState.Unheard]: true,
};

/** Whether an update replaces a known statement. The order is total, so all nodes end with the same statement. */
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
	/** Derived from `members`, and dropped whenever a member of the region changes. */
	const probedByRegion = new Map<string, readonly Member[]>();
	let self: domain.MemberUpdate = {
		node: dependencies.self,
		state: domain.MemberState.Alive,
		refutationCount: Math.max(0, Math.floor(clock.wallMs())),
	};

	const store = (given: Omit<Member, 'addressHash'>): void => {
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
		store({...update, isListed: true, changedAtMs: clock.monotonicMs()});
		queue.add(update);
	};

	const applyToSelf = (update: domain.MemberUpdate): void => {
		const isOther = update.node.incarnationId !== self.node.incarnationId;
		const isContradicted = isOther || IS_REFUTED[update.state];
		if (isContradicted && update.refutationCount >= self.refutationCount) {
			replaceSelf({...self, refutationCount: update.refutationCount + 1});
		} else if (!isOther && update.state === domain.MemberState.Leaving) {
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

			const isSameRun = known?.node.incarnationId === update.node.incarnationId;
			store({
				...update,
				isListed: known?.isListed ?? false,
				changedAtMs: clock.monotonicMs(),
				...(isSameRun && {heardAtMs: known.heardAtMs, appliedOffset: known.appliedOffset}),
			});
			queue.add(update);
		},
		addListed(node) {
			store({
				node,
				state: domain.MemberState.Alive,
				refutationCount: 0,
				isListed: true,
				changedAtMs: clock.monotonicMs(),
			});
		},
		forget(address) {
			const member = members.get(address);
			if (member) {
				members.delete(address);
				probedByRegion.delete(member.node.region);
				eligible.remove(member.node);
			}
		},
		leave() {
			replaceSelf({...self, state: domain.MemberState.Leaving, refutationCount: self.refutationCount + 1});
		},
	};
};
