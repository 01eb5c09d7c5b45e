import * as domain from '@bilberrydoor/domain';
import * as core from '@bilberrydoor/core';
import test from 'ava';
import {buildCall, buildEntry, buildRoute, buildTargets, readText} from '../build-entry.js';
import {createFakeFleet, type FakeFleet, type FakeNode} from '../fake-fleet.js';

const PLACES = [
	{region: 'pwani', availabilityZone: 'kinondoni'},
	{region: 'pwani', availabilityZone: 'temeke'},
];

/** Time within which a leaving target must stop getting new work. */
const LEAVING_DETECTION_LIMIT_MS = 2000;

/** Longer than the detection limit, so that work is still in flight when it has passed. */
const SERVICE_TIME_MS = 2500;
const TARGET_ID = 'ratiba-1';
const {signal} = new AbortController();

const entry = buildEntry({
	service: 'ratiba',
	routes: [buildRoute({deadlineMs: 10_000})],
	targets: buildTargets({service: 'ratiba', count: 3, slotCount: 2, places: PLACES}),
});

const callAndRead = async ({node}: FakeNode): Promise<void> => {
	const ending = await node.handleCall(buildCall(), signal);
	if (ending.outcome !== domain.Outcome.Completed) {
		throw new Error(`a call ended with ${ending.reason}: ${ending.detail}`);
	}

	await readText(ending.answer.body);
};

/** Sends one call through each node at the same time and waits for the answers. */
const sendCalls = async ({clock, nodes}: FakeFleet): Promise<void> => {
	await clock.runUntilSettled(Promise.all(nodes.map(callAndRead)), 20_000);
};

const startFleet = async (): Promise<{fleet: FakeFleet; schedulingNode: FakeNode; otherNode: FakeNode}> => {
	const fleet = createFakeFleet();
	['a:1', 'b:1', 'c:1'].forEach((address, index) => {
		fleet.startNode({address, ...PLACES[index % PLACES.length]!});
	});
	fleet.addTargets(entry);
	fleet.targets.forEach(target => {
		target.serviceTimeMs = () => SERVICE_TIME_MS;
	});
	await fleet.publishEntry(entry);
	await sendCalls(fleet);
	const isScheduling = ({node}: FakeNode): boolean => node.schedulers.listSchedulers().length > 0;
	const schedulingNode = fleet.nodes.find(isScheduling)!;
	return {fleet, schedulingNode, otherNode: fleet.nodes.find(node => node !== schedulingNode)!};
};

const drainingEntry: domain.CatalogueEntry = {
	...entry,
	targets: entry.targets.map(target => ({...target, isDraining: target.targetId === TARGET_ID})),
};

const listAsLeaving = (fleet: FakeFleet): void => {
	const {address, region, availabilityZone} = entry.targets[0]!;
	const item = {vmId: 'vm-target', address, region, availabilityZone, isFleetNode: false, isLeaving: true};
	fleet.vmList.replace([...fleet.vmList.items(), item]);
};

// Guards against leaving signs that are ignored or detected too late under load.
const SIGN_CASES = [
	{name: 'the VM list', giveSign: listAsLeaving, expected: [core.LeavingSign.VmList]},
	{
		name: 'the entry',
		giveSign(fleet: FakeFleet) {
			void fleet.publishEntry(drainingEntry, 1);
		},
		expected: [core.LeavingSign.Entry],
	},
	{
		name: 'its health endpoint and answers',
		giveSign(fleet: FakeFleet) {
			fleet.targets.get(TARGET_ID)!.isLeaving = true;
		},
		expected: [core.LeavingSign.AnswerHeader, core.LeavingSign.HealthEndpoint],
	},
	{
		name: 'the report of a peer',
		giveSign(fleet: FakeFleet) {
			fleet.nodes.forEach(({node}) => {
				void node.peerHandlers[core.PeerMessageKind.ReportLeavingTarget](
					{service: 'ratiba', targetId: TARGET_ID},
					signal,
				);
			});
		},
		expected: [core.LeavingSign.PeerReport],
	},
];

