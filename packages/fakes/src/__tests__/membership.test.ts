import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {createFakeFleet, type FakeFleet, type FakeNode} from '../fake-fleet.js';

const ZONES = [
	{region: 'pwani', availabilityZone: 'kinondoni'},
	{region: 'pwani', availabilityZone: 'temeke'},
	{region: 'bara', availabilityZone: 'dodoma-kati'},
];
const MINUTE_MS = 60_000;

/** Reduces the reads of the log and the VM list, which cause most of the virtual clock's work. */
const INFREQUENT_READ_SETTINGS = {catalogue: {readWaitMs: 30_000}, membership: {vmListPeriodMs: 2000}};

const startFleet = async (seed: number, count = 12): Promise<FakeFleet> => {
	const fleet = createFakeFleet({seed, settings: INFREQUENT_READ_SETTINGS});
	Array.from({length: count}, (_, index) => fleet.startNode({address: `n${index}:1`, ...ZONES[index % ZONES.length]!}));
	await fleet.clock.advance(MINUTE_MS);
	return fleet;
};

const listRunning = (fleet: FakeFleet): FakeNode[] =>
	[...new Map(fleet.nodes.map(node => [node.address, node])).values()].filter(node => !node.host.isDead());

const cutInbound = (fleet: FakeFleet, address: string): void => {
	listRunning(fleet).forEach(other => {
		fleet.network.cut(other.address, address);
	});
};

const cutOutbound = (fleet: FakeFleet, address: string): void => {
	listRunning(fleet).forEach(other => {
		fleet.network.cut(address, other.address);
	});
};

const cutBetween = (fleet: FakeFleet, left: (node: FakeNode) => boolean, right: (node: FakeNode) => boolean): void => {
	const nodes = listRunning(fleet);
	nodes.filter(left).forEach(from => {
		nodes.filter(right).forEach(to => {
			fleet.network.cut(from.address, to.address);
			fleet.network.cut(to.address, from.address);
		});
	});
};

const isInZone = (zone: string) => (node: FakeNode) => node.node.self.availabilityZone === zone;
const isInRegion = (region: string) => (node: FakeNode) => node.node.self.region === region;

const restartNode = (fleet: FakeFleet, old: FakeNode): FakeNode => {
	old.host.kill();
	old.stop();
	return fleet.startNode({...old.node.self});
};

/** States of `subject` in the directories of the other running nodes. */
const listViewsOf = (fleet: FakeFleet, subject: string): Array<domain.MemberState | undefined> =>
	listRunning(fleet)
		.filter(({address}) => address !== subject)
		.map(({node}) => node.directory.stateOf(subject));

/** Whether all running nodes list all running nodes, with their present incarnations, as eligible. */
const isConverged = (fleet: FakeFleet): boolean => {
	const running = listRunning(fleet);
	return running.every(({node: observer}) =>
		running.every(({node: {self}}) =>
			observer.directory.listEligibleNodes(self.region).some(node => node.incarnationId === self.incarnationId),
		),
	);
};

const countDeadViews = (fleet: FakeFleet): number =>
	listRunning(fleet).reduce(
		(sum, {address}) => sum + listViewsOf(fleet, address).filter(state => state === domain.MemberState.Dead).length,
		0,
	);

type FaultCase = {
	readonly name: string;
	readonly injectFault: (fleet: FakeFleet) => void | Promise<void>;
	readonly durationMs: number;
	/** States of `n0:1` in the directories of the other nodes after `durationMs`, without duplicates. */
	readonly expected: ReadonlyArray<domain.MemberState | undefined>;
	/** Maximum number of directory entries that show a running member as dead. */
	readonly maxDeadViewCount: number;
	readonly heal?: (fleet: FakeFleet) => void | Promise<void>;
};

const {Alive, Dead, Leaving, SendOnly} = domain.MemberState;

