import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import {buildCall, buildEntry, buildRoute, buildTargets, readText} from '../build-entry.js';
import {createFakeHost} from '../fake-host.js';
import {createFakeNetwork} from '../fake-network.js';
import {createFakeMetrics, createSilentLogger} from '../fake-observability.js';
import {createFakeTarget} from '../fake-target.js';
import {createSeededRandom} from '../seeded-random.js';
import {createVirtualClock} from '../virtual-clock.js';

const PLACE = {region: 'pwani', availabilityZone: 'kinondoni'};

/** Call that a test submits to the scheduler. */
export type BenchCall = {
	readonly route?: Partial<domain.RouteEntry>;
	readonly call?: Partial<domain.CallRequest>;
	readonly deadlineMs?: number;
	readonly beforeDispatch?: core.ScheduledCall['beforeDispatch'];
	readonly signal?: AbortSignal;
	/** Leaves the answer's body unread. */
	readonly isBodyUnread?: boolean;
};

/** Builds an entry of the service `s`. */
export const buildBenchEntry = (
	given: Partial<domain.CatalogueEntry> = {},
	size: {targetCount?: number; slotCount?: number} = {},
): domain.CatalogueEntry =>
	buildEntry({
		service: 's',
		targets: buildTargets({
			service: 's',
			count: size.targetCount ?? 2,
			slotCount: size.slotCount ?? 1,
			places: [PLACE],
		}),
		retryBudgetRatio: 1,
		...given,
	});

/** Creates a group scheduler with fake targets and a virtual clock; all slots are open. */
export const createSchedulerBench = (
	entry: domain.CatalogueEntry,
	given: {options?: Partial<core.SchedulerOptions>; load?: core.NodeLoad} = {},
) => {
	const clock = createVirtualClock();
	const network = createFakeNetwork(clock);
	const metrics = createFakeMetrics();
	const targets = entry.targets.map(target => createFakeTarget({clock, entry: target}));
	targets.forEach(target => {
		network.addTarget(target);
	});
	const scheduler = core.createGroupScheduler({
		ports: {
			clock,
			metrics,
			logger: createSilentLogger(),
			random: createSeededRandom(1),
			nodeLoad: given.load ?? {eventLoopDelayMs: () => 0, residentBytes: () => 0},
			targetClient: network.createTargetClient('node:1', createFakeHost()),
		} as unknown as core.NodePorts,
		group: core.buildTargetGroups(entry)[0]!,
		entry,
		options: {
			...given.options,
			adaptiveLimit: {...core.DEFAULT_SCHEDULER_OPTIONS.adaptiveLimit, startRatio: 1, ...given.options?.adaptiveLimit},
		},
	});
	const controller = new AbortController();
	const running = scheduler.run(controller.signal);
	const schedule = async (benchCall: BenchCall = {}): Promise<domain.CallEnding> => {
		const route = buildRoute(benchCall.route);
		const ending = await scheduler.schedule(
			{
				call: buildCall(benchCall.call),
				route,
				deadlineAtMs: clock.monotonicMs() + (benchCall.deadlineMs ?? route.deadlineMs),
				beforeDispatch: benchCall.beforeDispatch,
			},
			benchCall.signal ?? new AbortController().signal,
		);
		if (ending.outcome === domain.Outcome.Completed && !benchCall.isBodyUnread) {
			await readText(ending.answer.body);
		}

		return ending;
	};

	return {
		clock,
		network,
		metrics,
		targets,
		scheduler,
		schedule,
		async settle<T>(promise: Promise<T>): Promise<T> {
			return clock.runUntilSettled(promise, 60_000);
		},
		async close() {
			controller.abort();
			await clock.advance(0);
			await running;
		},
		/** Number of active calls, queued calls and busy slots, which is 0 when nothing leaks. */
		countHeldResources: () =>
			scheduler.activeCallCount() +
			scheduler.queuedCallCount() +
			scheduler.describeTargets().reduce((sum, target) => sum + target.busySlotCount, 0),
	};
};

export type SchedulerBench = ReturnType<typeof createSchedulerBench>;

/** Returns the outcome with the reason of an ending, or with the status of a completed call. */
export const summarizeEnding = (ending: domain.CallEnding): string =>
	ending.outcome === domain.Outcome.Completed
		? `completed ${ending.answer.status}`
		: `${ending.outcome} ${ending.reason}`;