SIGN_CASES.forEach(({name, giveSign, expected}) => {
	test(`a target shown as leaving by ${name} gets no new work after 2 s, and its work in flight finishes`, async t => {
		const {fleet, schedulingNode} = await startFleet();
		const target = fleet.targets.get(TARGET_ID)!;
		const slowCalls = Array.from({length: 3}, async () => callAndRead(schedulingNode));
		await fleet.clock.advance(10);
		t.true(target.busyCount() > 0);
		giveSign(fleet);
		for (let index = 0; index * 20 < LEAVING_DETECTION_LIMIT_MS; index++) {
			await fleet.clock.advance(20);
		}

		const receivedCount = target.receivedCount();
		await sendCalls(fleet);
		await sendCalls(fleet);

		t.is(target.receivedCount(), receivedCount);
		const status = schedulingNode.node.administration.listTargets().find(({targetId}) => targetId === TARGET_ID);
		t.is(status?.state, domain.TargetState.Draining);
		t.true(expected.map(String).includes(status!.reason), `unexpected reason: ${status!.reason}`);
		await t.notThrowsAsync(fleet.clock.runUntilSettled(Promise.all(slowCalls), 5000));
	});
});

// Guards against a health endpoint that is read only while answers carry the header too.
test('a leaving target that gets no work is drained because of its health endpoint', async t => {
	const {fleet, schedulingNode} = await startFleet();
	fleet.targets.get(TARGET_ID)!.isLeaving = true;
	await fleet.clock.advance(LEAVING_DETECTION_LIMIT_MS);
	const status = schedulingNode.node.administration.listTargets().find(({targetId}) => targetId === TARGET_ID);
	t.like(status, {state: domain.TargetState.Draining, reason: core.LeavingSign.HealthEndpoint});
});

// Guards against a leaving sign that only other nodes detect, as when the scheduling node cannot read the VM list.
test('a node that detects a leaving target reports it to the scheduling node', async t => {
	const {fleet, otherNode} = await startFleet();
	listAsLeaving(fleet);
	await fleet.clock.advance(LEAVING_DETECTION_LIMIT_MS);
	t.true((fleet.network.messageCounts.get(core.PeerMessageKind.ReportLeavingTarget) ?? 0) > 0);
	t.is(otherNode.node.schedulers.listSchedulers().length, 0);
});

// Guards against a target that stays draining after its leaving signs have ended.
test('a target whose leaving signs have ended ramps up like a cold target', async t => {
	const {fleet, schedulingNode} = await startFleet();
	const stateOf = (): domain.TargetState | undefined =>
		schedulingNode.node.administration.listTargets().find(({targetId}) => targetId === TARGET_ID)?.state;
	fleet.targets.get(TARGET_ID)!.isLeaving = true;
	await fleet.clock.advance(LEAVING_DETECTION_LIMIT_MS);
	t.is(stateOf(), domain.TargetState.Draining);
	fleet.targets.get(TARGET_ID)!.isLeaving = false;
	await fleet.clock.advance(13_000);
	t.is(stateOf(), domain.TargetState.Cold);
	await fleet.clock.advance(11_000);
	t.is(stateOf(), domain.TargetState.Healthy);
});

// Guards against a peer that makes this node connect to any address, and against a test that always passes.
test('a node tests only targets of its catalogue for a peer', async t => {
	const {fleet, otherNode} = await startFleet();
	const testTarget = async (targetId: string): Promise<core.TestTargetReply> =>
		fleet.clock.runUntilSettled(
			otherNode.node.peerHandlers[core.PeerMessageKind.TestTarget]({service: 'ratiba', targetId}, signal),
			5000,
		);
	t.like(await testTarget(TARGET_ID), {isReached: true});
	t.like(await testTarget('unlisted'), {isReached: false});
	fleet.network.cut(entry.targets[0]!.address, otherNode.address);
	t.like(await testTarget(TARGET_ID), {isReached: false});
});