const FAULT_CASES: readonly FaultCase[] = [
	{name: 'no fault', injectFault: () => undefined, durationMs: MINUTE_MS, expected: [Alive], maxDeadViewCount: 0},
	{
		// A node that can send but not receive must not be chosen for calls, since they cannot reach it.
		name: 'no message reaches the node',
		injectFault(fleet) {
			cutInbound(fleet, 'n0:1');
		},
		durationMs: MINUTE_MS,
		expected: [SendOnly],
		maxDeadViewCount: 0,
	},
	{
		// The others receive nothing from the node, and its own failing probes must not make it declare the others dead.
		name: 'no message leaves the node',
		injectFault(fleet) {
			cutOutbound(fleet, 'n0:1');
		},
		durationMs: MINUTE_MS,
		expected: [Dead],
		maxDeadViewCount: 11,
	},
	{
		// The loss of one direction between two members must not change the state of either.
		name: 'two members lose one direction',
		injectFault(fleet) {
			fleet.network.cut('n0:1', 'n1:1');
			fleet.network.cut('n3:1', 'n0:1');
		},
		durationMs: 5 * MINUTE_MS,
		expected: [Alive],
		maxDeadViewCount: 0,
	},
	{
		// Half of the region cannot reach the node, and the other half can.
		name: 'partial partition',
		injectFault(fleet) {
			cutBetween(fleet, ({address}) => address === 'n0:1', isInZone('temeke'));
		},
		durationMs: 5 * MINUTE_MS,
		expected: [Alive],
		maxDeadViewCount: 0,
	},
	{
		// A paused node must be declared dead, and must not rely on its outdated directory when it resumes.
		name: 'paused node that resumes',
		injectFault(fleet) {
			fleet.nodes[0]!.host.pause();
		},
		durationMs: MINUTE_MS,
		expected: [Dead],
		maxDeadViewCount: 11,
		heal(fleet) {
			fleet.nodes[0]!.host.resume();
		},
	},
	{
		name: 'killed node',
		injectFault(fleet) {
			fleet.nodes[0]!.host.kill();
		},
		durationMs: MINUTE_MS,
		expected: [Dead],
		maxDeadViewCount: 0,
	},
	{
		// A new incarnation replaces the old one without waiting until that is declared dead.
		name: 'kill and restart on the same address',
		injectFault(fleet) {
			restartNode(fleet, fleet.nodes[0]!);
		},
		durationMs: 10_000,
		expected: [Alive],
		maxDeadViewCount: 0,
	},
	{
		name: 'mass restart of a zone',
		injectFault(fleet) {
			listRunning(fleet)
				.filter(isInZone('kinondoni'))
				.forEach(node => {
					restartNode(fleet, node);
				});
		},
		durationMs: 20_000,
		expected: [Alive],
		maxDeadViewCount: 0,
	},
	{
		// The VM list shows neither the death nor the replacement node.
		name: 'lagging VM list',
		async injectFault(fleet) {
			fleet.vmList.lagMs = 4 * MINUTE_MS;
			await fleet.clock.advance(4 * MINUTE_MS);
			fleet.nodes[0]!.host.kill();
			fleet.startNode({address: 'late:1', ...ZONES[0]!});
		},
		durationMs: MINUTE_MS,
		expected: [Dead],
		maxDeadViewCount: 0,
	},
	{
		name: 'empty VM list',
		injectFault(fleet) {
			fleet.vmList.replace([]);
		},
		durationMs: MINUTE_MS,
		expected: [Alive],
		maxDeadViewCount: 0,
	},
	{
		name: 'VM list unavailable',
		injectFault(fleet) {
			fleet.vmList.isDown = true;
		},
		durationMs: MINUTE_MS,
		expected: [Alive],
		maxDeadViewCount: 0,
	},
	{
		name: 'VM list shows the node as leaving',
		injectFault(fleet) {
			fleet.vmList.replace(fleet.vmList.items().map(item => ({...item, isLeaving: item.address === 'n0:1'})));
		},
		durationMs: 3000,
		expected: [Leaving],
		maxDeadViewCount: 0,
	},
	{
		// Regions must not declare each other's members dead, or each partition would cause thousands of updates.
		name: 'partition between regions for an hour',
		injectFault(fleet) {
			cutBetween(fleet, isInRegion('pwani'), isInRegion('bara'));
		},
		durationMs: 60 * MINUTE_MS,
		expected: [Alive],
		maxDeadViewCount: 0,
		heal(fleet) {
			// The other region misses the updates of restarts during the partition.
			listRunning(fleet)
				.filter(isInZone('temeke'))
				.forEach(node => {
					restartNode(fleet, node);
				});
		},
	},
];

