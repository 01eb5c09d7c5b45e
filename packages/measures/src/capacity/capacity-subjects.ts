import * as adapters from '@bilberrydoor/adapters';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import * as neverthrow from 'neverthrow';

const PLACE = {region: 'pwani', availabilityZone: 'kinondoni'};
const FLEET_KEY = 'key-of-the-measurement-fleet';

/** Routes of one service at the planned size: 110,000 routes in 7,300 services. */
export const ROUTES_PER_SERVICE = 15;
/** Targets of one service at the planned size: 200,000 targets in 7,300 services. */
export const TARGETS_PER_SERVICE = 27;

export const buildServiceEntry = (index: number): domain.CatalogueEntry =>
	fakes.buildEntry({
		service: `service-${index}`,
		routes: Array.from({length: ROUTES_PER_SERVICE}, (_, route) =>
			fakes.buildRoute({pathPrefix: `/service-${index}/kind-${route}`}),
		),
		targets: fakes.buildTargets({
			service: `service-${index}`,
			count: TARGETS_PER_SERVICE,
			slotCount: 4,
			places: [PLACE],
		}),
	});

export const createMeasuredStore = (): core.CatalogueStore =>
	core.createCatalogueStore({
		authenticator: adapters.createFleetKeyAuthenticator([FLEET_KEY]),
		codec: adapters.createJsonCatalogueCodec(),
	});

export const buildEdit = (index: number, entry: domain.CatalogueEntry): domain.LoggedRecord => ({
	offset: index,
	record: {
		kind: domain.CatalogueRecordKind.Edit,
		editId: `edit-${index}`,
		service: entry.service,
		author: 'operator',
		baseRevision: 0,
		entry,
	},
});

export const buildRouteTable = (routeCount: number): core.RouteTable => {
	const table = core.createRouteTable();
	Array.from({length: Math.ceil(routeCount / ROUTES_PER_SERVICE)}, (_, index) => index).forEach(index => {
		table.replaceServiceRoutes(`service-${index}`, buildServiceEntry(index).routes);
	});
	return table;
};

async function* generateBody(): AsyncGenerator<Uint8Array> {
	yield new Uint8Array(1);
}

const buildPorts = (clock: core.Clock): core.NodePorts =>
	({
		clock,
		metrics: fakes.createFakeMetrics(),
		logger: fakes.createSilentLogger(),
		random: fakes.createSeededRandom(1),
		nodeLoad: {eventLoopDelayMs: () => 0, residentBytes: () => 0},
		targetClient: {
			send: async () => neverthrow.ok({status: 200, headers: [], isConfirmed: true, body: generateBody()}),
			probe: async () => neverthrow.ok({isReady: true, isLeaving: false}),
		},
	}) as unknown as core.NodePorts;

const buildGroup = (targetCount: number): {group: core.TargetGroup; entry: domain.CatalogueEntry} => {
	const targets = fakes.buildTargets({service: 's', count: targetCount, slotCount: 4, places: [PLACE]});
	const entry = fakes.buildEntry({service: 's', targets});
	return {group: core.buildTargetGroups(entry)[0]!, entry};
};

/** Creates a scheduler whose targets answer immediately, so that only the scheduler's own time is measured. */
export const createMeasuredScheduler = (targetCount: number) => {
	const clock = adapters.createSystemClock();
	const scheduler = core.createGroupScheduler({ports: buildPorts(clock), ...buildGroup(targetCount)});
	const route = fakes.buildRoute();
	const {signal} = new AbortController();
	return async (workspace: string): Promise<void> => {
		const call = fakes.buildCall({workspace});
		const deadlineAtMs = clock.monotonicMs() + route.deadlineMs;
		const ending = await scheduler.schedule({call, route, deadlineAtMs}, signal);
		if (ending.outcome !== domain.Outcome.Completed) {
			throw new Error(`the call was not completed: ${ending.reason}`);
		}

		await fakes.readText(ending.answer.body);
	};
};

/** Creates a function that makes one health update: an attempt that starts and succeeds. */
export const createMeasuredHealth = (targetCount: number): ((index: number) => void) => {
	const {group} = buildGroup(targetCount);
	const health = core.createGroupHealth({ports: buildPorts(adapters.createSystemClock()), group});
	return index => {
		const target = group.targets[index % targetCount]!;
		health.startAttempt(target.targetId, domain.WorkClass.Short).finish(core.AttemptResult.Success);
	};
};

/** Builds the token buckets of workspaces that have all just made a call. */
export const buildWorkspaceBuckets = (workspaceCount: number): core.TokenBuckets => {
	const buckets = core.createTokenBuckets({clock: {...adapters.createSystemClock(), monotonicMs: () => 0}});
	const rate = {ratePerSecond: 10, burstCount: 10};
	Array.from({length: workspaceCount}, (_, index) => `workspace-${index}`).forEach(key => {
		buckets.take(key, rate);
	});
	return buckets;
};
