import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import {buildGrantRequest, buildTarget} from '../build-fleet.js';
import {createFakeMetrics, createSilentLogger} from '../fake-observability.js';
import {createSeededRandom} from '../seeded-random.js';
import {createVirtualClock} from '../virtual-clock.js';

/** A group of targets that turn gray and back, and its calls. */
export type GrayLoad = {
	readonly targetCount: number;
	readonly slotCount: number;
	readonly callsPerSecond: number;
	readonly workMs: number;
	readonly repeatability: domain.Repeatability;
	/** Share of targets that is gray at a time, and the share of calls that these fail. */
	readonly grayShare: number;
	readonly grayFailureRatio: number;
	/** Targets draw anew whether they are gray after this time. */
	readonly grayPeriodMs: number;
	readonly usualFailureRatio: number;
};

const MS_PER_SECOND = 1000;
const RUN_MS = 60_000;
const SETTLE_MS = 5000;
const FAILURE_MS = 2;

/** An attempt at a target, at the time when it reached it. */
export type PlayedAttempt = {readonly atMs: number; readonly targetId: string; readonly isFailed: boolean};

/** A call, at the time when it came. */
export type PlayedCall = {readonly atMs: number; readonly isServed: boolean};

export type GrayLoadResult = {
	readonly total: number;
	readonly servedRatio: number;
	readonly failedRatio: number;
	readonly attempts: readonly PlayedAttempt[];
	readonly calls: readonly PlayedCall[];
};

/** Plays calls against targets that turn gray and back, and counts how the calls end. */
export const playGrayLoad = async (load: GrayLoad, seed: number): Promise<GrayLoadResult> => {
	const clock = createVirtualClock();
	const random = createSeededRandom(seed);
	const targets = Array.from({length: load.targetCount}, (_, index) =>
		buildTarget({targetId: `target-${index}`, slotCount: load.slotCount}),
	);
	const gray = new Map<string, boolean>();
	const dispatcher = core.createGroupDispatcher({
		groupId: 'group',
		options: core.DEFAULT_DISPATCHER_OPTIONS,
		clock,
		random,
		logger: createSilentLogger(),
		metrics: createFakeMetrics(),
		listTargets: () => targets,
	});
	const counts = {served: 0, failed: 0, refused: 0};
	const attempts: PlayedAttempt[] = [];
	const calls: PlayedCall[] = [];
	const {signal} = new AbortController();

	const turnGray = async (targetId: string): Promise<void> => {
		await clock.sleep(random.fraction() * load.grayPeriodMs);
		while (clock.monotonicMs() < RUN_MS) {
			gray.set(targetId, random.fraction() < load.grayShare);
			await clock.sleep(load.grayPeriodMs);
		}
	};

	const attempt = async (requestId: string, attemptIndex: number, excludedTargetIds: string[]): Promise<boolean> => {
		const wish = {repeatability: load.repeatability, waitLimitMs: 120, attemptIndex, excludedTargetIds};
		const first = await dispatcher.acquire(buildGrantRequest(requestId, wish), signal);
		const reply = first.isGranted
			? first
			: await dispatcher.acquire(buildGrantRequest(requestId, {...wish, waitLimitMs: 0, isLastResort: true}), signal);
		if (!reply.isGranted) {
			counts.refused += attemptIndex === 0 ? 1 : 0;
			return false;
		}

		const ratio = gray.get(reply.target.targetId) ? load.grayFailureRatio : load.usualFailureRatio;
		const isFailed = random.fraction() < ratio;
		attempts.push({atMs: clock.monotonicMs(), targetId: reply.target.targetId, isFailed});
		const durationMs = isFailed ? FAILURE_MS : load.workMs * (0.5 + random.fraction());
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
		});
		if (!isFailed) {
			return true;
		}

		const isRepeated = load.repeatability === domain.Repeatability.Repeatable && attemptIndex === 0;
		return isRepeated && attempt(requestId, 1, [reply.target.targetId]);
	};

	const runCall = async (requestId: string): Promise<void> => {
		const refusedBefore = counts.refused;
		const atMs = clock.monotonicMs();
		const isServed = await attempt(requestId, 0, []);
		calls.push({atMs, isServed});
		counts.served += isServed ? 1 : 0;
		counts.failed += isServed || counts.refused > refusedBefore ? 0 : 1;
	};

	targets.forEach(({targetId}) => {
		void turnGray(targetId);
	});
	const arrive = async (): Promise<void> => {
		for (let index = 0; clock.monotonicMs() < RUN_MS; index++) {
			void runCall(`request-${index}`);
			await clock.sleep((-Math.log(1 - random.fraction()) * MS_PER_SECOND) / load.callsPerSecond);
		}
	};

	void arrive();
	await clock.advance(RUN_MS + SETTLE_MS);
	const total = counts.served + counts.failed + counts.refused;
	return {total, servedRatio: counts.served / total, failedRatio: counts.failed / total, attempts, calls};
};
