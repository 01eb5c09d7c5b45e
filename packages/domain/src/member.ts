import type {NodeDescription} from './incarnation.js';

/** What this node believes about a member of the fleet. */
export enum MemberState {
	Alive = 'alive',
	Suspect = 'suspect',
	/** Sends messages but cannot be reached, so it receives no work. */
	Unheard = 'unheard',
	Dead = 'dead',
	Leaving = 'leaving',
}

/** One statement about a member, spread between nodes. */
export type MemberUpdate = {
	readonly node: NodeDescription;
	readonly state: MemberState;
	/**
	 * Starts at the wall-clock time of the process start in ms, which orders the runs on one address, and is raised by the
	 * member itself to refute a suspicion.
	 */
	readonly refutationCount: number;
};
