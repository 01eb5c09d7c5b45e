import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import {FAULT_STARTERS, type CatalogueFault} from './catalogue-faults.js';
import {type AcceptedEdit, createInForceRecorder, type CutOffWindow} from './in-force-recorder.js';
import {countTraffic, buildNodeAddresses, type MeasuredFleet} from './measured-fleet.js';
import {type OperatorOptions, type ReportedEdit, startOperators} from './operators.js';

/** One fault of the scenario and how long it lasts. */
export type PlannedFault = {readonly fault: CatalogueFault; readonly durationMs: number};

export type ScenarioOptions = {
	readonly nodeCount: number;
	readonly faults: readonly PlannedFault[];
	readonly operators: OperatorOptions;
	/** Records that the log keeps. */
	readonly retentionCount: number;
};

export type ScenarioResult = {
	readonly inForceP99Ms: number;
	readonly inForceMaxMs: number;
	readonly reversions: number;
	readonly lostAccepted: number;
	readonly divergentNodes: number;
	/** Absent when the node was not ready within the limit. */
	readonly coldStartFromPeersMs?: number;
	readonly changeCount: number;
	readonly appendCount: number;
	readonly linkBytes: number;
	/** Control bytes that the busiest node sends and receives in a second. */
	readonly busiestNodeBytesPerSecond: number;
	readonly logReadsPerSecond: number;
};

const SAMPLE_PERIOD_MS = 20;
/** Nodes are checked for reversions less often than the log is read, because that check costs much more. */
const SAMPLES_PER_REVERSION_CHECK = 5;
const SETTLE_MS = 15_000;
const COLD_START_LIMIT_MS = 60_000;
const FAULTY_NODE_COUNT = 4;

/** Records when edits are appended to the log, and accepts or rejects them as a node does. */
const createLogWatch = (fleet: MeasuredFleet) => {
	const {log, clock} = fleet.environment;
	const store = core.createCatalogueStore({
		authenticator: fakes.createFakeAuthenticator(),
		codec: {serializeItem: item => JSON.stringify(item)},
	});
	const accepted: AcceptedEdit[] = [];
	let previousMs = 0;
	return {
		accepted,
		store,
		sample() {
			log.records.forEach(logged => {
				const result = store.applyRecord(logged);
				if (result && !result.isRepeated && result.decision.verdict === domain.EditVerdict.Accepted) {
					// The record was appended after the previous sample, so the delay is overstated rather than understated.
					accepted.push({
						service: result.decision.service,
						revision: result.decision.revision,
						appendedAtMs: previousMs,
					});
				}
			});
			previousMs = clock.monotonicMs();
		},
	};
};

/**
 * Counts lost edits: those whose result by the order of the log differs from the reported one, and those of which a node
 * has an older revision in force.
 */
const countLostEdits = (
	fleet: MeasuredFleet,
	reported: readonly ReportedEdit[],
	logStore: core.CatalogueStore,
): number =>
	reported.filter(({editId, service, revision}) => {
		const loggedDecision = logStore.findDecision(editId);
		const isConfirmed = loggedDecision?.verdict === domain.EditVerdict.Accepted && loggedDecision.revision === revision;
		const isInForceEverywhere = fleet.nodes().every(({store}) => (store.findItem(service)?.revision ?? 0) >= revision);
		return !isConfirmed || !isInForceEverywhere;
	}).length;

const countDivergentNodes = (fleet: MeasuredFleet): number => {
	const states = fleet.nodes().map(({store}) => JSON.stringify(store.listItems()));
	const counts = states.map(state => states.filter(other => other === state).length);
	return states.length - Math.max(...counts);
};

/** Percentile of values by the nearest rank; 0 for an empty list. */
const calculatePercentileOrZero = (values: readonly number[], ratio: number): number =>
	values.toSorted((left, right) => left - right)[Math.max(0, Math.ceil(values.length * ratio) - 1)] ?? 0;

/** Runs a fleet through faults while operators edit, and measures when the edits come into force and which are lost. */
export const runScenario = async (fleet: MeasuredFleet, options: ScenarioOptions): Promise<ScenarioResult> => {
	const {environment} = fleet;
	const {clock, log, random} = environment;
	const recorder = createInForceRecorder(clock);
	const watch = createLogWatch(fleet);
	const windows: CutOffWindow[] = [];
	const traffic = countTraffic(environment);
	const watched = new Set<unknown>();
	log.retentionCount = options.retentionCount;

	const watchNodes = (): void => {
		fleet
			.nodes()
			.filter(node => !watched.has(node))
			.forEach(node => {
				watched.add(node);
				recorder.watch(node);
			});
	};

	const advance = async (durationMs: number): Promise<void> => {
		const sampleCount = Math.ceil(durationMs / SAMPLE_PERIOD_MS);
		for (let sample = 0; sample < sampleCount; sample++) {
			await clock.advance(SAMPLE_PERIOD_MS);
			watch.sample();
			if (sample % SAMPLES_PER_REVERSION_CHECK === 0) {
				recorder.sampleReversions(fleet.nodes());
			}
		}
	};

	const runFault = async ({fault, durationMs}: PlannedFault): Promise<void> => {
		const beginMs = clock.monotonicMs();
		const chosen = fleet
			.nodes()
			.toSorted(() => random.fraction() - 0.5)
			.slice(0, FAULTY_NODE_COUNT);
		const activeFault = FAULT_STARTERS[fault](fleet, chosen);
		watchNodes();
		await advance(durationMs);
		activeFault.end();
		windows.push({beginMs, endMs: clock.monotonicMs(), addresses: new Set(activeFault.cutOffAddresses)});
		await advance(SETTLE_MS / 2);
	};

	/** Replaces a node while the log is down. Returns the time until it is ready, in ms; undefined beyond the limit. */
	const measureColdStart = async (): Promise<number | undefined> => {
		log.fault = fakes.FakeLogFault.Down;
		const beginMs = clock.monotonicMs();
		const node = fleet.startNode(fleet.nodes().at(-1)!.address);
		while (!node.isReady() && clock.monotonicMs() - beginMs < COLD_START_LIMIT_MS) {
			await clock.advance(SAMPLE_PERIOD_MS);
		}

		log.fault = fakes.FakeLogFault.None;
		return node.isReady() ? clock.monotonicMs() - beginMs : undefined;
	};

	buildNodeAddresses(options.nodeCount).forEach(address => fleet.startNode(address));
	watchNodes();
	await clock.advance(5000);
	const operators = startOperators(fleet, options.operators);
	await advance(SETTLE_MS / 2);
	for (const fault of options.faults) {
		await runFault(fault);
	}

	operators.stop();
	await advance(SETTLE_MS);
	const elapsedMs = clock.monotonicMs();
	const delaysMs = recorder.listDelaysMs(watch.accepted, windows);
	return {
		inForceP99Ms: calculatePercentileOrZero(delaysMs, 0.99),
		inForceMaxMs: calculatePercentileOrZero(delaysMs, 1),
		reversions: recorder.reversionCount(),
		lostAccepted: countLostEdits(fleet, operators.reported, watch.store),
		divergentNodes: countDivergentNodes(fleet),
		changeCount: watch.accepted.length,
		appendCount: log.appendCount(),
		linkBytes: traffic.linkBytes(),
		busiestNodeBytesPerSecond: traffic.busiestNodeBytes() / (elapsedMs / 1000),
		logReadsPerSecond: log.readCount() / (elapsedMs / 1000),
		coldStartFromPeersMs: await measureColdStart(),
	};
};
