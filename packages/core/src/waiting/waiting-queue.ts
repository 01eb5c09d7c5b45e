import {createPriorityLevel, type PriorityLevel} from './priority-level.js';
import {classify, type WaitingCall, type WaitingClass} from './waiting-call.js';

/**
 * Waiting calls in the order in which they get slots: by priority, by class, by what is due to their workspaces, by the latest start
 * that still meets their objective or deadline, and by arrival. Each operation costs the logarithm of their number.
 */
export type WaitingQueue<Call extends WaitingCall> = {
	add(call: Call, nowMs: number): void;
	/** Removes a call that got no slot. Its workspace is not charged. */
	remove(call: Call): void;
	/** Removes a call that got a slot. */
	take(call: Call): void;
	/** The next call to get a slot. Calls that have become late are moved behind the others. */
	next(nowMs: number): Call | undefined;
	count(): number;
	/** Work of the calls that would get slots before a new one, in ms. */
	workBeforeMs(call: WaitingCall, nowMs: number): number;
};

export const createWaitingQueue = <Call extends WaitingCall>(): WaitingQueue<Call> => {
	/** Levels with waiting calls, the highest priority first. */
	let levels: ReadonlyArray<readonly [priority: number, level: PriorityLevel<Call>]> = [];
	const placements = new Map<Call, {readonly level: PriorityLevel<Call>; readonly waitingClass: WaitingClass}>();

	const findOrCreateLevel = (priority: number): PriorityLevel<Call> => {
		const existing = levels.find(([candidate]) => candidate === priority);
		if (existing) {
			return existing[1];
		}

		const level = createPriorityLevel<Call>();
		levels = [...levels, [priority, level] as const].toSorted(([left], [right]) => left - right);
		return level;
	};

	const place = (call: Call, level: PriorityLevel<Call>, waitingClass: WaitingClass): void => {
		level.add(call, waitingClass);
		placements.set(call, {level, waitingClass});
	};

	const removeEmptyLevel = (level: PriorityLevel<Call>): void => {
		if (level.count() === 0) {
			levels = levels.filter(([, candidate]) => candidate !== level);
		}
	};

	const detach = (call: Call): PriorityLevel<Call> | undefined => {
		const placement = placements.get(call);
		placement?.level.remove(call, placement.waitingClass);
		placements.delete(call);
		return placement?.level;
	};

	return {
		add(call, nowMs) {
			place(call, findOrCreateLevel(call.priority), classify(call, nowMs));
		},
		remove(call) {
			const level = detach(call);
			if (level) {
				removeEmptyLevel(level);
			}
		},
		take(call) {
			const level = detach(call);
			if (level) {
				level.charge(call);
				removeEmptyLevel(level);
			}
		},
		next(nowMs) {
			for (;;) {
				const level = levels[0]?.[1];
				const next = level?.next();
				if (!level || !next) {
					return undefined;
				}

				const waitingClass = classify(next.call, nowMs);
				if (waitingClass === next.waitingClass) {
					return next.call;
				}

				detach(next.call);
				place(next.call, level, waitingClass);
			}
		},
		count: () => placements.size,
		workBeforeMs(call, nowMs) {
			const higherWorkMs = levels
				.filter(([priority]) => priority < call.priority)
				.reduce((sum, [, level]) => sum + level.workMs(), 0);
			const own = levels.find(([priority]) => priority === call.priority);
			return higherWorkMs + (own?.[1].workBeforeMs(call, classify(call, nowMs)) ?? 0);
		},
	};
};
