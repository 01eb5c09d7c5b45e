import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import type {MembershipOptions} from './membership-options.js';
import type {Member, MemberTable} from './member-table.js';
import type {UpdateQueue} from './update-queue.js';

/** What goes into and comes out of the messages between members, apart from their encoding. */
export type MemberExchange = {
	/** Updates for one message to `receiver`. They start with what the receiver has to refute. */
	takeUpdates(receiver: string): domain.MemberUpdate[];
	/** Applies the updates of a received message. */
	applyUpdates(updates: readonly domain.MemberUpdate[]): void;
	/** Applies a member's statement about itself, received from the member. */
	noteHeard(statement: domain.MemberUpdate, appliedOffset: number): void;
	/** Time since a member of the region was heard, in ms. */
	silenceMs(region: string): number;
	/** Statements that changed within a silence, for a member that missed them. Empty after a short silence. */
	listMissed(silenceMs: number): domain.MemberUpdate[];
	highestKnownOffset(): number;
};

/** A node that has heard nothing reports this silence, in ms: longer than any cut. */
const UNLIMITED_SILENCE_MS = 1_000_000_000;

/** Shorter silences are normal between members that probe each other at random, in ms. */
const SILENCE_THRESHOLD_MS = 30_000;

/** Removes what only this node knows about the member. */
export const toUpdate = ({node, state, refutationCount}: domain.MemberUpdate): domain.MemberUpdate => ({
	node,
	state,
	refutationCount,
});

export const createMemberExchange = (dependencies: {
	ports: Pick<ports.NodePorts, 'clock' | 'random'>;
	table: MemberTable;
	queue: UpdateQueue;
	options: MembershipOptions;
}): MemberExchange => {
	const {table, queue, options} = dependencies;
	const {clock, random} = dependencies.ports;
	const heardAtMsByRegion = new Map<string, number>();
	let highestOffset = -1;

	const applyUpdates = (updates: readonly domain.MemberUpdate[]): void => {
		updates.forEach(update => {
			table.apply(update);
		});
	};

	/** Members in unusual states come first, because a new node presumes that listed members are alive. */
	const orderMissed = (members: readonly Member[]): Member[] =>
		members
			.map(member => ({member, order: (member.state === domain.MemberState.Alive ? 1 : 0) + random.fraction()}))
			.toSorted((left, right) => left.order - right.order)
			.map(({member}) => member);

	return {
		takeUpdates(receiver) {
			const known = table.findMember(receiver);
			const aboutReceiver = known && known.state !== domain.MemberState.Alive ? [toUpdate(known)] : [];
			return [...aboutReceiver, ...queue.take(options.updateLimitCount - aboutReceiver.length)];
		},
		applyUpdates,
		noteHeard(statement, appliedOffset) {
			table.apply(statement);
			highestOffset = Math.max(highestOffset, appliedOffset);
			heardAtMsByRegion.set(statement.node.region, clock.monotonicMs());
			const member = table.findMember(statement.node.address);
			if (member?.node.incarnationId === statement.node.incarnationId) {
				member.heardAtMs = clock.monotonicMs();
				member.appliedOffset = appliedOffset;
			}
		},
		silenceMs(region) {
			const heardAtMs = heardAtMsByRegion.get(region);
			return heardAtMs === undefined ? UNLIMITED_SILENCE_MS : clock.monotonicMs() - heardAtMs;
		},
		listMissed(silenceMs) {
			if (silenceMs < SILENCE_THRESHOLD_MS) {
				return [];
			}

			const sinceMs = clock.monotonicMs() - silenceMs - SILENCE_THRESHOLD_MS;
			const missed = table.list().filter(member => member.changedAtMs >= sinceMs && member.node.incarnationId !== '');
			return orderMissed(missed).slice(0, options.updateLimitCount).map(toUpdate);
		},
		highestKnownOffset: () => highestOffset,
	};
};
