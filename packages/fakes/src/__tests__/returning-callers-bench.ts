import * as core from '@bilberrydoor/core';
import {buildTargetPool, createDispatcherHarness} from './dispatcher-harness.js';

const MS_PER_SECOND = 1000;
const RUN_MS = 20_000;
const DRAIN_MS = 8000;

/** Calls of a deployment, in a group whose slots are too few for them. */
export type OverloadedCalls = {
	readonly targetCount: number;
	readonly slotCount: number;
	/** Calls in a second at a time of the run. */
	readonly callsPerSecond: (atMs: number) => number;
	readonly workMs: number;
	readonly objectiveMs: number;
	readonly deadlineMs: number;
};

/** Time after which a refused caller is told to come back, in ms. */
export type ReturnRule = (denial: core.GrantDenial, remainingMs: number, fraction: number) => number;

const RETRY_AFTER_OPTIONS = core.DEFAULT_PROXY_OPTIONS;

/** The times of the proxy. */
export const SCHEDULED_RETURNS: ReturnRule = ({predictedWaitMs, roomAfterMs, refusal}, remainingMs, fraction) =>
	core.computeReturnMs(
		{predictedWaitMs, roomAfterMs, remainingMs, isTooLate: refusal === core.GrantRefusal.TooLate},
		fraction,
		RETRY_AFTER_OPTIONS,
	);

/** One to two times the predicted wait, whatever the caller's remaining time and the other callers. */
export const INDEPENDENT_RETURNS: ReturnRule = ({predictedWaitMs}, _remainingMs, fraction) =>
	core.computeRetryAfterMs(predictedWaitMs, fraction, RETRY_AFTER_OPTIONS);

/** Runs callers that come back after a refusal if they are told a time of up to a third of what they have left. */
export const simulateReturningCallers = async (load: OverloadedCalls, rule: ReturnRule, seed: number) => {
	const {clock, random, acquire, report} = createDispatcherHarness(buildTargetPool(load.targetCount, load.slotCount), {
		seed,
	});
	const counts = {calls: 0, visits: 0, inTime: 0, late: 0, unserved: 0, servedAfterReturn: 0, returns: 0};
	const visit = async (arrivedAtMs: number, isReturn: boolean): Promise<void> => {
		const remainingMs = arrivedAtMs + load.deadlineMs - clock.monotonicMs();
		// The request does not tell when the caller came first: its objective starts anew, and only its deadline does not.
		const visitedAtMs = clock.monotonicMs();
		const objectiveLeftMs = Math.min(load.objectiveMs, remainingMs);
		counts.visits++;
		const request = {remainingMs, objectiveLeftMs, waitLimitMs: Math.max(80, objectiveLeftMs * 0.2)};
		const first = await acquire(request);
		const waitedMs = clock.monotonicMs() - visitedAtMs;
		const reply = first.isGranted
			? first
			: await acquire({
					...request,
					isNewCall: false,
					remainingMs: remainingMs - waitedMs,
					objectiveLeftMs: objectiveLeftMs - waitedMs,
					waitLimitMs: 0,
					isLastResort: true,
				});
		if (reply.isGranted) {
			const durationMs = load.workMs * (0.7 + 0.6 * random.fraction());
			await clock.sleep(durationMs);
			report(reply, core.GrantResult.Success, {durationMs});
			const elapsedMs = clock.monotonicMs() - arrivedAtMs;
			counts.inTime += elapsedMs <= load.objectiveMs ? 1 : 0;
			counts.late += elapsedMs > load.objectiveMs && elapsedMs <= load.deadlineMs ? 1 : 0;
			counts.servedAfterReturn += isReturn ? 1 : 0;
			return;
		}

		const leftMs = remainingMs - waitedMs;
		const returnMs = rule(reply, leftMs, random.fraction());
		if (returnMs > leftMs / 3) {
			counts.unserved++;
			return;
		}

		counts.returns++;
		await clock.sleep(returnMs);
		await visit(arrivedAtMs, true);
	};

	const generateCalls = async (): Promise<void> => {
		while (clock.monotonicMs() < RUN_MS) {
			const ratePerSecond = load.callsPerSecond(clock.monotonicMs());
			await clock.sleep((-Math.log(1 - random.fraction()) * MS_PER_SECOND) / ratePerSecond);
			counts.calls++;
			void visit(clock.monotonicMs(), false);
		}
	};

	void generateCalls();
	await clock.advance(RUN_MS + DRAIN_MS);
	return counts;
};
