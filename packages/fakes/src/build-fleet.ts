import type * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';

/** Builds a registered target with defaults for tests. */
export const buildTarget = (given: Partial<domain.RegisteredTarget> & {targetId: string}): domain.RegisteredTarget => ({
	startedAtMs: 1,
	service: 'malipo',
	address: '127.0.0.1:1',
	region: 'pwani',
	availabilityZone: 'kinondoni',
	slotCount: 4,
	readiness: domain.TargetReadiness.Ready,
	warmUpLeftMs: 0,
	...given,
});

/** Builds a registered node with defaults for tests. */
export const buildNode = (nodeId: string, given: Partial<domain.RegisteredNode> = {}): domain.RegisteredNode => ({
	nodeId,
	incarnationId: `${nodeId}#1`,
	address: `${nodeId}:1`,
	region: 'pwani',
	availabilityZone: 'kinondoni',
	capacityCores: 0.5,
	...given,
});

/** Builds a host route with defaults for tests. */
export const buildHostRoute = (given: Partial<domain.HostRoute> = {}): domain.HostRoute => ({
	routeId: 'route',
	host: 'gateway.example',
	pathPrefix: '/clearances/',
	shares: [{service: 'malipo', weight: 1}],
	repeatability: domain.Repeatability.Single,
	isBulk: false,
	timeoutMs: 2000,
	latencyObjectiveMs: 1200,
	attemptLimit: 2,
	priority: 1,
	...given,
});

export const buildFleetCatalogue = (version: number, routes: readonly domain.HostRoute[]): domain.FleetCatalogue => ({
	version,
	routes,
	unreadableRoutes: [],
	services: [{service: 'malipo', healthPath: '/health', connectionLimit: 390}],
	limits: {headerLimitBytes: 16_384, bodyLimitBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000},
});

/** Builds a grant request with defaults for tests. */
export const buildGrantRequest = (
	requestId: string,
	given: Partial<core.AcquireGrantRequest> = {},
): core.AcquireGrantRequest => ({
	requestId,
	nodeId: 'entry-1',
	availabilityZone: 'kinondoni',
	routeId: 'route',
	service: 'malipo',
	region: 'pwani',
	priority: 1,
	repeatability: domain.Repeatability.Single,
	attemptIndex: 0,
	isNewCall: (given.attemptIndex ?? 0) === 0,
	remainingMs: 2000,
	objectiveLeftMs: 1200,
	waitLimitMs: 0,
	isLastResort: false,
	excludedTargetIds: [],
	targetNotices: [],
	...given,
});

/** Builds changes that contain all records of a topic. */
export const buildCompleteChanges = <Topic extends core.RegistryTopic>(
	records: ReadonlyArray<core.RegistryRecord<Topic>>,
	nextOffset: number,
): core.TopicChanges<Topic> => ({records, nextOffset, isWhole: true});
