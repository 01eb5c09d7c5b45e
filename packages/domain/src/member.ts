import type {NodeDescription} from './incarnation.js';

/** State of a fleet member, as seen by this node. */
export enum MemberState {
	Alive = 'alive',
	Suspect = 'suspect',
	/** Its messages arrive, but it cannot be reached, so it receives no work. */
	SendOnly = 'unheard',
	Dead = 'dead',
	Leaving = 'leaving',
}

/** State of one member, disseminated between nodes by gossip. */
export type MemberUpdate = {
	readonly node: NodeDescription;
	readonly state: MemberState;
	/**
	 * Starts at the wall-clock time of the process start in ms, which orders the runs on one address. Only the member
	 * itself raises it, to refute a suspicion.
	 */
	readonly refutationCount: number;
};
