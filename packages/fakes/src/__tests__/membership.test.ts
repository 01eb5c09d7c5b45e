import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {createFakeFleet, type FakeFleet, type FakeNode} from '../fake-fleet.js';

const ZONES = [
	{region: 'pwani', availabilityZone: 'kinondoni'},
	{region: 'pwani', availabilityZone: 'temeke'},
	{region: 'bara', availabilityZone: 'dodoma-kati'},
];
const MINUTE_MS = 60_000;

/** Fewer reads of the log and the VM list, which are most of the virtual clock's work. */
const QUIET_SETTINGS = {catalogue: {readWaitMs: 30_000}, membership: {vmListPeriodMs: 2000}};

const startFleet = async (seed: number, count = 12): Promise<FakeFleet> => {
	const fleet = createFakeFleet({seed, settings: QUIET_SETTINGS});
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

const inZone = (zone: string) => (node: FakeNode) => node.node.self.availabilityZone === zone;
const inRegion = (region: string) => (node: FakeNode) => node.node.self.region === region;

const restart = (fleet: FakeFleet, old: FakeNode): FakeNode => {
	old.host.kill();
	old.stop();
	return fleet.startNode({...old.node.self});
};

/** States of `subject` in the directories of the other running nodes. */
const viewsOf = (fleet: FakeFleet, subject: string): Array<domain.MemberState | undefined> =>
	listRunning(fleet)
		.filter(({address}) => address !== subject)
		.map(({node}) => node.directory.stateOf(subject));

/** Whether all running nodes list all running nodes, with their present incarnations, as eligible. */
const isWhole = (fleet: FakeFleet): boolean => {
	const running = listRunning(fleet);
	return running.every(({node: observer}) =>
		running.every(({node: {self}}) =>
			observer.directory.listEligibleNodes(self.region).some(node => node.incarnationId === self.incarnationId),
		),
	);
};

const countDeadViews = (fleet: FakeFleet): number =>
	listRunning(fleet).reduce(
		(sum, {address}) => sum + viewsOf(fleet, address).filter(state => state === domain.MemberState.Dead).length,
		0,
	);

type FaultCase = {
	readonly name: string;
	readonly fault: (fleet: FakeFleet) => void | Promise<void>;
	readonly durationMs: number;
	/** States that the others may hold of `n0:1` after the fault's duration. */
	readonly expected: ReadonlyArray<domain.MemberState | undefined>;
	/** Largest number of directories that hold a running member for dead. */
	readonly deadViewLimit: number;
	readonly heal?: (fleet: FakeFleet) => void | Promise<void>;
};

const {Alive, Dead, Leaving, Unheard} = domain.MemberState;

const FAULT_CASES: readonly FaultCase[] = [
	{name: 'no fault', fault: () => undefined, durationMs: MINUTE_MS, expected: [Alive], deadViewLimit: 0},
	{
		// A node that can still send must not go on receiving calls that cannot reach it.
		name: 'nothing reaches the node',
		fault(fleet) {
			cutInbound(fleet, 'n0:1');
		},
		durationMs: MINUTE_MS,
		expected: [Unheard],
		deadViewLimit: 0,
	},
	{
		// Nobody hears the node, and its own failing probes must not make it declare the others dead.
		name: 'nothing leaves the node',
		fault(fleet) {
			cutOutbound(fleet, 'n0:1');
		},
		durationMs: MINUTE_MS,
		expected: [Dead],
		deadViewLimit: 11,
	},
	{
		// One lost direction between two members is no reason to judge either.
		name: 'two members lose one direction',
		fault(fleet) {
			fleet.network.cut('n0:1', 'n1:1');
			fleet.network.cut('n3:1', 'n0:1');
		},
		durationMs: 5 * MINUTE_MS,
		expected: [Alive],
		deadViewLimit: 0,
	},
	{
		// Half of the region cannot reach the node, and the other half can.
		name: 'partial partition',
		fault(fleet) {
			cutBetween(fleet, ({address}) => address === 'n0:1', inZone('temeke'));
		},
		durationMs: 5 * MINUTE_MS,
		expected: [Alive],
		deadViewLimit: 0,
	},
	{
		// A paused node must be replaced, and must not trust its old view when it wakes.
		name: 'paused node that wakes',
		fault(fleet) {
			fleet.nodes[0]!.host.pause();
		},
		durationMs: MINUTE_MS,
		expected: [Dead],
		deadViewLimit: 11,
		heal(fleet) {
			fleet.nodes[0]!.host.resume();
		},
	},
	{
		name: 'killed node',
		fault(fleet) {
			fleet.nodes[0]!.host.kill();
		},
		durationMs: MINUTE_MS,
		expected: [Dead],
		deadViewLimit: 0,
	},
	{
		// A new incarnation replaces the old one without waiting for its death.
		name: 'kill and restart on the same address',
		fault(fleet) {
			restart(fleet, fleet.nodes[0]!);
		},
		durationMs: 10_000,
		expected: [Alive],
		deadViewLimit: 0,
	},
	{
		name: 'mass restart of a zone',
		fault(fleet) {
			listRunning(fleet)
				.filter(inZone('kinondoni'))
				.forEach(node => {
					restart(fleet, node);
				});
		},
		durationMs: 20_000,
		expected: [Alive],
		deadViewLimit: 0,
	},
	{
		// The list shows neither the death nor the node that took the place.
		name: 'lagging list',
		async fault(fleet) {
			fleet.vmList.lagMs = 4 * MINUTE_MS;
			await fleet.clock.advance(4 * MINUTE_MS);
			fleet.nodes[0]!.host.kill();
			fleet.startNode({address: 'late:1', ...ZONES[0]!});
		},
		durationMs: MINUTE_MS,
		expected: [Dead],
		deadViewLimit: 0,
	},
	{
		name: 'empty list',
		fault(fleet) {
			fleet.vmList.replace([]);
		},
		durationMs: MINUTE_MS,
		expected: [Alive],
		deadViewLimit: 0,
	},
	{
		name: 'list down',
		fault(fleet) {
			fleet.vmList.isDown = true;
		},
		durationMs: MINUTE_MS,
		expected: [Alive],
		deadViewLimit: 0,
	},
	{
		name: 'list calls the node leaving',
		fault(fleet) {
			fleet.vmList.replace(fleet.vmList.items().map(item => ({...item, isLeaving: item.address === 'n0:1'})));
		},
		durationMs: 3000,
		expected: [Leaving],
		deadViewLimit: 0,
	},
	{
		// Regions must not declare each other dead, or every cut would spread thousands of updates.
		name: 'region cut for an hour',
		fault(fleet) {
			cutBetween(fleet, inRegion('pwani'), inRegion('bara'));
		},
		durationMs: 60 * MINUTE_MS,
		expected: [Alive],
		deadViewLimit: 0,
		heal(fleet) {
			// Restarts during the cut are what the other region has missed.
			listRunning(fleet)
				.filter(inZone('temeke'))
				.forEach(node => {
					restart(fleet, node);
				});
		},
	},
];

FAULT_CASES.forEach(({name, fault, durationMs, expected, deadViewLimit, heal}, index) => {
	// Guards against false deaths, missed deaths and views that stay apart after a fault.
	test(`membership: ${name}`, async t => {
		const fleet = await startFleet(index + 1);
		t.true(isWhole(fleet));
		await fault(fleet);
		await fleet.clock.advance(durationMs);
		t.deepEqual([...new Set(viewsOf(fleet, 'n0:1'))], expected);
		t.true(countDeadViews(fleet) <= deadViewLimit, `${countDeadViews(fleet)} directories hold a running node for dead`);
		await heal?.(fleet);
		await fleet.clock.advance(5000);
		fleet.network.heal();
		if (!expected.includes(Leaving)) {
			await fleet.clock.advance(2 * MINUTE_MS);
			t.true(isWhole(fleet));
		}
	});
});

// Guards against calls forwarded to a node that has announced its stop.
test('membership: a draining node is chosen by nobody within 2 s', async t => {
	const fleet = await startFleet(30);
	void fleet.nodes[0]!.node.drain({noticeMs: 5000, limitMs: 1000});
	await fleet.clock.advance(2000);
	const views = viewsOf(fleet, 'n0:1');
	t.deepEqual([...new Set(views)], [Leaving]);
	t.false(fleet.nodes[0]!.node.directory.listEligibleNodes('pwani').some(node => node.address === 'n0:1'));
});

// Guards against a list of members that grows with every replaced VM.
test('membership: a dead member that the list no longer shows is forgotten', async t => {
	const fleet = await startFleet(31);
	fleet.nodes[0]!.host.kill();
	fleet.vmList.replace(fleet.vmList.items().filter(item => item.address !== 'n0:1'));
	await fleet.clock.advance(20 * MINUTE_MS);
	t.deepEqual([...new Set(viewsOf(fleet, 'n0:1'))], [undefined]);
});

// Guards against status pages and readiness that never learn what the fleet has applied.
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

// Guards against a restarted node whose clock is behind, so that its previous run seems newer and keeps its place.
test('membership: a restart with a clock that is behind still replaces the previous run', async t => {
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
	t.true(isWhole(fleet));
});
