import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as fastCheck from 'fast-check';
import {FakeTargetFault} from '../fake-target.js';
import {FleetEventKind} from '../fleet-event.js';
import {DEFAULT_SIMULATION_OPTIONS, simulateOperations} from '../simulate-operations.js';

const NODE_COUNT = 4;
const RUN_COUNT = 500;
const SEED = 20_261_204;

/** Index of the node that schedules the service; chosen more often than others, since its faults have most effect. */
const SCHEDULING_NODE_INDEX = 2;

const nodeIndexArbitrary = fastCheck.oneof(
	fastCheck.nat({max: NODE_COUNT - 1}),
	fastCheck.constant(SCHEDULING_NODE_INDEX),
);
const operationArbitrary = fastCheck.record({
	startAtMs: fastCheck.nat({max: 3000}),
	mintPlaceIndex: nodeIndexArbitrary,
	waitMs: fastCheck.constantFrom(0, 0, 400),
	submitPlaceIndexes: fastCheck.array(nodeIndexArbitrary, {minLength: 1, maxLength: 4}),
	gapMs: fastCheck.constantFrom(0, 5, 30, 400),
	isOverlapping: fastCheck.boolean(),
});
const eventArbitrary = fastCheck.record({
	atMs: fastCheck.nat({max: 4000}),
	kind: fastCheck.constantFrom(...Object.values(FleetEventKind)),
	nodeIndex: nodeIndexArbitrary,
	otherIndex: nodeIndexArbitrary,
	targetFault: fastCheck.constantFrom(...Object.values(FakeTargetFault)),
});
const scheduleArbitrary = fastCheck.record({
	seed: fastCheck.nat({max: 1_000_000}),
	operations: fastCheck.array(operationArbitrary, {minLength: 1, maxLength: 6}),
	events: fastCheck.array(eventArbitrary, {maxLength: 8}),
	expiryMs: fastCheck.constantFrom(300, 1500, 60_000),
	retentionMs: fastCheck.constantFrom(0, 60_000),
	serviceTimeMs: fastCheck.constantFrom(5, 80, 900),
	recordLimitCount: fastCheck.constantFrom(1, 1000),
	copyLimitBytes: fastCheck.constantFrom(0, 1_000_000),
});

// Guards against a second execution, a false `not-run`, a call without an ending and an answer to another request
// under any order of submissions, faults, pauses, planned stops and duplicated messages.
test('single work runs at most once and gets correct endings under random schedules', async t => {
	await fastCheck.assert(
		fastCheck.asyncProperty(
			scheduleArbitrary,
			async ({expiryMs, retentionMs, recordLimitCount, copyLimitBytes, ...plan}) => {
				const {submissions, executionCounts} = await simulateOperations({
					...plan,
					nodeCount: NODE_COUNT,
					operationLimit: {...DEFAULT_SIMULATION_OPTIONS.operationLimit, expiryMs, retentionMs},
					coolDownMs: 4000,
					settings: {
						operations: {
							recordLimitCount,
							copyLimitBytes,
							refusedIdLimitCount: 2,
							sweepPeriodMs: 400,
							lateAnswerMs: 1000,
						},
					},
				});
				const falseNotRun = submissions.filter(
					({outcome, operationIndex}) => outcome === domain.Outcome.NotRun && executionCounts[operationIndex]! > 0,
				);
				const wrongAnswers = submissions.filter(({isAnswerCorrect}) => !isAnswerCorrect);
				const unended = submissions.filter(({hasNoEnding}) => hasNoEnding);
				return (
					Math.max(...executionCounts) <= 1 &&
					falseNotRun.length === 0 &&
					wrongAnswers.length === 0 &&
					unended.length === 0
				);
			},
		),
		{numRuns: RUN_COUNT, seed: SEED},
	);
	t.pass();
});
