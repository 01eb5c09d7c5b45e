import * as fakes from '@bilberrydoor/fakes';

/** Faults of the measurement `operations`. */
export enum OperationFault {
	None = 'none',
	TargetsRefuseConnections = 'targets-refuse-connections',
	TargetsShed = 'targets-shed',
	AnswersLost = 'answers-lost',
	AnswersBroken = 'answers-broken',
	TargetsStall = 'targets-stall',
	AnswersLate = 'answers-late',
	CutToTargets = 'cut-to-targets',
	CutFromTargets = 'cut-from-targets',
	CutToExecutor = 'cut-to-executor',
	CutFromExecutor = 'cut-from-executor',
	MessagesDuplicated = 'messages-duplicated',
	EntryKilled = 'entry-killed',
	ExecutorKilled = 'executor-killed',
	ExecutorRestarted = 'executor-restarted',
	ExecutorPaused = 'executor-paused',
	ExecutorStopped = 'executor-stopped',
}

/** Index of the node that schedules the service and is therefore the executor of most ids. */
export const EXECUTOR_INDEX = 2;
const OTHER_INDEXES = [0, 1, 3];
const TARGET_INDEXES = [0, 1];

/** Faults last for the middle third of the submissions. */
export const FAULT_START_MS = 2000;
export const FAULT_END_MS = 4000;
export const RUN_MS = 6000;

const Kind = fakes.FleetEventKind;

const createEvent = (
	atMs: number,
	kind: fakes.FleetEventKind,
	nodeIndex = EXECUTOR_INDEX,
	otherIndex = 0,
): fakes.FleetEvent => ({
	atMs,
	kind,
	nodeIndex,
	otherIndex,
});

const createTargetFaultEvents = (targetFault: fakes.FakeTargetFault): fakes.FleetEvent[] =>
	TARGET_INDEXES.flatMap(index => [
		{...createEvent(FAULT_START_MS, Kind.SetTargetFault, EXECUTOR_INDEX, index), targetFault},
		{...createEvent(FAULT_END_MS, Kind.SetTargetFault, EXECUTOR_INDEX, index), targetFault: fakes.FakeTargetFault.None},
	]);

const HEAL_EVENT = createEvent(FAULT_END_MS, Kind.Heal);

/** Cuts the network between all nodes and all targets in the direction that `kind` gives. */
const createTargetCutEvents = (kind: fakes.FleetEventKind): fakes.FleetEvent[] => [
	...[EXECUTOR_INDEX, ...OTHER_INDEXES].flatMap(nodeIndex =>
		TARGET_INDEXES.map(targetIndex => createEvent(FAULT_START_MS, kind, nodeIndex, targetIndex)),
	),
	HEAL_EVENT,
];

/** Events that cause and end each fault. */
export const FAULT_EVENTS: Record<OperationFault, readonly fakes.FleetEvent[]> = {
	[OperationFault.None]: [],
	[OperationFault.TargetsRefuseConnections]: createTargetFaultEvents(fakes.FakeTargetFault.Down),
	[OperationFault.TargetsShed]: createTargetFaultEvents(fakes.FakeTargetFault.Shed),
	[OperationFault.AnswersLost]: createTargetFaultEvents(fakes.FakeTargetFault.LoseAnswers),
	[OperationFault.AnswersBroken]: createTargetFaultEvents(fakes.FakeTargetFault.Truncate),
	[OperationFault.TargetsStall]: createTargetFaultEvents(fakes.FakeTargetFault.Stall),
	[OperationFault.AnswersLate]: createTargetFaultEvents(fakes.FakeTargetFault.Slow),
	[OperationFault.CutToTargets]: createTargetCutEvents(Kind.CutToTarget),
	[OperationFault.CutFromTargets]: createTargetCutEvents(Kind.CutFromTarget),
	[OperationFault.CutToExecutor]: [
		...OTHER_INDEXES.slice(1).map(index => createEvent(FAULT_START_MS, Kind.CutNodes, index, EXECUTOR_INDEX)),
		HEAL_EVENT,
	],
	[OperationFault.CutFromExecutor]: [
		...OTHER_INDEXES.slice(1).map(index => createEvent(FAULT_START_MS, Kind.CutNodes, EXECUTOR_INDEX, index)),
		HEAL_EVENT,
	],
	[OperationFault.MessagesDuplicated]: [createEvent(0, Kind.Duplicate)],
	[OperationFault.EntryKilled]: [createEvent(FAULT_START_MS, Kind.KillNode, OTHER_INDEXES[0])],
	[OperationFault.ExecutorKilled]: [createEvent(FAULT_START_MS, Kind.KillNode)],
	[OperationFault.ExecutorRestarted]: [createEvent(FAULT_START_MS, Kind.RestartNode)],
	[OperationFault.ExecutorPaused]: [
		createEvent(FAULT_START_MS, Kind.PauseNode),
		createEvent(FAULT_END_MS, Kind.ResumeNode),
	],
	[OperationFault.ExecutorStopped]: [createEvent(FAULT_START_MS, Kind.StopNode)],
};
