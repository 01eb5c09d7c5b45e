import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import {buildGrantRequest, buildTarget} from '../build-fleet.js';
import {createFakeMetrics, createSilentLogger} from '../fake-observability.js';
import {createSeededRandom} from '../seeded-random.js';
import {createVirtualClock} from '../virtual-clock.js';

export type DispatcherHarnessOptions = {
	readonly dispatcher?: Partial<core.DispatcherOptions>;
	readonly seed?: number;
};

export const buildTargetPool = (count: number, slotCount: number): domain.RegisteredTarget[] =>
	Array.from({length: count}, (_, index) => buildTarget({targetId: `target-${index}`, slotCount}));

/** Builds the dispatcher of one group on a virtual clock. */
export const createDispatcherHarness = (
	targets: readonly domain.RegisteredTarget[],
	{dispatcher: given = {}, seed = 1}: DispatcherHarnessOptions = {},
) => {
	const clock = createVirtualClock();
	const random = createSeededRandom(seed);
	const logger = createSilentLogger();
	const metrics = createFakeMetrics();
	const notices = core.createTargetNotices({clock, logger});
	const registered = {targets};
	const dispatcher = core.createGroupDispatcher({
		groupId: 'malipo@pwani',
		options: {...core.DEFAULT_DISPATCHER_OPTIONS, ...given},
		clock,
		random,
		logger,
		metrics,
		notices,
		listTargets: () => registered.targets,
		readTargetOffset: () => undefined,
	});
	const {signal} = new AbortController();
	let requestCount = 0;
	const acquire = async (request: Partial<core.AcquireGrantRequest> = {}): Promise<core.AcquireGrantReply> =>
		dispatcher.acquire(buildGrantRequest(`request-${requestCount++}`, request), signal);
	const report = (
		{grantId, target}: core.Grant,
		result: core.GrantResult,
		{nodeId = 'entry-1', routeId = 'route', durationMs = 250} = {},
	): void => {
		dispatcher.report({
			grantId,
			nodeId,
			routeId,
			service: 'malipo',
			region: 'pwani',
			targetId: target.targetId,
			result,
			durationMs,
			targetNotices: [],
		});
	};

	const acquireGrant = async (request: Partial<core.AcquireGrantRequest> = {}): Promise<core.Grant> => {
		const reply = await acquire(request);
		if (!reply.isGranted) {
			throw new Error(`the dispatcher refused: ${reply.refusal}`);
		}

		return reply;
	};

	return {clock, random, metrics, notices, registered, dispatcher, acquire, acquireGrant, report};
};