FAULT_CASES.forEach(({name, injectFault, durationMs, expected, maxDeadViewCount, heal}, index) => {
	// Guards against false deaths, undetected deaths and directories that do not converge after a fault.
	test(`membership: ${name}`, async t => {
		const fleet = await startFleet(index + 1);
		t.true(isConverged(fleet));
		await injectFault(fleet);
		await fleet.clock.advance(durationMs);
		t.deepEqual([...new Set(listViewsOf(fleet, 'n0:1'))], expected);
		t.true(
			countDeadViews(fleet) <= maxDeadViewCount,
			`${countDeadViews(fleet)} directory entries show a running node as dead`,
		);
		await heal?.(fleet);
		await fleet.clock.advance(5000);
		fleet.network.heal();
		if (!expected.includes(Leaving)) {
			await fleet.clock.advance(2 * MINUTE_MS);
			t.true(isConverged(fleet));
		}
	});
});

// Guards against calls forwarded to a node that has announced its stop.
test('membership: within 2 s no node chooses a draining node', async t => {
	const fleet = await startFleet(30);
	void fleet.nodes[0]!.node.drain({noticeMs: 5000, limitMs: 1000});
	await fleet.clock.advance(2000);
	const views = listViewsOf(fleet, 'n0:1');
	t.deepEqual([...new Set(views)], [Leaving]);
	t.false(fleet.nodes[0]!.node.directory.listEligibleNodes('pwani').some(node => node.address === 'n0:1'));
});

// Guards against a list of members that grows with every replaced VM.
test('membership: a dead member that the VM list no longer shows is removed', async t => {
	const fleet = await startFleet(31);
	fleet.nodes[0]!.host.kill();
	fleet.vmList.replace(fleet.vmList.items().filter(item => item.address !== 'n0:1'));
	await fleet.clock.advance(20 * MINUTE_MS);
	t.deepEqual([...new Set(listViewsOf(fleet, 'n0:1'))], [undefined]);
});

// Guards against a status page and a readiness check without the offsets that the fleet has applied.
test('membership: members report their applied offsets', async t => {
	const fleet = await startFleet(32, 3);
	await fleet.clock.runUntilSettled(
		fleet.log.append({
			kind: domain.CatalogueRecordKind.Edit,
			editId: 'e',
			service: 's',
			author: 'a',
			baseRevision: 0,
		}),
		1000,
	);
	await fleet.clock.advance(MINUTE_MS);
	t.is(fleet.nodes[0]!.node.directory.highestKnownOffset(), 0);
	t.is(fleet.nodes[0]!.node.directory.appliedOffsetOf('n1:1'), 0);
});

// Guards against a restarted node whose clock is behind, so that its previous incarnation seems newer and is kept.
test('membership: a restart with a clock that is behind still replaces the previous incarnation', async t => {
	const fleet = await startFleet(33, 3);
	const [subject, peer] = fleet.nodes;
	const previous: domain.MemberUpdate = {
		node: {...subject!.node.self, incarnationId: 'previous'},
		state: Alive,
		refutationCount: 1_000_000_000_000,
	};
	const request = {
		sender: {node: peer!.node.self, state: Alive, refutationCount: 0},
		appliedOffset: -1,
		silenceMs: 0,
		updates: [previous],
	};
	const {signal} = new AbortController();
	await peer!.node.peerHandlers.probe(request, signal);
	const reply = await subject!.node.peerHandlers.probe(request, signal);
	t.is(reply.responder.refutationCount, previous.refutationCount + 1);
	await fleet.clock.advance(MINUTE_MS);
	t.true(isConverged(fleet));
});
