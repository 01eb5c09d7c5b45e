import type {WaitingClass} from './waiting-call.js';

/** Time constant of the average, so that it follows a change of the load within about a second. */
const AVERAGING_MS = 1000;

/** Place of a call in the order, whatever its workspace. */
export type WaitingRank = {readonly priority: number; readonly waitingClass: WaitingClass};

type Granted = WaitingRank & {workMs: number};

/**
 * Recent work that got slots, by priority and class. Calls of a rank wait for what the ranks before it leave: those keep arriving
 * while they wait and go before them.
 */
export type GrantedWork = {
	record(rank: WaitingRank, workMs: number, nowMs: number): void;
	/** Slots that calls of the ranks before one have used on average. */
	slotsBefore(rank: WaitingRank, nowMs: number): number;
};

const isBefore = (left: WaitingRank, right: WaitingRank): boolean =>
	left.priority < right.priority || (left.priority === right.priority && left.waitingClass < right.waitingClass);

export const createGrantedWork = (): GrantedWork => {
	/** Work of each rank, all as of `updatedAtMs`. Ranks without recent work are removed. */
	let ranks: Granted[] = [];
	let updatedAtMs = 0;

	const decay = (nowMs: number): void => {
		const factor = Math.exp((updatedAtMs - nowMs) / AVERAGING_MS);
		ranks.forEach(granted => {
			granted.workMs *= factor;
		});
		ranks = ranks.filter(({workMs}) => workMs >= 1);
		updatedAtMs = nowMs;
	};

	return {
		record({priority, waitingClass}, workMs, nowMs) {
			decay(nowMs);
			const known = ranks.find(granted => granted.priority === priority && granted.waitingClass === waitingClass);
			if (known) {
				known.workMs += workMs;
			} else {
				ranks.push({priority, waitingClass, workMs});
			}
		},
		slotsBefore(rank, nowMs) {
			decay(nowMs);
			return ranks.filter(granted => isBefore(granted, rank)).reduce((sum, {workMs}) => sum + workMs / AVERAGING_MS, 0);
		},
	};
};
