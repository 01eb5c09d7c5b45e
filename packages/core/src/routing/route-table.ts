import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';

/** A route with the service that it belongs to. */
export type MatchedRoute = {
	readonly service: string;
	readonly route: domain.RouteEntry;
};

export enum RouteMiss {
	UnknownPath = 'unknown-path',
	MethodNotAllowed = 'method-not-allowed',
}

export type RouteTable = {
	/** Replaces all routes of a service; an empty list removes them. */
	replaceServiceRoutes(service: string, routes: readonly domain.RouteEntry[]): void;
	/** Finds the route with the longest matching prefix that accepts the method. */
	findRoute(method: string, path: string): neverthrow.Result<MatchedRoute, RouteMiss>;
};

type RouteNode = {
	readonly children: Map<string, RouteNode>;
	routes: MatchedRoute[];
};

const createRouteNode = (): RouteNode => ({children: new Map(), routes: []});

const splitPath = (path: string): string[] => path.split('/').filter(segment => segment !== '');

/**
 * Creates a route table as a trie by path segment, so that a lookup costs the depth of the path and not the number of
 * routes.
 */
export const createRouteTable = (): RouteTable => {
	const root = createRouteNode();
	const routesByService = new Map<string, readonly domain.RouteEntry[]>();

	const findOrCreateNode = (prefix: string): RouteNode =>
		splitPath(prefix).reduce((node, segment) => {
			const existing = node.children.get(segment);
			if (existing) {
				return existing;
			}

			const created = createRouteNode();
			node.children.set(segment, created);
			return created;
		}, root);

	const removeRoute = (service: string, prefix: string): void => {
		const segments = splitPath(prefix);
		const visited = segments.reduce<RouteNode[]>(
			(nodes, segment) => {
				const child = nodes.at(-1)?.children.get(segment);
				return child ? [...nodes, child] : nodes;
			},
			[root],
		);
		const last = visited.at(-1)!;
		last.routes = last.routes.filter(matched => matched.service !== service);
		segments.toReversed().forEach((segment, index) => {
			const child = visited[segments.length - index];
			const isEmpty = child?.routes.length === 0 && child.children.size === 0;
			if (isEmpty) {
				visited[segments.length - index - 1]!.children.delete(segment);
			}
		});
	};

	return {
		replaceServiceRoutes(service, routes) {
			(routesByService.get(service) ?? []).forEach(route => {
				removeRoute(service, route.pathPrefix);
			});
			routesByService.delete(service);
			if (routes.length > 0) {
				routesByService.set(service, routes);
			}

			routes.forEach(route => {
				findOrCreateNode(route.pathPrefix).routes.push({service, route});
			});
		},
		findRoute(method, path) {
			let node: RouteNode | undefined = root;
			let best: MatchedRoute | undefined;
			let isPathKnown = false;
			const segments = splitPath(path);
			for (let depth = 0; node; depth++) {
				isPathKnown ||= node.routes.length > 0;
				best = node.routes.find(({route}) => route.methods.includes(method)) ?? best;
				const segment: string | undefined = segments[depth];
				node = segment === undefined ? undefined : node.children.get(segment);
			}

			return best
				? neverthrow.ok(best)
				: neverthrow.err(isPathKnown ? RouteMiss.MethodNotAllowed : RouteMiss.UnknownPath);
		},
	};
};
