import * as ports from '../ports/index.js';
import {createRefusedCalls, type CallTraits} from '../waiting/refused-calls.js';
import {createReturnSchedule} from '../waiting/return-schedule.js';

export type ReturningCallsParts = {
	readonly clock: Pick<ports.Clock, 'monotonicMs'>;
	/** Usual duration of the request's route, in ms. */
	readonly usualDurationMs: (request: ports.AcquireGrantRequest) => number;
	/** Slots of the group's sound targets. */
	readonly slotCount: () => number;
};

/** Calls that a dispatcher refuses and whose callers come back. */
export type ReturningCalls = {
	/** The request with the objective of its caller's first visit, if this dispatcher has refused that. */
	restoreObjective(request: ports.AcquireGrantRequest): ports.AcquireGrantRequest;
	/** Adds to the denial of the last request for a call when its caller should come back. */
	addReturnTime(request: ports.AcquireGrantRequest, denial: ports.GrantDenial): ports.GrantDenial;
};

export const createReturningCalls = ({clock, usualDurationMs, slotCount}: ReturningCallsParts): ReturningCalls => {
	const schedule = createReturnSchedule();
	const refusedCalls = createRefusedCalls();

	const readTraits = ({routeId, workspace = '', remainingMs}: ports.AcquireGrantRequest): CallTraits => ({
		routeId,
		workspace,
		deadlineAtMs: clock.monotonicMs() + remainingMs,
	});

	return {
		restoreObjective(request) {
			const nowMs = clock.monotonicMs();
			const objectiveAtMs = refusedCalls.findObjectiveAtMs(readTraits(request), nowMs);
			return objectiveAtMs === undefined
				? request
				: {...request, objectiveLeftMs: Math.min(request.objectiveLeftMs, objectiveAtMs - nowMs)};
		},
		addReturnTime(request, denial) {
			if (!request.isLastResort || denial.refusal !== ports.GrantRefusal.Busy) {
				return denial;
			}

			const {priority, remainingMs, objectiveLeftMs} = request;
			const {predictedWaitMs} = denial;
			const workMs = usualDurationMs(request);
			const nowMs = clock.monotonicMs();
			const startLeftMs = remainingMs - workMs;
			const refused = {priority, predictedWaitMs, startLeftMs, remainingMs, workMs, slotCount: slotCount()};
			const roomAfterMs = Math.round(schedule.allot(refused, nowMs));
			refusedCalls.record(readTraits(request), {
				objectiveAtMs: nowMs + objectiveLeftMs,
				returnAtMs: nowMs + roomAfterMs,
			});
			return {...denial, roomAfterMs};
		},
	};
};
