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

/** Place of the node that schedules the service and so is the executor of most ids. */
export const EXECUTOR_PLACE = 2;
const OTHER_PLACES = [0, 1, 3];
const TARGETS = [0, 1];

/** The fault lasts for the middle third of the submissions. */
export const FAULT_START_MS = 2000;
export const FAULT_END_MS = 4000;
export const RUN_MS = 6000;

const Kind = fakes.FleetEventKind;

const at = (atMs: number, kind: fakes.FleetEventKind, node = EXECUTOR_PLACE, other = 0): fakes.FleetEvent => ({
	atMs,
	kind,
	node,
	other,
});

const faultTargets = (targetFault: fakes.FakeTargetFault): fakes.FleetEvent[] =>
	TARGETS.flatMap(index => [
		{...at(FAULT_START_MS, Kind.SetTargetFault, EXECUTOR_PLACE, index), targetFault},
		{...at(FAULT_END_MS, Kind.SetTargetFault, EXECUTOR_PLACE, index), targetFault: fakes.FakeTargetFault.None},
	]);

const heal = at(FAULT_END_MS, Kind.Heal);

/** Every node loses its way to or from the targets. */
const cutTargets = (kind: fakes.FleetEventKind): fakes.FleetEvent[] => [
	...[EXECUTOR_PLACE, ...OTHER_PLACES].flatMap(place => TARGETS.map(index => at(FAULT_START_MS, kind, place, index))),
	heal,
];

/** Events of each fault. */
export const FAULT_EVENTS: Record<OperationFault, readonly fakes.FleetEvent[]> = {
	[OperationFault.None]: [],
	[OperationFault.TargetsRefuseConnections]: faultTargets(fakes.FakeTargetFault.Down),
	[OperationFault.TargetsShed]: faultTargets(fakes.FakeTargetFault.Shed),
	[OperationFault.AnswersLost]: faultTargets(fakes.FakeTargetFault.LoseAnswers),
	[OperationFault.AnswersBroken]: faultTargets(fakes.FakeTargetFault.Truncate),
	[OperationFault.TargetsStall]: faultTargets(fakes.FakeTargetFault.Stall),
	[OperationFault.AnswersLate]: faultTargets(fakes.FakeTargetFault.Slow),
	[OperationFault.CutToTargets]: cutTargets(Kind.CutToTarget),
	[OperationFault.CutFromTargets]: cutTargets(Kind.CutFromTarget),
	[OperationFault.CutToExecutor]: [
		...OTHER_PLACES.slice(1).map(place => at(FAULT_START_MS, Kind.CutNodes, place, EXECUTOR_PLACE)),
		heal,
	],
	[OperationFault.CutFromExecutor]: [
		...OTHER_PLACES.slice(1).map(place => at(FAULT_START_MS, Kind.CutNodes, EXECUTOR_PLACE, place)),
		heal,
	],
	[OperationFault.MessagesDuplicated]: [at(0, Kind.Duplicate)],
	[OperationFault.EntryKilled]: [at(FAULT_START_MS, Kind.KillNode, OTHER_PLACES[0])],
	[OperationFault.ExecutorKilled]: [at(FAULT_START_MS, Kind.KillNode)],
	[OperationFault.ExecutorRestarted]: [at(FAULT_START_MS, Kind.RestartNode)],
	[OperationFault.ExecutorPaused]: [at(FAULT_START_MS, Kind.PauseNode), at(FAULT_END_MS, Kind.ResumeNode)],
	[OperationFault.ExecutorStopped]: [at(FAULT_START_MS, Kind.StopNode)],
};
