/** What a call waits for. */
export enum AttemptKind {
	First = 'first',
	/** The call has failed, and fails for its caller without this attempt. */
	Retry = 'retry',
	/** The call still has an attempt that may succeed. */
	Replacement = 'replacement',
}

/** Part of a priority. A lower one goes first. */
export enum WaitingClass {
	/**
	 * Retries are few, since the retry budget bounds them. Behind the first attempts they would get no slot while all are in
	 * use, and each ends as a failure.
	 */
	Retry = 0,
	/** The call can still meet its objective. */
	InTime = 1,
	/** The call has missed its objective, or will if it starts now. */
	Late = 2,
	Replacement = 3,
}

/** A call that waits for a slot, as far as its place depends on it. */
export type WaitingCall = {
	/** 0 is the highest. */
	readonly priority: number;
	/** Workspaces share the slots of a priority; calls without one share those of the empty name. */
	readonly workspace: string;
	readonly kind: AttemptKind;
	/** Higher for calls that arrived later. */
	readonly arrivalNumber: number;
	/** Latest time at which the call can start and usually end within its objective, on the monotonic clock, in ms. */
	readonly objectiveStartMs: number;
	/** Latest time at which the call can start and usually end before its deadline, on the monotonic clock, in ms. */
	readonly deadlineStartMs: number;
	/** Usual duration of the call's route in whole ms, at least 1. */
	readonly workMs: number;
};

const CLASSES: Record<AttemptKind, (call: WaitingCall, nowMs: number) => WaitingClass> = {
	[AttemptKind.Retry]: () => WaitingClass.Retry,
	[AttemptKind.First]: ({objectiveStartMs}, nowMs) =>
		objectiveStartMs < nowMs ? WaitingClass.Late : WaitingClass.InTime,
	[AttemptKind.Replacement]: () => WaitingClass.Replacement,
};

/** The part of its priority to which a call belongs at a time. */
export const classify = (call: WaitingCall, nowMs: number): WaitingClass => CLASSES[call.kind](call, nowMs);

/** Latest useful start of a call, by its objective while that can be met and by its deadline afterwards. */
const LATEST_STARTS: Record<WaitingClass, (call: WaitingCall) => number> = {
	[WaitingClass.Retry]: ({deadlineStartMs}) => deadlineStartMs,
	[WaitingClass.InTime]: ({objectiveStartMs, deadlineStartMs}) => Math.min(objectiveStartMs, deadlineStartMs),
	[WaitingClass.Late]: ({deadlineStartMs}) => deadlineStartMs,
	[WaitingClass.Replacement]: ({deadlineStartMs}) => deadlineStartMs,
};

/** Latest useful start of a call as one of a class, on the monotonic clock, in ms. */
export const readLatestStartMs = (call: WaitingCall, waitingClass: WaitingClass): number =>
	LATEST_STARTS[waitingClass](call);

/** Order of the calls of one workspace within a class: by the latest useful start, then by arrival. */
export const createCallComparison = (waitingClass: WaitingClass) => {
	const readStartMs = LATEST_STARTS[waitingClass];
	return (left: WaitingCall, right: WaitingCall): number =>
		readStartMs(left) - readStartMs(right) || left.arrivalNumber - right.arrivalNumber;
};
