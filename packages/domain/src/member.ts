import type {NodeDescription} from './incarnation.js';

/** What this node believes about a member of the fleet. */
export enum MemberState {
	Alive = 'alive',
	Suspect = 'suspect',
	Dead = 'dead',
	Leaving = 'leaving',
}

/** One statement about a member, spread between nodes. */
export type MemberUpdate = {
	readonly node: NodeDescription;
	readonly state: MemberState;
	/** Raised by the member itself to refute a suspicion. */
	readonly refutationCount: number;
};
