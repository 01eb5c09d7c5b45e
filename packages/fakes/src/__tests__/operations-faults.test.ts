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
const TARGET_INDEXES = [0, 1];

/** Index of the node that schedules the service, which is the executor of the ids minted at any node. */
const findExecutorIndex = async (): Promise<number> => {
	const eventFleet = await startOperationsFleet({...DEFAULT_SIMULATION_OPTIONS, nodeCount: NODE_COUNT});
	const {clock} = eventFleet.fleet;
	const minting = eventFleet.currentNodes[0]!.node.operations.mintOperations('malipo', 1, new AbortController().signal);
	const minted = await clock.runUntilSettled(minting, 1000);
	const address = minted._unsafeUnwrap()[0]!.split('~')[2];
	return eventFleet.places.findIndex(place => place.address === address);
};

const executorIndex = await findExecutorIndex();
const [entryIndex = 0, otherEntryIndex = 0] = Array.from({length: NODE_COUNT}, (_, index) => index).filter(
	index => index !== executorIndex,
);

const buildEvent = (atMs: number, kind: FleetEventKind, nodeIndex = executorIndex, otherIndex = 0): FleetEvent => ({
	atMs,
	kind,
	nodeIndex,
	otherIndex,
});
const buildTargetFaultEvents = (targetFault: FakeTargetFault, atMs = 0): FleetEvent[] =>
	TARGET_INDEXES.map(index => ({...buildEvent(atMs, Kind.SetTargetFault, executorIndex, index), targetFault}));
const buildTargetLinkEvents = (kind: FleetEventKind, atMs = 0): FleetEvent[] =>
	TARGET_INDEXES.map(index => buildEvent(atMs, kind, executorIndex, index));

type FaultCase = {
	readonly name: string;
	readonly events: readonly FleetEvent[];
	/** Ending of each submission; by default the first goes through `entryIndex`, the second through `otherEntryIndex`. */
	readonly expected: ReadonlyArray<readonly [domain.Outcome | undefined, domain.RefusalReason?]>;
	readonly executionCount: number;
	readonly gapMs?: number;
	/** Pause between the mint and the first submission, in ms. */
	readonly waitMs?: number;
	readonly startAtMs?: number;
	readonly options?: Partial<SimulationOptions>;
	readonly submitPlaceIndexes?: readonly number[];
};

const shortExpiry = {operationLimit: {...DEFAULT_SIMULATION_OPTIONS.operationLimit, expiryMs: 400}};

