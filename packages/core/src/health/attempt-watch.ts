import * as domain from '@bilberrydoor/domain';

/** An attempt that has not ended. */
export type AttemptInFlight = {
	readonly targetId: string;
	readonly workClass: domain.WorkClass;
	/** Instant on this node's monotonic clock, in ms. */
	startedAtMs: number;
	/** How often it has counted as overdue. */
	overdueCount: number;
};

/** Attempts in flight, so that one which takes too long counts when it is due and not when it ends. */
export type AttemptWatch = {
	start(targetId: string, workClass: domain.WorkClass, nowMs: number): AttemptInFlight;
	finish(attempt: AttemptInFlight): void;
	/**
	 * Reports each attempt that has become overdue: at its class's limit, and again as its age grows, since a stall yields
	 * no other results while it holds all slots. Costs the number of overdue attempts.
	 */
	collectOverdue(
		nowMs: number,
		limitMsOf: (workClass: domain.WorkClass) => number | undefined,
		onOverdue: (attempt: AttemptInFlight) => void,
	): void;
	/** Moves all starts forward by a time in which this process did not run, in ms. */
	excludePause(pauseMs: number): void;
};

/** An attempt counts again when its age has grown by this factor. */
const OVERDUE_GROWTH = 1.5;
/** Counts of one attempt. Below the five that eject, so that one unusually long piece of work ejects no target. */
const OVERDUE_LIMIT_COUNT = 3;

const WORK_CLASSES = Object.values(domain.WorkClass);

export const createAttemptWatch = (): AttemptWatch => {
	// A set keeps the order of insertion, so the oldest attempt of a class comes first.
	const attemptsByClass: Readonly<Record<domain.WorkClass, Set<AttemptInFlight>>> = {
		[domain.WorkClass.Short]: new Set(),
		[domain.WorkClass.Long]: new Set(),
		[domain.WorkClass.Bulk]: new Set(),
	};

	return {
		start(targetId, workClass, nowMs) {
			const attempt: AttemptInFlight = {targetId, workClass, startedAtMs: nowMs, overdueCount: 0};
			attemptsByClass[workClass].add(attempt);
			return attempt;
		},
		finish(attempt) {
			attemptsByClass[attempt.workClass].delete(attempt);
		},
		collectOverdue(nowMs, limitMsOf, onOverdue) {
			WORK_CLASSES.forEach(workClass => {
				const limitMs = limitMsOf(workClass) ?? Infinity;
				for (const attempt of attemptsByClass[workClass]) {
					const ageMs = nowMs - attempt.startedAtMs;
					if (ageMs < limitMs) {
						break;
					}

					if (attempt.overdueCount < OVERDUE_LIMIT_COUNT && ageMs >= limitMs * OVERDUE_GROWTH ** attempt.overdueCount) {
						attempt.overdueCount++;
						onOverdue(attempt);
					}
				}
			});
		},
		excludePause(pauseMs) {
			WORK_CLASSES.forEach(workClass => {
				attemptsByClass[workClass].forEach(attempt => {
					attempt.startedAtMs += pauseMs;
				});
			});
		},
	};
};
