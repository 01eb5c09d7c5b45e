import type * as domain from '@bilberrydoor/domain';

const buildPlaceKey = ({host, pathPrefix}: Pick<domain.HostRoute, 'host' | 'pathPrefix'>): string =>
	`${host}${pathPrefix}`;

/**
 * Keeps the last readable version of each rule that cannot be read in a newer catalogue. Rules are matched by host and
 * prefix or, where one of these cannot be read, by id. A rule without a readable version stays unreadable.
 */
export const carryOverRoutes = (
	previous: domain.FleetCatalogue | undefined,
	next: domain.FleetCatalogue,
): domain.FleetCatalogue => {
	if (previous === undefined || next.unreadableRoutes.length === 0) {
		return next;
	}

	const previousByPlace = new Map(previous.routes.map(route => [buildPlaceKey(route), route]));
	const previousById = new Map(previous.routes.map(route => [route.routeId, route]));
	const nextPlaces = new Set(next.routes.map(buildPlaceKey));
	const findReadable = ({routeId, host, pathPrefix}: domain.UnreadableRoute): domain.HostRoute | undefined =>
		host !== undefined && pathPrefix !== undefined
			? previousByPlace.get(buildPlaceKey({host, pathPrefix}))
			: previousById.get(routeId ?? '');
	const resolved = next.unreadableRoutes.map(unreadable => ({unreadable, route: findReadable(unreadable)}));
	const carriedOver = resolved.flatMap(({route}) => (route && !nextPlaces.has(buildPlaceKey(route)) ? [route] : []));
	return {
		...next,
		routes: [...next.routes, ...carriedOver],
		unreadableRoutes: resolved.flatMap(({unreadable, route}) => (route ? [] : [unreadable])),
	};
};
