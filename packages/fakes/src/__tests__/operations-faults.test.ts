import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {FakeTargetFault} from '../fake-target.js';
import {type FleetEvent, FleetEventKind} from '../fleet-event.js';
import {
	DEFAULT_SIMULATION_OPTIONS,
	simulateOperations,
	type SimulationOptions,
	startOperationsFleet,
} from '../simulate-operations.js';

const {Completed, NotRun, Unknown} = domain.Outcome;
const Kind = FleetEventKind;
const Reason = domain.RefusalReason;
const NODE_COUNT = 4;
const TARGETS = [0, 1];

/** Place of the node that schedules the service, which is the executor of ids minted anywhere. */
const findExecutorPlace = async (): Promise<number> => {
	const eventFleet = await startOperationsFleet({...DEFAULT_SIMULATION_OPTIONS, nodeCount: NODE_COUNT});
	const {clock} = eventFleet.fleet;
	const minting = eventFleet.current[0]!.node.operations.mintOperations('malipo', 1, new AbortController().signal);
	const minted = await clock.runUntilSettled(minting, 1000);
	const address = minted._unsafeUnwrap()[0]!.split('~')[2];
	return eventFleet.places.findIndex(place => place.address === address);
};

const executor = await findExecutorPlace();
const [entry = 0, other = 0] = Array.from({length: NODE_COUNT}, (_, index) => index).filter(
	index => index !== executor,
);

const at = (atMs: number, kind: FleetEventKind, node = executor, otherPlace = 0): FleetEvent => ({
	atMs,
	kind,
	node,
	other: otherPlace,
});
const onTargets = (targetFault: FakeTargetFault, atMs = 0): FleetEvent[] =>
	TARGETS.map(index => ({...at(atMs, Kind.SetTargetFault, executor, index), targetFault}));
const onLinks = (kind: FleetEventKind, atMs = 0): FleetEvent[] => TARGETS.map(index => at(atMs, kind, executor, index));

type FaultCase = {
	readonly name: string;
	readonly events: readonly FleetEvent[];
	/** Ending of each submission; the first goes through `entry`, the second through `other`. */
	readonly expected: ReadonlyArray<readonly [domain.Outcome | undefined, domain.RefusalReason?]>;
	readonly executionCount: number;
	readonly gapMs?: number;
	/** Pause between the mint and the first submission, in ms. */
	readonly waitMs?: number;
	readonly startAtMs?: number;
	readonly options?: Partial<SimulationOptions>;
	readonly submitAt?: readonly number[];
};

const lateAnswers = {operationLimit: {...DEFAULT_SIMULATION_OPTIONS.operationLimit, expiryMs: 400}};

