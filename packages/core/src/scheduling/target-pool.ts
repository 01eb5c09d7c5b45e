import * as domain from '@bilberrydoor/domain';
import type * as groupHealth from '../health/group-health.js';
import type * as ports from '../ports/index.js';
import type {TargetGroup} from '../routing/target-groups.js';
import {createAdaptiveLimit, type AdaptiveLimit} from './adaptive-limit.js';
import type {AdaptiveLimitOptions} from './scheduler-options.js';

/** Slots of one target. */
export type TargetSlots = {
	target: domain.TargetEntry;
	readonly limit: AdaptiveLimit;
	busySlotCount: number;
	/** Busy slots with calls of long and bulk work. */
	heavyCallCount: number;
	/** False once the target is no longer in the catalogue entry; calls in flight still finish. */
	isListed: boolean;
};

export type TargetRequirements = {
	readonly workClass: domain.WorkClass;
	readonly isRepeatable: boolean;
	/** Target of the previous attempt, which is not chosen again. */
	readonly excludedTargetId?: string;
};

/** Targets of a group with their slots. A group has at most 64 targets, so iterating over them has a bounded cost. */
export type TargetPool = {
	/** Number of slots that are open now on all targets together. */
	openSlotCount(): number;
	openSlotCountOf(slots: TargetSlots): number;
	/** The free target with the lowest load for its weight. */
	pick(requirements: TargetRequirements): TargetSlots | undefined;
	/** Whether a target other than the excluded one has open slots, free or busy. */
	hasCandidate(requirements: TargetRequirements): boolean;
	listTargets(): readonly TargetSlots[];
	replaceGroup(group: TargetGroup): void;
	/** Opens one more slot on each target whose limit allows it. Returns whether any slot was opened. */
	increaseLimits(): boolean;
};

/** Tolerance for the rounding error of a ratio times a slot count. */
const SLOT_COUNT_TOLERANCE = 1e-9;

export const createTargetPool = (dependencies: {
	clock: ports.Clock;
	group: TargetGroup;
	health: groupHealth.GroupHealth;
	options: AdaptiveLimitOptions;
}): TargetPool => {
	const {clock, health, options} = dependencies;
	let byTargetId = new Map<string, TargetSlots>();
	let listed: TargetSlots[] = [];
	let startIndex = 0;

	const createSlots = (target: domain.TargetEntry): TargetSlots => ({
		target,
		limit: createAdaptiveLimit({
			slotCount: target.slotCount,
			startRatio: options.startRatio,
			options,
			nowMs: clock.monotonicMs(),
		}),
		busySlotCount: 0,
		heavyCallCount: 0,
		isListed: true,
	});

	const replaceGroup = (group: TargetGroup): void => {
		const previousByTargetId = byTargetId;
		listed = group.targets.map(target => {
			const slots = previousByTargetId.get(target.targetId) ?? createSlots(target);
			slots.target = target;
			slots.limit.setSlotCount(target.slotCount);
			slots.isListed = true;
			return slots;
		});
		const listedIds = new Set(group.targets.map(target => target.targetId));
		// A removed target that is still busy is kept, so that its busy slots still count if it is added again.
		const removedSlots = [...previousByTargetId.values()].filter(
			slots => !listedIds.has(slots.target.targetId) && slots.busySlotCount > 0,
		);
		removedSlots.forEach(slots => {
			slots.isListed = false;
		});
		byTargetId = new Map([...listed, ...removedSlots].map(slots => [slots.target.targetId, slots]));
	};

	const openSlotCountOf = (slots: TargetSlots): number => {
		const {openRatio} = health.standingOf(slots.target.targetId);
		// A ratio above zero opens at least one slot; otherwise a target on probation with few slots would get no work.
		const allowedCount = Math.ceil(slots.target.slotCount * openRatio - SLOT_COUNT_TOLERANCE);
		return Math.min(slots.limit.limitCount(), allowedCount);
	};

	/**
	 * Short calls may also be in transit beyond the open slots, but not to a target that runs long or bulk work, behind
	 * which they would wait.
	 */
	const usableSlotCountOf = (slots: TargetSlots, {workClass}: TargetRequirements, nowMs: number): number => {
		const openCount = openSlotCountOf(slots);
		const isTransitAllowed =
			workClass === domain.WorkClass.Short && slots.heavyCallCount === 0 && openCount === slots.target.slotCount;
		return openCount + (isTransitAllowed ? slots.limit.transitCount(nowMs) : 0);
	};

	const scoreTarget = (slots: TargetSlots, requirements: TargetRequirements): number => {
		const {targetId} = slots.target;
		const standing = health.standingOf(targetId);
		const isExcluded =
			targetId === requirements.excludedTargetId || (standing.isRepeatableOnly && !requirements.isRepeatable);
		const openCount = isExcluded ? 0 : openSlotCountOf(slots);
		return openCount * standing.weight === 0 ? Infinity : (slots.busySlotCount + 1) / (openCount * standing.weight);
	};

	replaceGroup(dependencies.group);
	return {
		openSlotCount: () => listed.reduce((sum, slots) => sum + openSlotCountOf(slots), 0),
		openSlotCountOf,
		pick(requirements) {
			// Starting at another target each time spreads work over targets with equal scores.
			startIndex = listed.length === 0 ? 0 : (startIndex + 1) % listed.length;
			const nowMs = clock.monotonicMs();
			let best: TargetSlots | undefined;
			let bestScore = Infinity;
			for (let index = 0; index < listed.length; index++) {
				const slots = listed[(startIndex + index) % listed.length]!;
				const score = scoreTarget(slots, requirements);
				if (score < bestScore && slots.busySlotCount < usableSlotCountOf(slots, requirements, nowMs)) {
					best = slots;
					bestScore = score;
				}
			}

			return best;
		},
		hasCandidate: requirements => listed.some(slots => scoreTarget(slots, requirements) < Infinity),
		listTargets: () => listed,
		replaceGroup,
		increaseLimits() {
			const nowMs = clock.monotonicMs();
			return listed.map(slots => slots.limit.increase(nowMs)).includes(true);
		},
	};
};
