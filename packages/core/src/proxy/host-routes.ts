import type * as domain from '@bilberrydoor/domain';
import {groupBy} from '../shared/group-by.js';

export enum RouteMatchKind {
	Readable = 'readable',
	/** The longest matching prefix belongs to a rule that cannot be read. */
	Unreadable = 'unreadable',
	None = 'none',
}

export type RouteMatch =
	| {readonly kind: RouteMatchKind.Readable; readonly route: domain.HostRoute}
	| {readonly kind: RouteMatchKind.Unreadable | RouteMatchKind.None};

/** Finds routes by host and path. */
export type HostRoutes = {
	/** The route of the host whose path prefix is the longest one that matches the path. */
	find(host: string, path: string): RouteMatch;
};

const UNREADABLE: RouteMatch = {kind: RouteMatchKind.Unreadable};
const NO_MATCH: RouteMatch = {kind: RouteMatchKind.None};

/** Prefix of every path. */
const ROOT_PREFIX = '/';

/** Every prefix of a path that ends with a slash, the longest first. */
const listPrefixes = (path: string): string[] => {
	const segments = path.split('/');
	return segments.slice(1).map((_, index) => `${segments.slice(0, segments.length - 1 - index).join('/')}/`);
};

/** Removes the port from a `Host` header. */
const normalizeHost = (host: string): string => host.toLowerCase().replace(/:\d+$/, '');

type HostedMatch = {readonly host: string; readonly pathPrefix: string; readonly match: RouteMatch};

/** Builds an index whose look-up cost depends on the number of path segments and not on the number of routes. */
export const createHostRoutes = (
	routes: readonly domain.HostRoute[],
	unreadableRoutes: readonly domain.UnreadableRoute[] = [],
): HostRoutes => {
	const unreadable = unreadableRoutes.flatMap(({host, pathPrefix = ROOT_PREFIX}): HostedMatch[] =>
		host === undefined ? [] : [{host, pathPrefix, match: UNREADABLE}],
	);
	const readable = routes.map(
		(route): HostedMatch => ({
			host: route.host,
			pathPrefix: route.pathPrefix,
			match: {kind: RouteMatchKind.Readable, route},
		}),
	);
	const byHost = new Map(
		// A readable rule replaces an unreadable one with the same prefix.
		[...groupBy([...unreadable, ...readable], ({host}) => normalizeHost(host))].map(([host, matches]) => [
			host,
			new Map(matches.map(({pathPrefix, match}) => [pathPrefix, match])),
		]),
	);
	const defaultMatch = unreadableRoutes.some(({host}) => host === undefined) ? UNREADABLE : NO_MATCH;
	return {
		find(host, path) {
			const matchesByPrefix = byHost.get(normalizeHost(host));
			const longestPrefix = matchesByPrefix && listPrefixes(path).find(prefix => matchesByPrefix.has(prefix));
			const match = longestPrefix === undefined ? undefined : matchesByPrefix?.get(longestPrefix);
			return match ?? defaultMatch;
		},
	};
};
