import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import type {MembershipOptions} from './membership-options.js';
import type {Member, MemberTable} from './member-table.js';
import type {UpdateQueue} from './update-queue.js';

/** Chooses the content of outgoing membership messages and applies incoming ones. Encoding is done by the adapters. */
export type MemberExchange = {
	/** Updates for one message to `receiver`. A statement about the receiver that it may have to refute comes first. */
	takeUpdates(receiver: string): domain.MemberUpdate[];
	/** Applies the updates of a received message. */
	applyUpdates(updates: readonly domain.MemberUpdate[]): void;
	/** Applies a member's statement about itself and records when it was received. */
	recordContact(statement: domain.MemberUpdate, appliedOffset: number): void;
	/** Time since this node last received a message from a member of the region, in ms. */
	silenceMs(region: string): number;
	/**
	 * Statements that changed during a silence of `silenceMs`, in which a member received nothing from this node's region.
	 * Empty when the silence is below the threshold.
	 */
	listMissedUpdates(silenceMs: number): domain.MemberUpdate[];
	highestKnownOffset(): number;
};

/** Silence reported for a region from which no message was ever received, in ms; longer than any network partition. */
const UNLIMITED_SILENCE_MS = 1_000_000_000;

/** Silence from which missed updates are sent, in ms. Random probing leaves shorter silences in normal operation. */
const SILENCE_THRESHOLD_MS = 30_000;

/** Removes the fields that are local to this node. */
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
	const lastReceivedAtMsByRegion = new Map<string, number>();
	let highestOffset = -1;

	const applyUpdates = (updates: readonly domain.MemberUpdate[]): void => {
		updates.forEach(update => {
			table.apply(update);
		});
	};

	/** Members in states other than alive come first, because a new node assumes that listed members are alive. */
	const orderMissedMembers = (members: readonly Member[]): Member[] =>
		members
			.map(member => ({member, sortKey: (member.state === domain.MemberState.Alive ? 1 : 0) + random.fraction()}))
			.toSorted((left, right) => left.sortKey - right.sortKey)
			.map(({member}) => member);

	return {
		takeUpdates(receiver) {
			const known = table.findMember(receiver);
			const aboutReceiver = known && known.state !== domain.MemberState.Alive ? [toUpdate(known)] : [];
			return [...aboutReceiver, ...queue.take(options.updateLimitCount - aboutReceiver.length)];
		},
		applyUpdates,
		recordContact(statement, appliedOffset) {
			table.apply(statement);
			highestOffset = Math.max(highestOffset, appliedOffset);
			lastReceivedAtMsByRegion.set(statement.node.region, clock.monotonicMs());
			const member = table.findMember(statement.node.address);
			if (member?.node.incarnationId === statement.node.incarnationId) {
				member.lastReceivedAtMs = clock.monotonicMs();
				member.appliedOffset = appliedOffset;
			}
		},
		silenceMs(region) {
			const lastReceivedAtMs = lastReceivedAtMsByRegion.get(region);
			return lastReceivedAtMs === undefined ? UNLIMITED_SILENCE_MS : clock.monotonicMs() - lastReceivedAtMs;
		},
		listMissedUpdates(silenceMs) {
			if (silenceMs < SILENCE_THRESHOLD_MS) {
				return [];
			}

			const sinceMs = clock.monotonicMs() - silenceMs - SILENCE_THRESHOLD_MS;
			const missed = table.list().filter(member => member.changedAtMs >= sinceMs && member.node.incarnationId !== '');
			return orderMissedMembers(missed).slice(0, options.updateLimitCount).map(toUpdate);
		},
		highestKnownOffset: () => highestOffset,
	};
};
