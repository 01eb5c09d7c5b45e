import * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import type {CatalogueStore} from '../catalogue/catalogue-store.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import {rankByRendezvous} from '../routing/rendezvous-ranking.js';
import {RouteMiss, type RouteTable} from '../routing/route-table.js';
import type {TargetGroup} from '../routing/target-groups.js';

/** A group that a call may be scheduled in. */
export type ExplainedGroup = {
	readonly groupId: string;
	readonly region: string;
	readonly targetCount: number;
	readonly slotCount: number;
	readonly floorSlotCount: number;
	/** Address of the node that schedules the group; this node when its directory has no eligible node in the region. */
	readonly schedulingNode: string;
	/** Groups of the entry node's own region are chosen first. */
	readonly isOwnRegion: boolean;
};

/** Service, route, groups and limits that apply to a request. */
export type RouteExplanation = {
	readonly service: string;
	readonly owner: string;
	readonly revision: number;
	readonly route: domain.RouteEntry;
	readonly groups: readonly ExplainedGroup[];
	readonly queue: domain.QueueLimit;
	readonly defaultWorkspaceLimit: domain.WorkspaceLimit;
	readonly retryBudgetRatio: number;
};

export type ExplainRoute = (method: string, path: string) => neverthrow.Result<RouteExplanation, domain.RefusalReason>;

const REASONS_BY_ROUTE_MISS: Record<RouteMiss, domain.RefusalReason> = {
	[RouteMiss.UnknownPath]: domain.RefusalReason.UnknownRoute,
	[RouteMiss.MethodNotAllowed]: domain.RefusalReason.MethodNotAllowed,
};

/** Explains routes from the same tables that are used for calls. */
export const createRouteExplainer = (dependencies: {
	store: CatalogueStore;
	routeTable: RouteTable;
	directory: MemberDirectory;
	listGroups: (service: string) => readonly TargetGroup[];
}): ExplainRoute => {
	const {store, routeTable, directory, listGroups} = dependencies;
	const explainGroup = (group: TargetGroup): ExplainedGroup => ({
		groupId: group.groupId,
		region: group.region,
		targetCount: group.targets.length,
		slotCount: group.slotCount,
		floorSlotCount: group.floorSlotCount,
		schedulingNode: (rankByRendezvous(group.groupId, directory.listEligibleNodes(group.region), 1)[0] ?? directory.self)
			.address,
		isOwnRegion: group.region === directory.self.region,
	});

	return (method, path) =>
		routeTable
			.findRoute(method, path)
			.mapErr(miss => REASONS_BY_ROUTE_MISS[miss])
			.andThen(({service, route}) => {
				const item = store.findItem(service);
				if (!item?.entry) {
					return neverthrow.err(domain.RefusalReason.UnknownRoute);
				}

				const {owner, queue, defaultWorkspaceLimit, retryBudgetRatio} = item.entry;
				const groups = listGroups(service).map(explainGroup);
				const limits = {queue, defaultWorkspaceLimit, retryBudgetRatio};
				return neverthrow.ok({service, owner, revision: item.revision, route, groups, ...limits});
			});
};