const CASES: readonly FaultCase[] = [
	{name: 'no fault', events: [], expected: [[Completed], [Completed]], executionCount: 1},
	{
		name: 'targets refuse connections',
		events: onTargets(FakeTargetFault.Down),
		expected: [
			[NotRun, Reason.TargetUnreachable],
			[NotRun, Reason.TargetUnreachable],
		],
		executionCount: 0,
	},
	{
		name: 'targets come back after a refusal, which stays sealed',
		events: [...onTargets(FakeTargetFault.Shed), ...onTargets(FakeTargetFault.None, 300)],
		gapMs: 500,
		expected: [
			[NotRun, Reason.TargetRefused],
			[NotRun, Reason.TargetRefused],
		],
		executionCount: 0,
	},
	{
		name: 'the way to the targets is cut',
		events: onLinks(Kind.CutToTarget),
		expected: [
			[NotRun, Reason.TargetUnreachable],
			[NotRun, Reason.TargetUnreachable],
		],
		executionCount: 0,
	},
	{
		name: 'the way back from the targets is cut',
		events: onLinks(Kind.CutFromTarget),
		expected: [
			[Unknown, Reason.TargetTimedOut],
			[Unknown, Reason.TargetTimedOut],
		],
		executionCount: 1,
	},
	{
		name: 'the connection breaks after the dispatch',
		events: onTargets(FakeTargetFault.LoseAnswers),
		expected: [
			[Unknown, Reason.TargetLost],
			[Unknown, Reason.TargetLost],
		],
		executionCount: 1,
	},
	{
		name: 'the answer breaks off half way',
		events: onTargets(FakeTargetFault.Truncate),
		expected: [
			[Unknown, Reason.TargetLost],
			[Unknown, Reason.TargetLost],
		],
		executionCount: 1,
	},
	{
		name: 'the target never answers',
		events: onTargets(FakeTargetFault.Stall),
		expected: [
			[Unknown, Reason.TargetTimedOut],
			[Unknown, Reason.TargetTimedOut],
		],
		executionCount: 1,
	},
	{
		name: 'the answer comes after the deadline and settles the operation',
		events: onTargets(FakeTargetFault.Slow),
		options: {serviceTimeMs: 150},
		expected: [[Unknown, Reason.TargetTimedOut], [Completed]],
		executionCount: 1,
	},
	{
		name: 'the way to the executor is cut',
		events: [at(0, Kind.CutNodes, entry, executor), at(0, Kind.CutNodes, other, executor)],
		expected: [[Completed], [Completed]],
		executionCount: 1,
	},
	{
		name: 'the way back from the executor is cut',
		events: [at(0, Kind.CutNodes, executor, entry), at(0, Kind.CutNodes, executor, other)],
		expected: [[Completed], [Completed]],
		executionCount: 1,
	},
	{
		name: 'the executor is killed during the work',
		events: [at(50, Kind.KillNode)],
		startAtMs: 40,
		options: {serviceTimeMs: 300},
		expected: [
			[Unknown, Reason.ExecutorUnreachable],
			[Unknown, Reason.ExecutorUnreachable],
		],
		executionCount: 1,
	},
	{
		name: 'the executor is killed and restarted on its address, and the new run gets the id itself',
		events: [at(100, Kind.RestartNode)],
		startAtMs: 40,
		submitAt: [entry, executor, executor],
		options: {serviceTimeMs: 300},
		gapMs: 500,
		expected: [
			[Unknown, Reason.ExecutorUnreachable],
			[Unknown, Reason.ExecutorUnreachable],
			[Unknown, Reason.ExecutorUnreachable],
		],
		executionCount: 1,
	},
	{
		name: 'the executor is paused past the expiry before the work is sent',
		events: [at(2, Kind.PauseNode), at(1800, Kind.ResumeNode)],
		options: lateAnswers,
		gapMs: 500,
		expected: [
			[Unknown, Reason.ExecutorUnreachable],
			[NotRun, Reason.OperationExpired],
		],
		executionCount: 0,
	},
	{
		name: 'the executor is paused while the target works',
		events: [at(20, Kind.PauseNode), at(1800, Kind.ResumeNode)],
		options: {...lateAnswers, serviceTimeMs: 100},
		gapMs: 500,
		expected: [[Unknown, Reason.ExecutorUnreachable], [Completed]],
		executionCount: 1,
	},
	{
		name: 'a planned stop before the submission seals the id',
		events: [at(2, Kind.StopNode)],
		waitMs: 500,
		expected: [
			[NotRun, Reason.OperationSealed],
			[NotRun, Reason.OperationSealed],
		],
		executionCount: 0,
	},
	{
		name: 'the executor is killed before the submission',
		events: [at(50, Kind.KillNode)],
		waitMs: 500,
		expected: [
			[Unknown, Reason.ExecutorUnreachable],
			[Unknown, Reason.ExecutorUnreachable],
		],
		executionCount: 0,
	},
	{
		name: 'the successor of a planned stop stops as planned too',
		events: [at(10, Kind.StopNode), at(2000, Kind.StopNode, other), at(4000, Kind.StopNode, entry)],
		gapMs: 7000,
		expected: [[Completed], [Completed]],
		executionCount: 1,
	},
	{
		name: 'a planned stop during the work hands the answer over',
		events: [at(10, Kind.StopNode)],
		options: {serviceTimeMs: 600},
		gapMs: 3000,
		expected: [[Completed], [Completed]],
		executionCount: 1,
	},
	{
		name: 'the entry node is killed during the work',
		events: [at(20, Kind.KillNode, entry)],
		options: {serviceTimeMs: 100},
		expected: [[undefined], [Completed]],
		executionCount: 1,
	},
	{
		name: 'messages arrive twice and out of order',
		events: [at(0, Kind.Duplicate)],
		expected: [[Completed], [Completed]],
		executionCount: 1,
	},
	{
		name: 'the records are full',
		events: [],
		options: {settings: {operations: {recordLimitCount: 0}}},
		expected: [
			[NotRun, Reason.OperationRecordsFull],
			[NotRun, Reason.OperationRecordsFull],
		],
		executionCount: 0,
	},
	{
		name: 'neither a record nor a seal has room',
		events: [],
		options: {settings: {operations: {recordLimitCount: 0, sealLimitCount: 0}}},
		expected: [
			[Unknown, Reason.OperationRecordsFull],
			[Unknown, Reason.OperationRecordsFull],
		],
		executionCount: 0,
	},
	{
		name: 'the answer is larger than the copy that is kept',
		events: [],
		options: {operationLimit: {...DEFAULT_SIMULATION_OPTIONS.operationLimit, answerCopyLimitBytes: 1}},
		expected: [[Completed], [Unknown, Reason.AnswerTooLarge]],
		executionCount: 1,
	},
];

// Each row guards against a second execution or an untrue ending at one point of the path.
CASES.forEach(({name, events, expected, executionCount, gapMs = 0, waitMs = 0, startAtMs = 1, options, submitAt}) => {
	test(`single work: ${name}`, async t => {
		const result = await simulateOperations({
			...options,
			nodeCount: NODE_COUNT,
			events,
			operations: [
				{
					startAtMs,
					mintAt: other,
					waitMs,
					submitAt: submitAt ?? [entry, other],
					gapMs,
					isImpatient: false,
					isInsistent: true,
				},
			],
		});
		t.deepEqual(
			result.submissions.map(({outcome, reason}) => [outcome, reason]),
			expected.map(([outcome, reason]) => [outcome, reason]),
		);
		t.deepEqual(result.executionCounts, [executionCount]);
		t.deepEqual(
			result.submissions.filter(({isUnended, isRightAnswer}) => isUnended || !isRightAnswer),
			[],
		);
	});
});
