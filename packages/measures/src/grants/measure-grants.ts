import {Buffer} from 'node:buffer';
import * as core from '@bilberrydoor/core';
import * as fakes from '@bilberrydoor/fakes';
import type {Measure} from '../measure.js';
import {measureBytesPerItem, measureNs, measurePoints} from '../capacity/slope.js';

const DECISION_COUNT = 5000;
const LOOKUP_COUNT = 20_000;
const ROUTES_PER_HOST = 15;
const SIZES = {
	groupTargets: [4, 16, 64],
	targets: [2000, 20_000, 200_000],
	routes: [3000, 30_000, 110_000],
	nodes: [40, 410, 4100],
};

const buildTargets = (count: number) =>
	Array.from({length: count}, (_, index) =>
		fakes.buildTarget({targetId: `i-${index.toString(16).padStart(10, '0')}`, address: `10.0.0.1:${index}`}),
	);

const buildNodes = (count: number) => Array.from({length: count}, (_, index) => fakes.buildNode(`node-${index}`));

const buildRoutes = (count: number) =>
	Array.from({length: count}, (_, index) =>
		fakes.buildHostRoute({
			routeId: `route-${index}`,
			host: `host-${Math.floor(index / ROUTES_PER_HOST)}.example`,
			pathPrefix: `/kind-${index % ROUTES_PER_HOST}/`,
		}),
	);

const createRegistry = (): core.Registry => {
	const clock = fakes.createVirtualClock();
	const logger = fakes.createSilentLogger();
	return core.createRegistry({
		self: fakes.buildNode('self'),
		clock,
		logger,
		metrics: fakes.createFakeMetrics(),
		peerReachability: core.createPeerReachability({clock, logger}),
	});
};

/** Creates a registry that holds the given records of a topic. */
const fillRegistry = <Topic extends core.RegistryTopic>(
	topic: Topic,
	values: ReadonlyArray<core.RegistryValues[Topic]>,
): core.Registry => {
	const registry = createRegistry();
	const records = values.map((value, offset) => ({key: String(offset), offset, value}));
	registry.apply({[topic]: {records, nextOffset: records.length, isWhole: false}});
	return registry;
};

/** Creates a function that acquires one grant and reports its result, in a group of `targetCount` targets. */
const createGrantRound = (targetCount: number): ((index: number) => Promise<void>) => {
	const targets = buildTargets(targetCount);
	const clock = fakes.createVirtualClock();
	const logger = fakes.createSilentLogger();
	const dispatcher = core.createGroupDispatcher({
		groupId: 'malipo@pwani',
		options: core.DEFAULT_DISPATCHER_OPTIONS,
		clock,
		random: fakes.createSeededRandom(1),
		logger,
		metrics: fakes.createFakeMetrics(),
		notices: core.createTargetNotices({clock, logger}),
		listTargets: () => targets,
		readTargetOffset: () => undefined,
	});
	const {signal} = new AbortController();
	return async index => {
		const request = fakes.buildGrantRequest(`request-${index}`);
		const reply = await dispatcher.acquire(request, signal);
		if (reply.isGranted) {
			const {targetId} = reply.target;
			const attemptResult = {targetId, result: core.GrantResult.Success, durationMs: 250};
			dispatcher.report({...request, grantId: reply.grantId, ...attemptResult});
		}
	};
};

const measureRouteLookup = async (routeCount: number): Promise<number> => {
	const routes = core.createHostRoutes(buildRoutes(routeCount));
	const hostCount = Math.ceil(routeCount / ROUTES_PER_HOST);
	return measureNs(LOOKUP_COUNT, index => routes.find(`host-${index % hostCount}.example`, '/kind-3/item/7'));
};

const measureRanking = async (nodeCount: number): Promise<number> => {
	const registry = fillRegistry(core.RegistryTopic.Nodes, buildNodes(nodeCount));
	const groupCount = 100;
	const rounds = Math.max(20, Math.round(20_000 / nodeCount));
	return measureNs(rounds, index => registry.rankNodes(`group-${index % groupCount}`, 'pwani', 2));
};

/** Measures time or memory of a grant, a route lookup, a ranking and a record on the platform's path, at three sizes. */
export const measureGrants: Measure = async ({reportProgress}) => {
	const points = {
		grantAndReportNs: await measurePoints(SIZES.groupTargets, async size =>
			measureNs(DECISION_COUNT, createGrantRound(size)),
		),
		routeLookupNs: await measurePoints(SIZES.routes, measureRouteLookup),
		rankingNs: await measurePoints(SIZES.nodes, measureRanking),
		bytesPerTarget: await measurePoints(SIZES.targets, size =>
			measureBytesPerItem(size, count => fillRegistry(core.RegistryTopic.Targets, buildTargets(count))),
		),
		bytesPerRoute: await measurePoints(SIZES.routes, size =>
			measureBytesPerItem(size, count => core.createHostRoutes(buildRoutes(count))),
		),
	};
	Object.entries(points).forEach(([name, sizePoints]) => {
		reportProgress(`${name}: ${sizePoints.map(({size, figure}) => `${size}: ${figure}`).join(', ')}`);
	});
	const [target] = buildTargets(1);
	const request = fakes.buildGrantRequest('9c41d07be2a35f68');
	const grant = {isGranted: true, grantId: '9c41d07be2a35f68.0.1', target, standing: 'sound', usualDurationMs: 250};
	const measureBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));
	return {
		points,
		messageBytes: {request: measureBytes(request), grant: measureBytes(grant), targetRecord: measureBytes(target)},
	};
};
