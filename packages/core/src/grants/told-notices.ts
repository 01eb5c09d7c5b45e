import type * as ports from '../ports/index.js';
import {createRecentMap} from '../shared/recent-map.js';
import type {TargetIncarnation, TargetNotices} from './target-notices.js';

/** Notices that a receiver lacks. */
export type UntoldNotices = {
	readonly targetNotices: readonly ports.TargetNotice[];
	/** Records that the receiver has got them. */
	markTold(): void;
};

/** Keeps track of which notices other nodes have got from this one, so that each notice is sent to a node once. */
export type ToldNotices = {
	/**
	 * Notices of the given targets that a receiver has not got yet.
	 *
	 * @param receiver the receiving node, and the group where it receives notices for several
	 */
	listUntold(receiver: string, targets: readonly TargetIncarnation[]): UntoldNotices;
};

/** Creates a record of what the most recent `receiverLimitCount` receivers have got. */
export const createToldNotices = (notices: TargetNotices, receiverLimitCount: number): ToldNotices => {
	const toldRevisions = createRecentMap<string, number>(receiverLimitCount);
	return {
		listUntold(receiver, targets) {
			const revision = notices.revision();
			return {
				targetNotices: notices.list(targets, toldRevisions.get(receiver) ?? 0),
				markTold() {
					toldRevisions.set(receiver, revision);
				},
			};
		},
	};
};
