import process from 'node:process';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import type {Measure} from '../measure.js';

const WAITING_COUNTS = [10, 100, 1000];
const TARGET_COUNTS = [10, 96, 340];
const SLOT_COUNT = 4;
const WORKSPACE_COUNT = 84;
const NODE_COUNT = 125;
const WORK_MS = 250;

/** Long enough that no call is refused for its predicted wait: the decisions of a queue are measured, not of refusals. */
const REMAINING_MS = 600_000;

/** Virtual time between two decisions, so that what depends on time is computed anew. */
const DECISION_INTERVAL_MS = 1;

/** Microtasks within which a grant reaches its call. */
const DELIVERY_ROUND_LIMIT = 100;

const ROUND_MS = 400;
const ROUND_COUNT = 5;
const MICROSECONDS_PER_SECOND = 1e6;
const MICROSECONDS_PER_MS = 1000;
const SMALLEST_BATCH_COUNT = 20;

const ROUTES = [
	{routeId: 'lookups', priority: 1, repeatability: domain.Repeatability.Repeatable},
	{routeId: 'submits', priority: 1, repeatability: domain.Repeatability.Single},
	{routeId: 'exports', priority: 0, repeatability: domain.Repeatability.Single},
	{routeId: 'approvals', priority: 2, repeatability: domain.Repeatability.Single},
];

/** A clock that is set by hand and on which sleeping costs the same whatever the number of sleepers. */
const createManualClock = () => {
	const time = {nowMs: 0};
	const clock: core.Clock = {
		monotonicMs: () => time.nowMs,
		wallMs: () => time.nowMs,
		sleep: async (_durationMs, signal) =>
			new Promise(resolve => {
				if (signal?.aborted) {
					resolve();
				}

				signal?.addEventListener(
					'abort',
					() => {
						resolve();
					},
					{once: true},
				);
			}),
	};
	return {clock, time};
};

/** Builds a group whose slots are all in use and that keeps a number of calls waiting. */
const createFullGroup = async (targetCount: number, waitingCount: number, seed: number) => {
	const {clock, time} = createManualClock();
	const random = fakes.createSeededRandom(seed);
	const logger = fakes.createSilentLogger();
	const targets = Array.from({length: targetCount}, (_, index) =>
		fakes.buildTarget({targetId: `target-${index}`, slotCount: SLOT_COUNT}),
	);
	const dispatcher = core.createGroupDispatcher({
		groupId: 'malipo@pwani',
		options: core.DEFAULT_DISPATCHER_OPTIONS,
		clock,
		random,
		logger,
		metrics: fakes.createFakeMetrics(),
		notices: core.createTargetNotices({clock, logger}),
		listTargets: () => targets,
		readTargetOffset: () => undefined,
	});
	type Held = {readonly request: core.AcquireGrantRequest; readonly grant: core.Grant};
	const held: Held[] = [];
	const problems: string[] = [];
	let requestCount = 0;
	const acquire = async (): Promise<void> => {
		const index = requestCount++;
		const request = fakes.buildGrantRequest(`request-${index}`, {
			...ROUTES[Math.floor(random.fraction() * ROUTES.length)]!,
			nodeId: `entry-${Math.floor(random.fraction() * NODE_COUNT)}`,
			// A few workspaces send most of the calls.
			workspace: `workspace-${Math.floor(random.fraction() ** 3 * WORKSPACE_COUNT)}`,
			remainingMs: REMAINING_MS,
			objectiveLeftMs: REMAINING_MS,
			waitLimitMs: REMAINING_MS,
		});
		const reply = await dispatcher.acquire(request, new AbortController().signal);
		if (reply.isGranted) {
			held.push({request, grant: reply});
		} else {
			problems.push(reply.refusal);
		}
	};

	const deliver = async (expectedCount: number): Promise<void> => {
		for (let round = 0; round < DELIVERY_ROUND_LIMIT && held.length < expectedCount; round++) {
			// Lets the dispatcher's pending microtasks run.
			await Promise.resolve();
		}
	};

	const slotCount = targetCount * SLOT_COUNT;
	Array.from({length: slotCount + waitingCount}).forEach(() => {
		void acquire();
	});
	await deliver(slotCount);
	return {
		/** Ends the oldest call, whose slot goes to a waiting one, and adds a waiting call. */
		async decide(): Promise<void> {
			time.nowMs += DECISION_INTERVAL_MS;
			const {request, grant} = held.shift()!;
			dispatcher.report({
				...request,
				grantId: grant.grantId,
				targetId: grant.target.targetId,
				result: core.GrantResult.Success,
				durationMs: WORK_MS,
			});
			void acquire();
			await deliver(slotCount);
			if (held.length !== slotCount || problems.length > 0) {
				throw new Error(`a slot is not in use: ${held.length} of ${slotCount}, ${problems.join(', ')}`);
			}
		},
	};
};

