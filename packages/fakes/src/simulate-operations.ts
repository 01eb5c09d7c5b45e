import type * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import {buildCall, buildEntry, buildRoute, buildTargets, readText} from './build-entry.js';
import {createFakeFleet, type FakeFleet, type FakeNode} from './fake-fleet.js';
import {type EventFleet, type FleetEvent, runFleetEvents} from './fleet-event.js';

/** Schedule of a simulated caller for one operation. */
export type PlannedOperation = {
	readonly startAtMs: number;
	/** Index of the place whose node mints the operation id. */
	readonly mintPlaceIndex: number;
	/** Pause between minting and the first submission, in ms. */
	readonly waitMs: number;
	/** Indexes of the places whose nodes get a submission, in order. */
	readonly submitPlaceIndexes: readonly number[];
	/** Pause before the next submission, in ms. */
	readonly gapMs: number;
	/** True if all submissions are sent without waiting for earlier ones to end. */
	readonly isOverlapping: boolean;
	/** True if the caller submits again even after a submission has ended as completed or not run. */
	readonly shouldResubmitEnded?: boolean;
};

/** Result of one submission. */
export type SubmissionResult = {
	readonly operationIndex: number;
	/** Absent if the call did not end or its entry node was killed first. */
	outcome?: domain.Outcome;
	reason?: domain.RefusalReason;
	/** False if the answer belongs to another operation. */
	isAnswerCorrect: boolean;
	/** True if the call had not ended when the simulation ended, although its entry node was never killed. */
	hasNoEnding: boolean;
	/** Monotonic time on the fleet's clock at which the submission was sent, in ms. */
	readonly sentAtMs: number;
	/** Monotonic time on the fleet's clock at which the submission ended, in ms. */
	endedAtMs?: number;
};

export type SimulationResult = {
	readonly submissions: readonly SubmissionResult[];
	/** Number of executions by index of the operation. */
	readonly executionCounts: readonly number[];
};

/** Submits a call for an operation through a node. */
export type SubmitCall = (
	node: FakeNode,
	call: domain.CallRequest,
	operationId: string | undefined,
	signal: AbortSignal,
) => Promise<domain.CallEnding>;

export type SimulationOptions = {
	readonly seed: number;
	readonly nodeCount: number;
	readonly targetCount: number;
	readonly operations: readonly PlannedOperation[];
	readonly events: readonly FleetEvent[];
	readonly serviceTimeMs: number;
	readonly routeDeadlineMs: number;
	readonly operationLimit: domain.OperationLimit;
	readonly settings?: Partial<core.NodeSettings>;
	/** Time after the last submission and event during which calls may still end and late answers arrive, in ms. */
	readonly coolDownMs: number;
	/** Creates the function that submits calls. By default, calls are handled by the node itself. */
	readonly createSubmit: (fleet: FakeFleet) => SubmitCall;
	/** Whether callers mint operation ids before they submit. */
	readonly isMinting: boolean;
};

export const DEFAULT_SIMULATION_OPTIONS: SimulationOptions = {
	seed: 1,
	nodeCount: 4,
	targetCount: 2,
	operations: [],
	events: [],
	serviceTimeMs: 20,
	routeDeadlineMs: 1000,
	operationLimit: {expiryMs: 60_000, retentionMs: 60_000, answerCopyLimitBytes: 16_384},
	coolDownMs: 30_000,
	createSubmit: () => async (node, call, operationId, signal) => node.node.handleCall({...call, operationId}, signal),
	isMinting: true,
};

const REGION = 'pwani';
const SERVICE = 'malipo';
/** Time after the deadline at which a caller closes the connection; also the time limit for minting. In ms. */
const CALLER_TIMEOUT_MS = 2000;

const encoder = new TextEncoder();

const createCall = (operationIndex: number): domain.CallRequest =>
	buildCall({
		method: 'POST',
		path: `/work/${operationIndex}`,
		headers: [['x-operation', String(operationIndex)]],
		workspace: `workspace-${operationIndex % 3}`,
		body: {
			async *[Symbol.asyncIterator]() {
				yield encoder.encode(`mark ${operationIndex}`);
			},
		},
	});

/** Starts a fleet with one service whose only route takes calls that must not be repeated. */
export const startOperationsFleet = async (options: SimulationOptions): Promise<EventFleet> => {
	const fleet = createFakeFleet({seed: options.seed, settings: options.settings});
	const zones = [0, 1].map(index => ({region: REGION, availabilityZone: `zone-${index}`}));
	const places = Array.from({length: options.nodeCount}, (_, index) => ({
		address: `node-${index}:1`,
		...zones[index % zones.length]!,
	}));
	const entry = buildEntry({
		service: SERVICE,
		routes: [buildRoute({repeatability: domain.Repeatability.Single, deadlineMs: options.routeDeadlineMs})],
		targets: buildTargets({service: SERVICE, count: options.targetCount, slotCount: 4, places: zones}),
		operations: options.operationLimit,
	});
	const currentNodes = places.map(place => fleet.startNode(place));
	fleet.addTargets(entry);
	fleet.targets.forEach(target => {
		target.serviceTimeMs = () => options.serviceTimeMs;
	});
	await fleet.publishEntry(entry);
	return {fleet, places, targetIds: entry.targets.map(target => target.targetId), currentNodes};
};

