import * as core from '@bilberrydoor/core';
import test from 'ava';
import {buildEntry, buildTargets} from '../build-entry.js';
import {createFakeFleet} from '../fake-fleet.js';
import {createFakeHost} from '../fake-host.js';
import {createSeededRandom} from '../seeded-random.js';

const PEER_PLACE = {region: 'pwani', availabilityZone: 'temeke'};
const SELF = 'self:1';
const PEER = 'peer:1';
const TARGET = 'ratiba-1:80';

const entry = buildEntry({
	service: 'ratiba',
	targets: buildTargets({service: 'ratiba', count: 1, slotCount: 4, places: [PEER_PLACE]}),
});

// Guards against an ejection for a fault of this node's network path, and against a successful probe that clears a gray
// target.
const PATH_CASES = [
	{name: 'this node and the peer reach the target', cutLinks: [], expected: core.PathVerdict.TargetAtFault},
	{name: 'only the peer reaches the target', cutLinks: [[SELF, TARGET]], expected: core.PathVerdict.PathAtFault},
	{
		name: 'only the peer gets answers from the target',
		cutLinks: [[TARGET, SELF]],
		expected: core.PathVerdict.PathAtFault,
	},
	{
		name: 'neither reaches the target',
		cutLinks: [
			[SELF, TARGET],
			[PEER, TARGET],
		],
		expected: core.PathVerdict.TargetAtFault,
	},
	{
		name: 'this node reaches neither the target nor the peer',
		cutLinks: [
			[SELF, TARGET],
			[SELF, PEER],
		],
		expected: core.PathVerdict.TargetAtFault,
	},
];

PATH_CASES.forEach(({name, cutLinks, expected}) => {
	test(`the verdict is ${expected} when ${name}`, async t => {
		const fleet = createFakeFleet();
		const peer = fleet.startNode({address: PEER, ...PEER_PLACE});
		fleet.addTargets(entry);
		await fleet.publishEntry(entry);
		cutLinks.forEach(([from, to]) => {
			fleet.network.cut(from!, to!);
		});
		const host = createFakeHost();
		const checkPath = core.createPathCheck({
			ports: {
				clock: fleet.clock,
				random: createSeededRandom(1),
				targetClient: fleet.network.createTargetClient(SELF, host),
				peerClient: fleet.network.createPeerClient(SELF, host),
			},
			service: 'ratiba',
			timeoutMs: 300,
			listPeers: () => [peer.node.self],
		});
		const {signal} = new AbortController();
		const verdict = await fleet.clock.runUntilSettled(checkPath(entry.targets[0]!, signal), 5000);
		t.is(verdict, expected);
	});
});
