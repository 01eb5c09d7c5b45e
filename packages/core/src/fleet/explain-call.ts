import type * as domain from '@bilberrydoor/domain';
import type {DispatcherTable} from '../grants/dispatcher-table.js';
import type {GroupExplanation} from '../grants/explain-targets.js';
import {rankDispatchers} from '../grants/request-from-region.js';
import * as ports from '../ports/index.js';
import {createCatalogueIndex, type CatalogueIndex} from '../proxy/catalogue-index.js';
import {RouteMatchKind} from '../proxy/host-routes.js';
import type {Registry} from '../registry/registry.js';
import {combinePriorities} from '../workspaces/combine-priorities.js';
import type {AwayDecision, PlannedCall, RegionView} from '../zones/region-plan.js';
import type {RegionPlanner} from '../zones/region-planner.js';

/** A request whose way is asked for. */
export type ExplainedRequest = {
	readonly host: string;
	readonly path: string;
	/** Name of the workspace of the request's key, if it has one. */
	readonly workspace?: string;
	/** Length of its body, in bytes. */
	readonly bodyBytes?: number;
	/** Node that the request arrives at, if it is another one: a dispatcher explains its targets for it. */
	readonly entryNode?: Pick<domain.RegisteredNode, 'nodeId' | 'region' | 'availabilityZone'>;
};

/** The group of a service in one region, as it would be asked now. */
export type RegionExplanation = {
	readonly region: string;
	readonly isOwnRegion: boolean;
	/** Longest wait in the own region before others are asked, in ms; absent for other regions. */
	readonly waitLimitMs?: number;
	/** Whether the region is asked when the own one is full, and what is known of it; absent for the own region. */
	readonly whenOwnIsFull?: AwayDecision;
	readonly view?: RegionView;
	readonly dispatcher: {readonly nodeId: string; readonly address: string; readonly isThisNode: boolean};
	/** What the dispatcher sees; absent if it is another node, or has had no call yet. */
	readonly group?: GroupExplanation;
};

export type ServiceExplanation = {
	readonly service: string;
	readonly weight: number;
	/** Regions in the order in which they are asked. */
	readonly regions: readonly RegionExplanation[];
};

export type WorkspaceExplanation = {
	readonly name: string;
	/** Whether the catalogue has a workspace of this name. */
	readonly isKnown: boolean;
	readonly priority?: number;
	/** Calls a second that it may make across all nodes; 0 if there is no limit. */
	readonly ratePerSecond?: number;
	readonly burstCount?: number;
};

/** Where a request would go now, and why. */
export type CallExplanation = {
	readonly nodeId: string;
	readonly region: string;
	readonly availabilityZone: string;
	readonly catalogueVersion: number | undefined;
	readonly match: RouteMatchKind;
	readonly route?: domain.HostRoute;
	/** Whether the request needs the key of a workspace. */
	readonly isKeyNeeded: boolean;
	readonly workspace?: WorkspaceExplanation;
	/** Priority of workspace and route together; 0 is the highest. */
	readonly priority?: number;
	readonly services: readonly ServiceExplanation[];
};

export type CallExplainerParts = {
	readonly self: domain.RegisteredNode;
	readonly registry: Registry;
	readonly dispatchers: Pick<DispatcherTable, 'find'>;
	readonly planner: Pick<RegionPlanner, 'sortRegions' | 'planOwnWaitMs' | 'decideAway' | 'viewRegion'>;
};

/** Explains a request without sending it, and without taking a slot or a call of a quota. */
export type CallExplainer = (request: ExplainedRequest) => CallExplanation;

const explainWorkspace = (
	name: string | undefined,
	index: CatalogueIndex | undefined,
): WorkspaceExplanation | undefined => {
	if (name === undefined) {
		return undefined;
	}

	const known = index?.workspaces?.find(name);
	return known
		? {
				name,
				isKnown: true,
				priority: known.priority,
				ratePerSecond: known.ratePerSecond,
				burstCount: known.burstCount,
			}
		: {name, isKnown: false};
};

export const createCallExplainer = (parts: CallExplainerParts): CallExplainer => {
	const {self, registry, dispatchers, planner} = parts;
	const readIndex = createCatalogueIndex(registry);

	const explainRegion = (
		call: ports.AcquireGrantRequest,
		planned: PlannedCall,
		others: readonly string[],
	): RegionExplanation => {
		const {service, region} = call;
		const isOwnRegion = region === self.region;
		const {nodeId, address} = rankDispatchers(registry, service, region)[0] ?? self;
		const isThisNode = nodeId === self.nodeId;
		const ownIsFull = {refusal: ports.GrantRefusal.Busy, waitMs: Number.POSITIVE_INFINITY};
		return {
			region,
			isOwnRegion,
			...(isOwnRegion
				? {waitLimitMs: Math.round(planner.planOwnWaitMs(planned, others))}
				: {whenOwnIsFull: planner.decideAway(planned, region, ownIsFull), view: planner.viewRegion(planned, region)}),
			dispatcher: {nodeId, address, isThisNode},
			group: isThisNode ? dispatchers.find(service, region)?.explain(call) : undefined,
		};
	};

	const explainService = (
		{service, weight}: domain.ServiceShare,
		route: domain.HostRoute,
		{priority, bodyBytes, entryNode = self}: {priority: number} & Pick<ExplainedRequest, 'bodyBytes' | 'entryNode'>,
	): ServiceExplanation => {
		const {routeId, repeatability, isBulk, latencyObjectiveMs, timeoutMs} = route;
		const times = {objectiveLeftMs: latencyObjectiveMs, remainingMs: timeoutMs};
		const planned: PlannedCall = {routeId, service, isBulk, bodyBytes, attemptIndex: 0, ...times};
		const regions = registry.regionsOf(service);
		const others = planner.sortRegions(
			service,
			regions.filter(region => region !== self.region),
		);
		const ordered = regions.includes(self.region) ? [self.region, ...others] : others;
		const buildCall = (region: string): ports.AcquireGrantRequest => ({
			...times,
			requestId: 'explain-call',
			nodeId: entryNode.nodeId,
			availabilityZone: entryNode.availabilityZone,
			routeId,
			service,
			region,
			isFromOtherRegion: region !== entryNode.region,
			bodyBytes,
			priority,
			repeatability,
			attemptIndex: 0,
			isNewCall: false,
			waitLimitMs: 0,
			isLastResort: false,
			excludedTargetIds: [],
			targetNotices: [],
		});
		return {service, weight, regions: ordered.map(region => explainRegion(buildCall(region), planned, others))};
	};

	return ({host, path, workspace: name, bodyBytes, entryNode}) => {
		const index = readIndex();
		const match = index?.routes.find(host, path.split('?', 1)[0]!) ?? {kind: RouteMatchKind.None as const};
		const route = match.kind === RouteMatchKind.Readable ? match.route : undefined;
		const workspace = explainWorkspace(name, index);
		const priority =
			route && (index?.workspaces ? combinePriorities(workspace?.priority, route.priority) : route.priority);
		return {
			nodeId: self.nodeId,
			region: self.region,
			availabilityZone: self.availabilityZone,
			catalogueVersion: index?.catalogue.version,
			match: match.kind,
			route,
			isKeyNeeded: index?.workspaces !== undefined && route?.isPublic !== true,
			workspace,
			priority,
			services:
				route?.shares.map(share =>
					explainService(share, route, {priority: priority ?? route.priority, bodyBytes, entryNode}),
				) ?? [],
		};
	};
};
