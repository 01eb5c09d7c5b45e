import {createRecentMap} from '../shared/recent-map.js';
import type {WaitingRank} from './granted-work.js';

/**
 * Time constant of the averages. With 1,000 ms a single granted call of a small group had other calls refused; with 2,000 ms refused
 * calls were held for longer than `zones-between-regions.test.ts` allows.
 */
const AVERAGING_MS = 1500;

/** Workspaces, each with a priority and a class, whose granted work is kept. The least recently granted is evicted. */
const FLOW_LIMIT_COUNT = 1024;

/** Slacks that differ by less than a tenth count as equal, which bounds the number of kept averages. */
const SLACKS_PER_OCTAVE = 8;

/** Calls that are ordered among themselves by their latest start. */
export type OvertakingFlow = WaitingRank & {readonly workspace: string};

type GrantedSlack = {readonly slackMs: number; workMs: number; updatedAtMs: number};

/**
 * Recent work that got slots, by the slack of the calls: the time from a call's arrival to its latest start. Calls that arrive later
 * with less slack overtake a waiting call if their latest start is earlier, so its wait exceeds the work that is ahead of it.
 */
export type OvertakingWork = {
	record(flow: OvertakingFlow, slackMs: number, workMs: number, nowMs: number): void;
	/** Wait of a call with this slack until the work ahead of it and that of the calls that will overtake it is done, in ms. */
	predictWaitMs(flow: OvertakingFlow, slackMs: number, ahead: AheadWork, nowMs: number): number;
};

export type AheadWork = {
	/** Work ahead of the call, in ms. */
	readonly workMs: number;
	readonly slotCount: number;
};

const keyOf = ({priority, waitingClass, workspace}: OvertakingFlow): string =>
	`${priority}/${waitingClass}/${workspace}`;

const roundSlackMs = (slackMs: number): number =>
	2 ** (Math.round(Math.log2(Math.max(1, slackMs)) * SLACKS_PER_OCTAVE) / SLACKS_PER_OCTAVE);

const readWorkMs = ({workMs, updatedAtMs}: GrantedSlack, nowMs: number): number =>
	workMs * Math.exp((updatedAtMs - nowMs) / AVERAGING_MS);

export const createOvertakingWork = (): OvertakingWork => {
	const flows = createRecentMap<string, Map<number, GrantedSlack>>(FLOW_LIMIT_COUNT);

	return {
		record(flow, slackMs, workMs, nowMs) {
			const key = keyOf(flow);
			const slacks = flows.get(key) ?? new Map<number, GrantedSlack>();
			flows.set(key, slacks);
			const roundedMs = roundSlackMs(slackMs);
			const known = slacks.get(roundedMs) ?? {slackMs: roundedMs, workMs: 0, updatedAtMs: nowMs};
			known.workMs = readWorkMs(known, nowMs) + workMs;
			known.updatedAtMs = nowMs;
			slacks.set(roundedMs, known);
		},
		predictWaitMs(flow, slackMs, {workMs, slotCount}, nowMs) {
			const ownSlackMs = roundSlackMs(slackMs);
			const overtaking = [...(flows.get(keyOf(flow))?.values() ?? [])]
				.filter(granted => granted.slackMs < ownSlackMs)
				.map(granted => ({
					// Calls that arrive after this have a later start than the waiting one.
					untilMs: ownSlackMs - granted.slackMs,
					slotCount: readWorkMs(granted, nowMs) / AVERAGING_MS,
				}))
				.toSorted((left, right) => left.untilMs - right.untilMs);
			const done = overtaking.reduce(
				({atMs, leftMs, usedCount}, {untilMs, slotCount: overtakenCount}) => {
					const gainMs = Math.max(0, slotCount - usedCount) * (untilMs - atMs);
					return gainMs >= leftMs
						? {atMs, leftMs, usedCount}
						: {atMs: untilMs, leftMs: leftMs - gainMs, usedCount: usedCount - overtakenCount};
				},
				{atMs: 0, leftMs: workMs, usedCount: overtaking.reduce((sum, granted) => sum + granted.slotCount, 0)},
			);
			return done.atMs + done.leftMs / Math.max(1, slotCount - done.usedCount);
		},
	};
};
