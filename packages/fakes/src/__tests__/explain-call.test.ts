import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as neverthrow from 'neverthrow';
import {buildFleetCatalogue, buildGrantRequest, buildHostRoute, buildNode, buildTarget} from '../build-fleet.js';
import {buildGrantParts} from '../build-grants.js';

const WORKSPACE: domain.FleetWorkspace = {
	name: 'depot-7',
	keyDigests: ['0f'.repeat(32)],
	priority: 2,
	ratePerSecond: 240,
	burstCount: 100,
};
const REQUEST = {host: 'gateway.example', path: '/clearances/17?ward=3', workspace: 'depot-7'};

const createHarness = () => {
	const messages: core.FleetMessageKind[] = [];
	const peerClient: core.FleetPeerClient = {
		async request(_address, kind) {
			messages.push(kind);
			return neverthrow.err({kind: core.PeerErrorKind.Lost, detail: 'lost'});
		},
	};
	const parts = buildGrantParts({
		targets: [
			buildTarget({targetId: 'near'}),
			buildTarget({targetId: 'far', availabilityZone: 'temeke'}),
			buildTarget({targetId: 'away', region: 'bara', availabilityZone: 'morogoro'}),
		],
		nodes: [buildNode('peer', {region: 'bara', availabilityZone: 'morogoro'})],
		peerClient,
	});
	const {registry, dispatchers, grants, self} = parts;
	const value = {...buildFleetCatalogue(4, [buildHostRoute()]), workspaces: [WORKSPACE]};
	const catalogue = {records: [{key: 'config', offset: 0, value}], nextOffset: 1, isWhole: true};
	registry.apply({[core.RegistryTopic.Catalogue]: catalogue});
	const explain = core.createCallExplainer({self, registry, dispatchers, planner: grants.planner});
	const acquire = async () =>
		grants.acquire({...buildGrantRequest('request'), isBulk: false}, new AbortController().signal);
	return {...parts, explain, acquire, messages};
};

test('a request is explained by route, workspace, order of regions, dispatcher and targets', async t => {
	const {explain, acquire} = createHarness();
	await acquire();
	const explanation = explain(REQUEST);
	t.like(explanation, {
		catalogueVersion: 4,
		match: core.RouteMatchKind.Readable,
		isKeyNeeded: true,
		priority: 2001,
		workspace: {name: 'depot-7', isKnown: true, ratePerSecond: 240, burstCount: 100},
	});
	const [own, other] = explanation.services[0]!.regions;
	t.like(own, {region: 'pwani', isOwnRegion: true, dispatcher: {nodeId: 'self', isThisNode: true}});
	t.true(own!.waitLimitMs! > 0);
	t.deepEqual(
		own!
			.group!.targets.map(({targetId, openCount}) => ({targetId, openCount}))
			.toSorted((left, right) => left.targetId.localeCompare(right.targetId)),
		[
			{targetId: 'far', openCount: 0},
			{targetId: 'near', openCount: 1},
		],
	);
	t.like(other, {region: 'bara', whenOwnIsFull: {isAsked: true}, dispatcher: {nodeId: 'peer', isThisNode: false}});
});

// Guards against an explanation that takes a slot, sends a message, or starts a dispatcher on a node that has none.
test('explaining a request changes nothing', async t => {
	const {explain, messages, dispatchers, acquire} = createHarness();
	explain(REQUEST);
	t.is(dispatchers.find('malipo', 'pwani'), undefined);
	await acquire();
	const before = explain(REQUEST);
	for (let count = 0; count < 50; count++) {
		explain(REQUEST);
	}

	t.deepEqual(explain(REQUEST), before);
	t.deepEqual(messages, []);
});

// Guards against digests of keys in an answer that needs no key to read.
test('an explanation contains no digest of a key', t => {
	const {explain} = createHarness();
	t.false(JSON.stringify(explain(REQUEST)).includes(WORKSPACE.keyDigests[0]!));
});

test('a request without a route, and one of an unknown workspace, are said to be so', t => {
	const {explain} = createHarness();
	t.like(explain({...REQUEST, host: 'other.example'}), {
		match: core.RouteMatchKind.None,
		route: undefined,
		services: [],
	});
	t.like(explain({...REQUEST, workspace: 'depot-8'}), {workspace: {name: 'depot-8', isKnown: false}, priority: 1001});
});
