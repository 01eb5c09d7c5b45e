import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildHostRoute} from '../build-fleet.js';

test('an unknown host or prefix has no route, and the longest prefix wins', t => {
	const short = buildHostRoute({routeId: 'short', pathPrefix: '/a/'});
	const long = buildHostRoute({routeId: 'long', pathPrefix: '/a/b/'});
	const routes = core.createHostRoutes([short, long]);
	const {Readable, None} = core.RouteMatchKind;
	t.deepEqual(routes.find('gateway.example:8080', '/a/b/c'), {kind: Readable, route: long});
	t.deepEqual(routes.find('GATEWAY.example', '/a/bc'), {kind: Readable, route: short});
	t.deepEqual(routes.find('gateway.example', '/a'), {kind: None});
	t.deepEqual(routes.find('other.example', '/a/b/'), {kind: None});
});

// Guards against a 404 for calls that the catalogue allows, and against calls that go to the service of a shorter prefix.
const UNREADABLE_ROUTES: ReadonlyArray<{
	readonly name: string;
	readonly unreadable: domain.UnreadableRoute;
	readonly refused: readonly string[];
	readonly unknown: readonly string[];
}> = [
	{
		name: 'of a known prefix',
		unreadable: {host: 'gateway.example', pathPrefix: '/a/b/'},
		refused: ['gateway.example/a/b/c'],
		unknown: ['gateway.example/x/', 'other.example/a/b/'],
	},
	{
		name: 'without a prefix',
		unreadable: {host: 'gateway.example'},
		refused: ['gateway.example/x/'],
		unknown: ['other.example/x/'],
	},
	{name: 'without a host', unreadable: {}, refused: ['gateway.example/x/', 'other.example/'], unknown: []},
];

UNREADABLE_ROUTES.forEach(({name, unreadable, refused, unknown}) => {
	test(`an unreadable rule ${name} refuses the calls that it may cover`, t => {
		const readable = buildHostRoute({pathPrefix: '/a/'});
		const routes = core.createHostRoutes([readable], [unreadable]);
		const find = (place: string): core.RouteMatch => {
			const start = place.indexOf('/');
			return routes.find(place.slice(0, start), place.slice(start));
		};

		t.deepEqual(find('gateway.example/a/x'), {kind: core.RouteMatchKind.Readable, route: readable});
		t.deepEqual(
			[...refused, ...unknown].map(place => find(place)),
			[
				...refused.map(() => ({kind: core.RouteMatchKind.Unreadable as const})),
				...unknown.map(() => ({kind: core.RouteMatchKind.None as const})),
			],
		);
	});
});
