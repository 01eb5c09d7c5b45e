import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildGrantRequest, buildTarget} from '../build-fleet.js';
import {createFakeMetrics, createSilentLogger} from '../fake-observability.js';
import {createSeededRandom} from '../seeded-random.js';
import {createVirtualClock} from '../virtual-clock.js';

type Load = {
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

/** Sizes of a service whose work may not be repeated, with the usual share of gray targets, at 1.4 times its usual load. */
const SINGLE_WORK: Load = {
	targetCount: 9,
	slotCount: 4,
	callsPerSecond: 45,
	workMs: 260,
	repeatability: domain.Repeatability.Single,
	grayShare: 0.3,
	grayFailureRatio: 0.75,
	grayPeriodMs: 9000,
	usualFailureRatio: 0.012,
};

/** Plays calls against targets that turn gray and back, and counts how the calls end. */
const play = async (load: Load, seed: number) => {
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
		const isServed = await attempt(requestId, 0, []);
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
	return {total, servedRatio: counts.served / total, failedRatio: counts.failed / total};
};

const SEEDS = [1, 2, 3, 4, 5];

// Without any knowledge of gray targets 0.3 x 0.75 of the calls fail. Telling each failure to all nodes brought a
// throw-away proxy to 7 in 100, which is the bound here.
SEEDS.forEach(seed => {
	test(`a steady third of gray targets fails few calls that may not be repeated (seed ${seed})`, async t => {
		const {total, failedRatio, servedRatio} = await play(SINGLE_WORK, seed);
		t.true(total > 2000, `${total} calls`);
		t.true(failedRatio <= 0.07, `failed ${failedRatio.toFixed(4)}`);
		t.true(servedRatio >= 0.9, `served ${servedRatio.toFixed(4)}`);
	});

	test(`work that may be repeated hides a third of gray targets (seed ${seed})`, async t => {
		const load = {...SINGLE_WORK, repeatability: domain.Repeatability.Repeatable};
		const {failedRatio, servedRatio} = await play(load, seed);
		t.true(failedRatio <= 0.07, `failed ${failedRatio.toFixed(4)}`);
		t.true(servedRatio >= 0.9, `served ${servedRatio.toFixed(4)}`);
	});
});
