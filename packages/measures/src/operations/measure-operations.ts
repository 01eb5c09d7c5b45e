import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import type {Measure} from '../measure.js';
import {createKeyTableBaseline} from './key-table-baseline.js';
import {FAULT_EVENTS, OperationFault, RUN_MS} from './operation-faults.js';
import {measureRecordBytes} from './record-size.js';

const OPERATION_COUNT = 10_000;
const NODE_COUNT = 4;
/** One submission and up to four more through different nodes. */
const SUBMISSION_COUNT = 5;
const DEADLINE_MS = 1000;
const GAP_MS = 200;

/** What one way of handling single work gave. */
type Tally = {
	readonly operations: number;
	readonly maxExecutions: number;
	/** Operations of which a caller was told `not-run` though they ran. */
	readonly falseNotRun: number;
	/** Operations whose ending no submission told. */
	readonly unknown: number;
	readonly wrongAnswers: number;
	readonly unended: number;
};

const EMPTY: Tally = {operations: 0, maxExecutions: 0, falseNotRun: 0, unknown: 0, wrongAnswers: 0, unended: 0};

const addTallies = (left: Tally, right: Tally): Tally => ({
	operations: left.operations + right.operations,
	maxExecutions: Math.max(left.maxExecutions, right.maxExecutions),
	falseNotRun: left.falseNotRun + right.falseNotRun,
	unknown: left.unknown + right.unknown,
	wrongAnswers: left.wrongAnswers + right.wrongAnswers,
	unended: left.unended + right.unended,
});

const roundRatio = (part: number, whole: number): number => Math.round((part / whole) * 10_000) / 10_000;

const describeTally = ({operations, unknown, ...counts}: Tally) => ({
	maxExecutions: counts.maxExecutions,
	falseNotRun: counts.falseNotRun,
	unknownRatio: roundRatio(unknown, operations),
	wrongAnswers: counts.wrongAnswers,
	unended: counts.unended,
});

const tallyResult = ({submissions, executionCounts}: fakes.SimulationResult): Tally => {
	const told = (outcome: domain.Outcome): Set<number> =>
		new Set(submissions.filter(result => result.outcome === outcome).map(({operation}) => operation));
	const completed = told(domain.Outcome.Completed);
	const notRun = told(domain.Outcome.NotRun);
	// An operation for which no id could be minted was never submitted and is known not to have run.
	const submitted = new Set(submissions.map(({operation}) => operation));
	return {
		operations: executionCounts.length,
		maxExecutions: Math.max(...executionCounts),
		falseNotRun: [...notRun].filter(operation => executionCounts[operation]! > 0).length,
		unknown: [...submitted].filter(operation => !completed.has(operation) && !notRun.has(operation)).length,
		wrongAnswers: submissions.filter(({isRightAnswer}) => !isRightAnswer).length,
		unended: submissions.filter(({isUnended}) => isUnended).length,
	};
};

const planOperations = (count: number): fakes.PlannedOperation[] =>
	Array.from({length: count}, (_, index) => ({
		startAtMs: Math.floor((index * RUN_MS) / count),
		mintAt: index % NODE_COUNT,
		waitMs: 0,
		submitAt: Array.from({length: SUBMISSION_COUNT}, (_submission, turn) => (index + turn) % NODE_COUNT),
		gapMs: GAP_MS,
		isImpatient: false,
	}));

/** Runs single work under each fault, through the product and through the baseline. */
export const measureOperations: Measure = async ({seed, reportProgress}) => {
	const faults = Object.values(OperationFault);
	const byFault: Record<string, {product: number; baseline: number}> = {};
	let product = EMPTY;
	let baseline = EMPTY;
	for (const [index, fault] of faults.entries()) {
		const first = Math.floor((OPERATION_COUNT * index) / faults.length);
		const next = Math.floor((OPERATION_COUNT * (index + 1)) / faults.length);
		const options = {
			seed: seed * faults.length + index,
			nodeCount: NODE_COUNT,
			operations: planOperations(next - first),
			events: FAULT_EVENTS[fault],
			routeDeadlineMs: DEADLINE_MS,
		};
		const ours = tallyResult(await fakes.simulateOperations(options));
		const theirs = tallyResult(
			await fakes.simulateOperations({
				...options,
				isMinting: false,
				createSubmit: fleet => createKeyTableBaseline(fleet, DEADLINE_MS),
			}),
		);
		product = addTallies(product, ours);
		baseline = addTallies(baseline, theirs);
		byFault[fault] = {
			product: roundRatio(ours.unknown, ours.operations),
			baseline: roundRatio(theirs.unknown, theirs.operations),
		};
		reportProgress(`${fault}: product ${JSON.stringify(ours)}, baseline ${JSON.stringify(theirs)}`);
	}

	return {
		operations: product.operations,
		product: describeTally(product),
		baseline: describeTally(baseline),
		bytesPerRecord: measureRecordBytes(),
		unknownRatioByFault: byFault,
	};
};
