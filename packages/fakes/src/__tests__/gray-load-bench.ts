import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import {buildGrantRequest, buildTarget} from '../build-fleet.js';
import {createFakeMetrics, createSilentLogger} from '../fake-observability.js';
import {createSeededRandom} from '../seeded-random.js';
import {createVirtualClock} from '../virtual-clock.js';

/** Load on a group whose targets alternate between healthy and gray. */
export type GrayLoad = {
	readonly targetCount: number;
	readonly slotCount: number;
	readonly callsPerSecond: number;
	/** Mean duration of a successful attempt, in ms. */
	readonly workMs: number;
	readonly repeatability: domain.Repeatability;
	/** Mean fraction of targets that are gray at a time. */
	readonly grayTargetRatio: number;
	/** Fraction of attempts that fail at gray targets. */
	readonly grayFailureRatio: number;
	/** Interval at which each target becomes gray or healthy at random, in ms. */
	readonly grayPeriodMs: number;
	/** Fraction of attempts that fail at healthy targets. */
	readonly usualFailureRatio: number;
};

const MS_PER_SECOND = 1000;
const RUN_MS = 60_000;
const DRAIN_MS = 5000;
const FAILED_ATTEMPT_DURATION_MS = 2;

/** Attempt at a target; `atMs` is when it started. */
export type SimulatedAttempt = {readonly atMs: number; readonly targetId: string; readonly isFailed: boolean};

/** Call; `atMs` is when it arrived. */
export type SimulatedCall = {readonly atMs: number; readonly isServed: boolean};

export type GrayLoadResult = {
	readonly callCount: number;
	readonly servedRatio: number;
	readonly failedRatio: number;
	readonly attempts: readonly SimulatedAttempt[];
	readonly calls: readonly SimulatedCall[];
};

/** Simulates calls to targets that alternate between healthy and gray, and counts the endings of the calls. */
export const simulateGrayLoad = async (load: GrayLoad, seed: number): Promise<GrayLoadResult> => {
	const clock = createVirtualClock();
	const random = createSeededRandom(seed);
	const targets = Array.from({length: load.targetCount}, (_, index) =>
		buildTarget({targetId: `target-${index}`, slotCount: load.slotCount}),
	);
	const grayStates = new Map<string, boolean>();
	const dispatcher = core.createGroupDispatcher({
		groupId: 'group',
		options: core.DEFAULT_DISPATCHER_OPTIONS,
		clock,
		random,
		logger: createSilentLogger(),
		metrics: createFakeMetrics(),
		notices: core.createTargetNotices({clock, logger: createSilentLogger()}),
		listTargets: () => targets,
		readTargetOffset: () => undefined,
	});
	const counts = {served: 0, failed: 0, refused: 0};
	const attempts: SimulatedAttempt[] = [];
	const calls: SimulatedCall[] = [];
	const {signal} = new AbortController();

	const switchGrayState = async (targetId: string): Promise<void> => {
		await clock.sleep(random.fraction() * load.grayPeriodMs);
		while (clock.monotonicMs() < RUN_MS) {
			grayStates.set(targetId, random.fraction() < load.grayTargetRatio);
			await clock.sleep(load.grayPeriodMs);
		}
	};

	const attempt = async (requestId: string, attemptIndex: number, excludedTargetIds: string[]): Promise<boolean> => {
		const requestFields = {repeatability: load.repeatability, waitLimitMs: 120, attemptIndex, excludedTargetIds};
		const first = await dispatcher.acquire(buildGrantRequest(requestId, requestFields), signal);
		const reply = first.isGranted
			? first
			: await dispatcher.acquire(
					buildGrantRequest(requestId, {...requestFields, waitLimitMs: 0, isLastResort: true}),
					signal,
				);
		if (!reply.isGranted) {
			counts.refused += attemptIndex === 0 ? 1 : 0;
			return false;
		}

		const failureRatio = grayStates.get(reply.target.targetId) ? load.grayFailureRatio : load.usualFailureRatio;
		const isFailed = random.fraction() < failureRatio;
		attempts.push({atMs: clock.monotonicMs(), targetId: reply.target.targetId, isFailed});
		const durationMs = isFailed ? FAILED_ATTEMPT_DURATION_MS : load.workMs * (0.5 + random.fraction());
		await clock.sleep(durationMs);
		dispatcher.report({
			grantId: reply.grantId,
			nodeId: 'entry-1',
			routeId: 'route',
			service: 'malipo',
			region: 'pwani',
			targetId: reply.target.targetId,
			result: isFailed ? core.GrantResult.Failure : core.GrantResult.Success,
			durationMs,
			targetNotices: [],
		});
		if (!isFailed) {
			return true;
		}

		const shouldRetry = load.repeatability === domain.Repeatability.Repeatable && attemptIndex === 0;
		return shouldRetry && attempt(requestId, 1, [reply.target.targetId]);
	};

	const runCall = async (requestId: string): Promise<void> => {
		const refusedCountBefore = counts.refused;
		const atMs = clock.monotonicMs();
		const isServed = await attempt(requestId, 0, []);
		calls.push({atMs, isServed});
		counts.served += isServed ? 1 : 0;
		counts.failed += isServed || counts.refused > refusedCountBefore ? 0 : 1;
	};

	targets.forEach(({targetId}) => {
		void switchGrayState(targetId);
	});
	const generateCalls = async (): Promise<void> => {
		for (let index = 0; clock.monotonicMs() < RUN_MS; index++) {
			void runCall(`request-${index}`);
			await clock.sleep((-Math.log(1 - random.fraction()) * MS_PER_SECOND) / load.callsPerSecond);
		}
	};

	void generateCalls();
	await clock.advance(RUN_MS + DRAIN_MS);
	const callCount = counts.served + counts.failed + counts.refused;
	return {callCount, servedRatio: counts.served / callCount, failedRatio: counts.failed / callCount, attempts, calls};
};
