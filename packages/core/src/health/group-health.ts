import * as domain from '@bilberrydoor/domain';
import type {TargetGroup} from '../routing/target-groups.js';

/** What one attempt at a target showed. */
export enum AttemptResult {
	/** The target answered well. */
	Success = 'success',
	/** The target answered with a server error. */
	Error = 'error',
	/** The target shed load. This is back-pressure and not sickness. */
	Shed = 'shed',
	/** No connection could be opened. */
	Unreachable = 'unreachable',
	/** The connection broke before the whole answer had arrived. */
	Lost = 'lost',
	/** The time for the attempt was up. */
	TimedOut = 'timed-out',
	/** The caller went away, which says nothing about the target. */
	Cancelled = 'cancelled',
}

/** One attempt in flight, as health sees it. */
export type ObservedAttempt = {
	/** Reports the head of the answer, or the failure. Later reports of the same attempt are ignored. */
	finish(result: AttemptResult): void;
};

/** Standing of one target. */
export type TargetStanding = {
	readonly state: domain.TargetState;
	/** Why the target is in this state. */
	readonly reason: string;
	/** When it entered the state, on this node's monotonic clock, in ms. */
	readonly sinceMs: number;
	/** Share of the target's slots that may be used now, 0 to 1. */
	readonly openRatio: number;
	/** Preference among targets with free slots, 0 to 1. */
	readonly weight: number;
	/** True when only repeatable work may be sent, as during probation. */
	readonly isRepeatableOnly: boolean;
};

/** Judges the targets of one group by the work that they do, and keeps the floor. */
export type GroupHealth = {
	standingOf(targetId: string): TargetStanding;
	startAttempt(targetId: string, workClass: domain.WorkClass): ObservedAttempt;
	/** Takes over a changed entry at once. */
	replaceGroup(group: TargetGroup): void;
	markLeaving(targetId: string, reason: string): void;
	/** Slots of targets that count as healthy capacity. */
	healthySlotCount(): number;
	/** Registers a listener for changes of standing, after which waiting work may fit. */
	subscribe(listener: () => void): void;
	/** Runs the background tasks until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
};

const HEALTHY_STANDING: TargetStanding = {
	state: domain.TargetState.Healthy,
	reason: '',
	sinceMs: 0,
	openRatio: 1,
	weight: 1,
	isRepeatableOnly: false,
};

const DRAINING_STANDING: TargetStanding = {
	...HEALTHY_STANDING,
	state: domain.TargetState.Draining,
	openRatio: 0,
	weight: 0,
};

export const createGroupHealth = (dependencies: {group: TargetGroup}): GroupHealth => {
	let {group} = dependencies;
	const leavingTargetIds = new Set<string>();
	const listeners: Array<() => void> = [];

	const isDraining = (targetId: string): boolean =>
		leavingTargetIds.has(targetId) || group.targets.some(target => target.targetId === targetId && target.isDraining);

	const standingOf = (targetId: string): TargetStanding =>
		isDraining(targetId) ? DRAINING_STANDING : HEALTHY_STANDING;

	return {
		standingOf,
		startAttempt: () => ({finish: () => undefined}),
		replaceGroup(newGroup) {
			group = newGroup;
			listeners.forEach(listener => {
				listener();
			});
		},
		markLeaving(targetId) {
			leavingTargetIds.add(targetId);
		},
		healthySlotCount: () =>
			group.targets.filter(target => !isDraining(target.targetId)).reduce((sum, target) => sum + target.slotCount, 0),
		subscribe(listener) {
			listeners.push(listener);
		},
		async run() {
			// Background tasks follow with the judgement of targets.
		},
	};
};