const CASES: readonly FaultCase[] = [
	{name: 'no fault', events: [], expected: [[Completed], [Completed]], executionCount: 1},
	{
		name: 'targets refuse connections',
		events: buildTargetFaultEvents(FakeTargetFault.Down),
		expected: [
			[NotRun, Reason.TargetUnreachable],
			[NotRun, Reason.TargetUnreachable],
		],
		executionCount: 0,
	},
	{
		name: 'targets recover after a refusal, and the id stays refused',
		events: [...buildTargetFaultEvents(FakeTargetFault.Shed), ...buildTargetFaultEvents(FakeTargetFault.None, 300)],
		gapMs: 500,
		expected: [
			[NotRun, Reason.TargetRefused],
			[NotRun, Reason.TargetRefused],
		],
		executionCount: 0,
	},
	{
		name: 'the path to the targets is cut',
		events: buildTargetLinkEvents(Kind.CutToTarget),
		expected: [
			[NotRun, Reason.TargetUnreachable],
			[NotRun, Reason.TargetUnreachable],
		],
		executionCount: 0,
	},
	{
		name: 'the return path from the targets is cut',
		events: buildTargetLinkEvents(Kind.CutFromTarget),
		expected: [
			[Unknown, Reason.TargetTimedOut],
			[Unknown, Reason.TargetTimedOut],
		],
		executionCount: 1,
	},
	{
		name: 'the connection breaks after the dispatch',
		events: buildTargetFaultEvents(FakeTargetFault.LoseAnswers),
		expected: [
			[Unknown, Reason.TargetLost],
			[Unknown, Reason.TargetLost],
		],
		executionCount: 1,
	},
	{
		name: 'the answer is truncated',
		events: buildTargetFaultEvents(FakeTargetFault.Truncate),
		expected: [
			[Unknown, Reason.TargetLost],
			[Unknown, Reason.TargetLost],
		],
		executionCount: 1,
	},
	{
		name: 'the target never answers',
		events: buildTargetFaultEvents(FakeTargetFault.Stall),
		expected: [
			[Unknown, Reason.TargetTimedOut],
			[Unknown, Reason.TargetTimedOut],
		],
		executionCount: 1,
	},
	{
		name: 'the answer arrives after the deadline and completes the operation',
		events: buildTargetFaultEvents(FakeTargetFault.Slow),
		options: {serviceTimeMs: 150},
		expected: [[Unknown, Reason.TargetTimedOut], [Completed]],
		executionCount: 1,
	},
	{
		name: 'the path to the executor is cut',
		events: [
			buildEvent(0, Kind.CutNodes, entryIndex, executorIndex),
			buildEvent(0, Kind.CutNodes, otherEntryIndex, executorIndex),
		],
		expected: [[Completed], [Completed]],
		executionCount: 1,
	},
	{
		name: 'the return path from the executor is cut',
		events: [
			buildEvent(0, Kind.CutNodes, executorIndex, entryIndex),
			buildEvent(0, Kind.CutNodes, executorIndex, otherEntryIndex),
		],
		expected: [[Completed], [Completed]],
		executionCount: 1,
	},
	{
		name: 'the executor is killed during the work',
		events: [buildEvent(50, Kind.KillNode)],
		startAtMs: 40,
		options: {serviceTimeMs: 300},
		expected: [
			[Unknown, Reason.ExecutorUnreachable],
			[Unknown, Reason.ExecutorUnreachable],
		],
		executionCount: 1,
	},
	{
		name: 'the executor is killed and restarted at its address, and the new incarnation receives the id',
		events: [buildEvent(100, Kind.RestartNode)],
		startAtMs: 40,
		submitPlaceIndexes: [entryIndex, executorIndex, executorIndex],
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
		events: [buildEvent(2, Kind.PauseNode), buildEvent(1800, Kind.ResumeNode)],
		options: shortExpiry,
		gapMs: 500,
		expected: [
			[Unknown, Reason.ExecutorUnreachable],
			[NotRun, Reason.OperationExpired],
		],
		executionCount: 0,
	},
	{
		name: 'the executor is paused while the target works',
		events: [buildEvent(20, Kind.PauseNode), buildEvent(1800, Kind.ResumeNode)],
		options: {...shortExpiry, serviceTimeMs: 100},
		gapMs: 500,
		expected: [[Unknown, Reason.ExecutorUnreachable], [Completed]],
		executionCount: 1,
	},
	{
		name: 'a planned stop before the submission makes the executor refuse the id',
		events: [buildEvent(2, Kind.StopNode)],
		waitMs: 500,
		expected: [
			[NotRun, Reason.OperationSealed],
			[NotRun, Reason.OperationSealed],
		],
		executionCount: 0,
	},
	{
		name: 'the executor is killed before the submission',
		events: [buildEvent(50, Kind.KillNode)],
		waitMs: 500,
		expected: [
			[Unknown, Reason.ExecutorUnreachable],
			[Unknown, Reason.ExecutorUnreachable],
		],
		executionCount: 0,
	},
	{
		name: 'the successor after a planned stop makes a planned stop too',
		events: [
			buildEvent(10, Kind.StopNode),
			buildEvent(2000, Kind.StopNode, otherEntryIndex),
			buildEvent(4000, Kind.StopNode, entryIndex),
		],
		gapMs: 7000,
		expected: [[Completed], [Completed]],
		executionCount: 1,
	},
	{
		name: 'a planned stop during the work hands the answer over',
		events: [buildEvent(10, Kind.StopNode)],
		options: {serviceTimeMs: 600},
		gapMs: 3000,
		expected: [[Completed], [Completed]],
		executionCount: 1,
	},
	{
		name: 'the entry node is killed during the work',
		events: [buildEvent(20, Kind.KillNode, entryIndex)],
		options: {serviceTimeMs: 100},
		expected: [[undefined], [Completed]],
		executionCount: 1,
	},
	{
		name: 'messages arrive twice and out of order',
		events: [buildEvent(0, Kind.Duplicate)],
		expected: [[Completed], [Completed]],
		executionCount: 1,
	},
	{
		name: 'there is no room for a record',
		events: [],
		options: {settings: {operations: {recordLimitCount: 0}}},
		expected: [
			[NotRun, Reason.OperationRecordsFull],
			[NotRun, Reason.OperationRecordsFull],
		],
		executionCount: 0,
	},
	{
		name: 'there is no room for a record or a refused id',
		events: [],
		options: {settings: {operations: {recordLimitCount: 0, refusedIdLimitCount: 0}}},
		expected: [
			[Unknown, Reason.OperationRecordsFull],
			[Unknown, Reason.OperationRecordsFull],
		],
		executionCount: 0,
	},
	{
		name: 'the answer is larger than the limit for stored copies',
		events: [],
		options: {operationLimit: {...DEFAULT_SIMULATION_OPTIONS.operationLimit, answerCopyLimitBytes: 1}},
		expected: [[Completed], [Unknown, Reason.AnswerTooLarge]],
		executionCount: 1,
	},
];

// Each row guards against a second execution or a false ending for a fault at one point of the path.
CASES.forEach(
	({name, events, expected, executionCount, gapMs = 0, waitMs = 0, startAtMs = 1, options, submitPlaceIndexes}) => {
		test(`single work: ${name}`, async t => {
			const result = await simulateOperations({
				...options,
				nodeCount: NODE_COUNT,
				events,
				operations: [
					{
						startAtMs,
						mintPlaceIndex: otherEntryIndex,
						waitMs,
						submitPlaceIndexes: submitPlaceIndexes ?? [entryIndex, otherEntryIndex],
						gapMs,
						isOverlapping: false,
						shouldResubmitEnded: true,
					},
				],
			});
			t.deepEqual(
				result.submissions.map(({outcome, reason}) => [outcome, reason]),
				expected.map(([outcome, reason]) => [outcome, reason]),
			);
			t.deepEqual(result.executionCounts, [executionCount]);
			t.deepEqual(
				result.submissions.filter(({hasNoEnding, isAnswerCorrect}) => hasNoEnding || !isAnswerCorrect),
				[],
			);
		});
	},
);