const createOperationRunner = (
	options: SimulationOptions,
	eventFleet: EventFleet,
	submissions: SubmissionResult[],
	entryNodes: Map<SubmissionResult, FakeNode>,
) => {
	const {clock} = eventFleet.fleet;
	const submit = options.createSubmit(eventFleet.fleet);

	/** Returns the node at the place or, when none runs there, the node at the next place that has one. */
	const findNode = (placeIndex: number): FakeNode | undefined =>
		[...eventFleet.currentNodes.slice(placeIndex), ...eventFleet.currentNodes.slice(0, placeIndex)].find(
			node => node !== undefined,
		);

	const mintId = async (placeIndex: number): Promise<string | undefined> => {
		const node = findNode(placeIndex);
		const finished = new AbortController();
		const minting = node?.node.operations.mintOperations(SERVICE, 1, finished.signal);
		const minted = await Promise.race([minting, clock.sleep(CALLER_TIMEOUT_MS, finished.signal)]);
		finished.abort();
		return minted?.unwrapOr([])[0];
	};

	const submitOnce = async (
		operationIndex: number,
		operationId: string | undefined,
		placeIndex: number,
	): Promise<boolean> => {
		const node = findNode(placeIndex);
		if (!node) {
			return false;
		}

		const result: SubmissionResult = {
			operationIndex,
			isAnswerCorrect: true,
			hasNoEnding: false,
			sentAtMs: clock.monotonicMs(),
		};
		submissions.push(result);
		entryNodes.set(result, node);
		const controller = new AbortController();
		const finished = new AbortController();
		const handle = async (): Promise<void> => {
			const ending = await submit(node, createCall(operationIndex), operationId, controller.signal);
			const isCompleted = ending.outcome === domain.Outcome.Completed;
			const text = isCompleted ? await readText(ending.answer.body) : undefined;
			if (node.host.isDead()) {
				return;
			}

			result.isAnswerCorrect = text === undefined || text.endsWith(` /work/${operationIndex}`);
			result.reason = isCompleted ? undefined : ending.reason;
			result.outcome = ending.outcome;
			result.endedAtMs = clock.monotonicMs();
		};

		await Promise.race([handle(), clock.sleep(options.routeDeadlineMs + CALLER_TIMEOUT_MS, finished.signal)]);
		finished.abort();
		controller.abort();
		return result.outcome !== undefined && result.outcome !== domain.Outcome.Unknown;
	};

	return async (operationIndex: number, plan: PlannedOperation): Promise<void> => {
		await clock.sleep(plan.startAtMs);
		const operationId = options.isMinting ? await mintId(plan.mintPlaceIndex) : undefined;
		if (options.isMinting && operationId === undefined) {
			return;
		}

		await clock.sleep(plan.waitMs);
		const pendingSubmissions: Array<Promise<boolean>> = [];
		for (const placeIndex of plan.submitPlaceIndexes) {
			const submitted = submitOnce(operationIndex, operationId, placeIndex);
			pendingSubmissions.push(submitted);
			const isSettled = !plan.isOverlapping && (await submitted);
			if (isSettled && !plan.shouldResubmitEnded) {
				return;
			}

			await clock.sleep(plan.gapMs);
		}

		await Promise.all(pendingSubmissions);
	};
};

/** Runs planned operations on a fleet while events are applied to it, in virtual time. */
export const simulateOperations = async (given: Partial<SimulationOptions>): Promise<SimulationResult> => {
	const options = {...DEFAULT_SIMULATION_OPTIONS, ...given};
	const eventFleet = await startOperationsFleet(options);
	const {clock, targets} = eventFleet.fleet;
	const submissions: SubmissionResult[] = [];
	const entryNodes = new Map<SubmissionResult, FakeNode>();
	const runOperation = createOperationRunner(options, eventFleet, submissions, entryNodes);
	const all = Promise.all([
		runFleetEvents(clock, eventFleet, options.events),
		...options.operations.map(async (plan, index) => runOperation(index, plan)),
	]);
	await clock.runUntilSettled(all, 3_600_000);
	eventFleet.currentNodes.forEach(node => node?.host.resume());
	await clock.advance(options.coolDownMs);
	submissions.forEach(result => {
		result.hasNoEnding = result.outcome === undefined && !entryNodes.get(result)!.host.isDead();
	});
	const executionCounts = options.operations.map((_, index) =>
		[...targets.values()].reduce((sum, target) => sum + (target.executions.get(String(index)) ?? 0), 0),
	);
	eventFleet.fleet.nodes.forEach(node => {
		node.stop();
	});
	return {submissions, executionCounts};
};
