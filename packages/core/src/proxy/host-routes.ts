import type * as domain from '@bilberrydoor/domain';
import {groupBy} from '../shared/group-by.js';

/** Finds routes by host and path. */
export type HostRoutes = {
	/** The route of the host whose path prefix is the longest one that matches the path. */
	find(host: string, path: string): domain.HostRoute | undefined;
};

/** Every prefix of a path that ends with a slash, the longest first. */
const listPrefixes = (path: string): string[] => {
	const segments = path.split('/');
	return segments.slice(1).map((_, index) => `${segments.slice(0, segments.length - 1 - index).join('/')}/`);
};

/** Removes the port from a `Host` header. */
const normalizeHost = (host: string): string => host.toLowerCase().replace(/:\d+$/, '');

/** Builds an index whose look-up cost depends on the number of path segments and not on the number of routes. */
export const createHostRoutes = (routes: readonly domain.HostRoute[]): HostRoutes => {
	const byHost = new Map(
		[...groupBy(routes, ({host}) => normalizeHost(host))].map(([host, hostRoutes]) => [
			host,
			new Map(hostRoutes.map(route => [route.pathPrefix, route])),
		]),
	);
	return {
		find(host, path) {
			const routesByPrefix = byHost.get(normalizeHost(host));
			const longestPrefix = routesByPrefix && listPrefixes(path).find(prefix => routesByPrefix.has(prefix));
			return longestPrefix === undefined ? undefined : routesByPrefix?.get(longestPrefix);
		},
	};
};
