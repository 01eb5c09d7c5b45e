import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import type {Measure} from '../measure.js';
import {createKeyTableBaseline} from './key-table-baseline.js';
import {FAULT_EVENTS, OperationFault, RUN_MS} from './operation-faults.js';
import {measureRecordBytes} from './record-size.js';

const OPERATION_COUNT = 10_000;
const NODE_COUNT = 4;
/** Submissions of an operation: one, and up to four more through other nodes. */
const SUBMISSION_COUNT = 5;
const ROUTE_DEADLINE_MS = 1000;
const SUBMISSION_GAP_MS = 200;

/** Counts for the product or the baseline. */
type Tally = {
	readonly operations: number;
	readonly maxExecutions: number;
	/** Operations that were reported as `not-run` although they were executed. */
	readonly falseNotRun: number;
	/** Submitted operations for which no submission ended as `completed` or `not-run`. */
	readonly unknown: number;
	readonly wrongAnswers: number;
	readonly unended: number;
};

const EMPTY_TALLY: Tally = {operations: 0, maxExecutions: 0, falseNotRun: 0, unknown: 0, wrongAnswers: 0, unended: 0};

const addTallies = (left: Tally, right: Tally): Tally => ({
	operations: left.operations + right.operations,
	maxExecutions: Math.max(left.maxExecutions, right.maxExecutions),
	falseNotRun: left.falseNotRun + right.falseNotRun,
	unknown: left.unknown + right.unknown,
	wrongAnswers: left.wrongAnswers + right.wrongAnswers,
	unended: left.unended + right.unended,
});

const roundRatio = (part: number, total: number): number => Math.round((part / total) * 10_000) / 10_000;

const describeTally = ({operations, unknown, ...counts}: Tally) => ({
	maxExecutions: counts.maxExecutions,
	falseNotRun: counts.falseNotRun,
	unknownRatio: roundRatio(unknown, operations),
	wrongAnswers: counts.wrongAnswers,
	unended: counts.unended,
});

const tallyResult = ({submissions, executionCounts}: fakes.SimulationResult): Tally => {
	const findOperationsWith = (outcome: domain.Outcome): Set<number> =>
		new Set(submissions.filter(result => result.outcome === outcome).map(({operationIndex}) => operationIndex));
	const completed = findOperationsWith(domain.Outcome.Completed);
	const notRun = findOperationsWith(domain.Outcome.NotRun);
	// An operation for which no id could be minted was never submitted, so it has certainly not run.
	const submitted = new Set(submissions.map(({operationIndex}) => operationIndex));
	return {
		operations: executionCounts.length,
		maxExecutions: Math.max(...executionCounts),
		falseNotRun: [...notRun].filter(operation => executionCounts[operation]! > 0).length,
		unknown: [...submitted].filter(operation => !completed.has(operation) && !notRun.has(operation)).length,
		wrongAnswers: submissions.filter(({isAnswerCorrect}) => !isAnswerCorrect).length,
		unended: submissions.filter(({hasNoEnding}) => hasNoEnding).length,
	};
};

const planOperations = (count: number): fakes.PlannedOperation[] =>
	Array.from({length: count}, (_, index) => ({
		startAtMs: Math.floor((index * RUN_MS) / count),
		mintPlaceIndex: index % NODE_COUNT,
		waitMs: 0,
		submitPlaceIndexes: Array.from(
			{length: SUBMISSION_COUNT},
			(_submission, submissionIndex) => (index + submissionIndex) % NODE_COUNT,
		),
		gapMs: SUBMISSION_GAP_MS,
		isOverlapping: false,
	}));

/** Submits operations, which must run at most once, to the product and to the baseline under each fault. */
export const measureOperations: Measure = async ({seed, reportProgress}) => {
	const faults = Object.values(OperationFault);
	const byFault: Record<string, {product: number; baseline: number}> = {};
	let product = EMPTY_TALLY;
	let baseline = EMPTY_TALLY;
	for (const [index, fault] of faults.entries()) {
		const firstIndex = Math.floor((OPERATION_COUNT * index) / faults.length);
		const nextFirstIndex = Math.floor((OPERATION_COUNT * (index + 1)) / faults.length);
		const options = {
			seed: seed * faults.length + index,
			nodeCount: NODE_COUNT,
			operations: planOperations(nextFirstIndex - firstIndex),
			events: FAULT_EVENTS[fault],
			routeDeadlineMs: ROUTE_DEADLINE_MS,
		};
		const productTally = tallyResult(await fakes.simulateOperations(options));
		const baselineTally = tallyResult(
			await fakes.simulateOperations({
				...options,
				isMinting: false,
				createSubmit: fleet => createKeyTableBaseline(fleet, ROUTE_DEADLINE_MS),
			}),
		);
		product = addTallies(product, productTally);
		baseline = addTallies(baseline, baselineTally);
		byFault[fault] = {
			product: roundRatio(productTally.unknown, productTally.operations),
			baseline: roundRatio(baselineTally.unknown, baselineTally.operations),
		};
		reportProgress(`${fault}: product ${JSON.stringify(productTally)}, baseline ${JSON.stringify(baselineTally)}`);
	}

	return {
		operations: product.operations,
		product: describeTally(product),
		baseline: describeTally(baseline),
		bytesPerRecord: measureRecordBytes(),
		unknownRatioByFault: byFault,
	};
};
