import * as domain from '@bilberrydoor/domain';

/** An attempt that has not ended. */
export type AttemptInFlight = {
	readonly targetId: string;
	readonly workClass: domain.WorkClass;
	/** Instant on this node's monotonic clock, in ms. */
	startedAtMs: number;
	/** Number of times that it has been reported as overdue. */
	overdueCount: number;
};

/** Tracks attempts in flight, so that a slow one is reported as soon as it is overdue and not when it ends. */
export type AttemptWatch = {
	start(targetId: string, workClass: domain.WorkClass, nowMs: number): AttemptInFlight;
	finish(attempt: AttemptInFlight): void;
	/**
	 * Reports each attempt whose age exceeds the limit of its class, and reports it again as its age grows, because a
	 * stalled target whose slots are all in use yields no other results. The cost is linear in the number of overdue
	 * attempts.
	 */
	reportOverdue(
		nowMs: number,
		limitMsOf: (workClass: domain.WorkClass) => number | undefined,
		onOverdue: (attempt: AttemptInFlight) => void,
	): void;
	/** Excludes a pause of this process from the age of all attempts, in ms. */
	excludePause(pauseMs: number): void;
};

/** An attempt is reported again each time its age has grown by this factor. */
const OVERDUE_GROWTH_FACTOR = 1.5;
/**
 * Highest number of reports for one attempt. Five bad results eject a target, so a single long-running attempt must
 * yield fewer.
 */
const OVERDUE_REPORT_LIMIT_COUNT = 3;

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
		reportOverdue(nowMs, limitMsOf, onOverdue) {
			WORK_CLASSES.forEach(workClass => {
				const limitMs = limitMsOf(workClass) ?? Infinity;
				for (const attempt of attemptsByClass[workClass]) {
					const ageMs = nowMs - attempt.startedAtMs;
					if (ageMs < limitMs) {
						break;
					}

					if (
						attempt.overdueCount < OVERDUE_REPORT_LIMIT_COUNT &&
						ageMs >= limitMs * OVERDUE_GROWTH_FACTOR ** attempt.overdueCount
					) {
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
