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

/** What a test asks of the scheduler. */
export type BenchCall = {
	readonly route?: Partial<domain.RouteEntry>;
	readonly call?: Partial<domain.CallRequest>;
	readonly deadlineMs?: number;
	readonly beforeDispatch?: core.ScheduledCall['beforeDispatch'];
	readonly signal?: AbortSignal;
	/** Leaves the answer's body unread. */
	readonly isBodyUnread?: boolean;
};

/** Target ids of an entry whose service is `s`. */
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

/** One group scheduler over fake targets and a virtual clock, with all slots open. */
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
	const schedule = async (bench: BenchCall = {}): Promise<domain.CallEnding> => {
		const route = buildRoute(bench.route);
		const ending = await scheduler.schedule(
			{
				call: buildCall(bench.call),
				route,
				deadlineAtMs: clock.monotonicMs() + (bench.deadlineMs ?? route.deadlineMs),
				beforeDispatch: bench.beforeDispatch,
			},
			bench.signal ?? new AbortController().signal,
		);
		if (ending.outcome === domain.Outcome.Completed && !bench.isBodyUnread) {
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
		/** Slots and queue places that are taken. */
		leakCount: () =>
			scheduler.activeCallCount() +
			scheduler.queuedCallCount() +
			scheduler.describeTargets().reduce((sum, target) => sum + target.busySlotCount, 0),
	};
};

export type SchedulerBench = ReturnType<typeof createSchedulerBench>;

/** Reason and outcome of an ending in one word, or the status of a completed call. */
export const summarizeEnding = (ending: domain.CallEnding): string =>
	ending.outcome === domain.Outcome.Completed
		? `completed ${ending.answer.status}`
		: `${ending.outcome} ${ending.reason}`;
