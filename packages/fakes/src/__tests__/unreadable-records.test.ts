import * as core from '@bilberrydoor/core';
import test from 'ava';
import * as neverthrow from 'neverthrow';
import {buildFleetCatalogue, buildHostRoute, buildNode, buildTarget} from '../build-fleet.js';
import {buildGrantParts} from '../build-grants.js';

const {Catalogue, Nodes, Targets} = core.RegistryTopic;

const createRegistry = (): core.Registry =>
	buildGrantParts({
		targets: [buildTarget({targetId: 'a'}), buildTarget({targetId: 'b'})],
		nodes: [buildNode('peer')],
		peerClient: {request: async () => neverthrow.err({kind: core.PeerErrorKind.Unreachable, detail: 'no peers'})},
	}).registry;

const buildUnreadable = (key: string, offset: number) => ({
	records: [{key, offset, value: undefined, isUnreadable: true}],
	nextOffset: offset + 1,
	isWhole: false,
});

const CLEARANCES = buildHostRoute({routeId: 'clearances', pathPrefix: '/clearances/'});
const PHOTOS = buildHostRoute({routeId: 'photos', pathPrefix: '/photos/'});

/** Rules of a newer catalogue that cannot be read, and the routes in force after it. */
const CARRIED_OVER = [
	{
		name: 'matched by host and prefix',
		unreadable: {routeId: 'renamed', host: PHOTOS.host, pathPrefix: PHOTOS.pathPrefix},
		isKept: true,
	},
	{name: 'matched by id without a prefix', unreadable: {routeId: 'photos', host: PHOTOS.host}, isKept: true},
	{name: 'matched by id without a host', unreadable: {routeId: 'photos'}, isKept: true},
	{
		name: 'of a new prefix',
		unreadable: {routeId: 'photos', host: PHOTOS.host, pathPrefix: '/pictures/'},
		isKept: false,
	},
	{name: 'without anything that identifies it', unreadable: {}, isKept: false},
];

// Guards against one rule of another version that takes a route, or the whole catalogue, out of force.
CARRIED_OVER.forEach(({name, unreadable, isKept}) => {
	test(`the last readable version of a rule ${name} ${isKept ? 'stays' : 'does not stay'} in force`, t => {
		const registry = createRegistry();
		const first = buildFleetCatalogue(1, [CLEARANCES, PHOTOS]);
		const second = {...buildFleetCatalogue(2, [CLEARANCES]), unreadableRoutes: [unreadable]};
		[first, second].forEach((value, offset) => {
			registry.apply({
				[Catalogue]: {records: [{key: 'config', offset, value}], nextOffset: offset + 1, isWhole: false},
			});
		});
		t.is(registry.catalogue()?.version, 2);
		t.deepEqual(registry.catalogue()?.routes, isKept ? [CLEARANCES, PHOTOS] : [CLEARANCES]);
		t.deepEqual(registry.catalogue()?.unreadableRoutes, isKept ? [] : [unreadable]);
		// A node that joins later gets the completed catalogue.
		t.deepEqual(registry.replicas.catalogue.changesSince(-1).records[0]?.value, registry.catalogue());
	});
});

test('an unreadable catalogue keeps the last one in force', t => {
	const registry = createRegistry();
	const value = buildFleetCatalogue(1, [CLEARANCES]);
	registry.apply({[Catalogue]: {records: [{key: 'config', offset: 0, value}], nextOffset: 1, isWhole: true}});
	registry.apply({[Catalogue]: buildUnreadable('config', 1)});
	t.is(registry.catalogue()?.version, 1);
});

test('an unreadable node record keeps the last one, and a removal takes it away', t => {
	const registry = createRegistry();
	const listNodeIds = () => registry.nodesOf('pwani').map(({nodeId}) => nodeId);
	registry.apply({[Nodes]: buildUnreadable('peer', 5)});
	t.deepEqual(listNodeIds(), ['peer', 'self']);
	registry.apply({[Nodes]: {records: [{key: 'peer', offset: 6, value: undefined}], nextOffset: 7, isWhole: false}});
	t.deepEqual(listNodeIds(), ['self']);
});

test('an unreadable target record names no target, and the others stay', t => {
	const registry = createRegistry();
	registry.apply({[Targets]: buildUnreadable('a', 5)});
	t.deepEqual(
		registry.targetsOf('malipo', 'pwani').map(({targetId}) => targetId),
		['b'],
	);
});
