import * as core from '@bilberrydoor/core';
import test from 'ava';
import {buildEntry, buildTargets} from '../build-entry.js';
import {createFakeFleet} from '../fake-fleet.js';
import {createFakeHost} from '../fake-host.js';
import {createSeededRandom} from '../seeded-random.js';

const FAR = {region: 'pwani', availabilityZone: 'temeke'};
const SELF = 'self:1';
const PEER = 'peer:1';
const TARGET = 'ratiba-1:80';

const entry = buildEntry({
	service: 'ratiba',
	targets: buildTargets({service: 'ratiba', count: 1, slotCount: 4, places: [FAR]}),
});

// Guards against an ejection for a fault of this node's path, and against a peer's word that overrules a gray fault.
const PATH_CASES = [
	{name: 'both reach the target', fault: [], expected: core.PathVerdict.TargetAtFault},
	{name: 'only the peer reaches it', fault: [[SELF, TARGET]], expected: core.PathVerdict.PathAtFault},
	{name: 'only the peer gets its answers', fault: [[TARGET, SELF]], expected: core.PathVerdict.PathAtFault},
	{
		name: 'neither reaches it',
		fault: [
			[SELF, TARGET],
			[PEER, TARGET],
		],
		expected: core.PathVerdict.TargetAtFault,
	},
	{
		name: 'the peer cannot be asked',
		fault: [
			[SELF, TARGET],
			[SELF, PEER],
		],
		expected: core.PathVerdict.TargetAtFault,
	},
];

PATH_CASES.forEach(({name, fault, expected}) => {
	test(`the verdict is ${expected} when ${name}`, async t => {
		const fleet = createFakeFleet();
		const peer = fleet.startNode({address: PEER, ...FAR});
		fleet.addTargets(entry);
		await fleet.publishEntry(entry);
		fault.forEach(([from, to]) => {
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