/** Processor time of this process, in microseconds; what runs beside it on the machine is not counted. */
const readProcessorTime = (): number => {
	const {user, system} = process.cpuUsage();
	return user + system;
};

/** Decisions per second of processor time, the median of several rounds after a warm-up. */
const measureDecisions = async (targetCount: number, waitingCount: number, seed: number): Promise<number> => {
	const group = await createFullGroup(targetCount, waitingCount, seed);
	const rounds: number[] = [];
	for (let round = 0; round <= ROUND_COUNT; round++) {
		const started = readProcessorTime();
		let decisionCount = 0;
		while (readProcessorTime() - started < ROUND_MS * MICROSECONDS_PER_MS) {
			for (let index = 0; index < SMALLEST_BATCH_COUNT; index++) {
				await group.decide();
			}

			decisionCount += SMALLEST_BATCH_COUNT;
		}

		rounds.push((decisionCount * MICROSECONDS_PER_SECOND) / (readProcessorTime() - started));
	}

	return rounds.slice(1).toSorted((left, right) => left - right)[Math.floor(ROUND_COUNT / 2)]!;
};

/** Factor by which the cost of a decision grows for each tenfold size, from the smallest to the largest size. */
const computeGrowth = (sizes: readonly number[], decisions: readonly number[]): number =>
	(decisions[0]! / decisions.at(-1)!) ** (1 / Math.log10(sizes.at(-1)! / sizes[0]!));

const round = (figure: number): number => Math.round(figure * 100) / 100;

/**
 * Measures what a decision costs while all slots are in use: one call ends, its slot goes to the next of the waiting ones, and
 * another call begins to wait. All of it is computed on one core.
 */
export const measureDispatch: Measure = async ({seed, reportProgress}) => {
	const points: Array<{waitingCount: number; targetCount: number; decisionsPerCoreSecond: number}> = [];
	for (const waitingCount of WAITING_COUNTS) {
		for (const targetCount of TARGET_COUNTS) {
			const decisionsPerCoreSecond = Math.round(await measureDecisions(targetCount, waitingCount, seed));
			points.push({waitingCount, targetCount, decisionsPerCoreSecond});
			reportProgress(`${waitingCount} waiting x ${targetCount} targets: ${decisionsPerCoreSecond}`);
		}
	}

	const listDecisions = (isIncluded: (point: (typeof points)[number]) => boolean): readonly number[] =>
		points.filter(point => isIncluded(point)).map(({decisionsPerCoreSecond}) => decisionsPerCoreSecond);
	const waitingGrowths = TARGET_COUNTS.map(count =>
		computeGrowth(
			WAITING_COUNTS,
			listDecisions(({targetCount}) => targetCount === count),
		),
	);
	const targetGrowths = WAITING_COUNTS.map(count =>
		computeGrowth(
			TARGET_COUNTS,
			listDecisions(({waitingCount}) => waitingCount === count),
		),
	);
	return {
		decisionsPerCoreSecond: points,
		growthPerTenfoldWaiting: round(Math.max(...waitingGrowths)),
		growthPerTenfoldTargets: round(Math.max(...targetGrowths)),
	};
};
