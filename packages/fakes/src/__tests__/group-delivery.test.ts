import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildCall, buildEntry, buildTargets, readText} from '../build-entry.js';
import {createFakeFleet, type FakeFleet, type FakeNode} from '../fake-fleet.js';
import {summarizeEnding} from './scheduler-bench.js';

const NEAR = {region: 'pwani', availabilityZone: 'kinondoni'};
const FAR = {region: 'bara', availabilityZone: 'morogoro'};

/** Starts an entry node, two nodes in another region and targets at the given places. */
const startFleet = async (places: ReadonlyArray<typeof NEAR>, slotCount = 2) => {
	const fleet = createFakeFleet();
	const entryNode = fleet.startNode({address: 'entry:1', ...NEAR});
	['b:1', 'c:1'].forEach(address => {
		fleet.startNode({address, ...FAR});
	});
	const entry = buildEntry({
		service: 's',
		targets: buildTargets({service: 's', count: places.length, slotCount, places}),
		queue: {limitCount: 2, limitBytes: 1000},
	});
	fleet.addTargets(entry);
	await fleet.publishEntry(entry);
	return {fleet, entryNode};
};

/** Makes a call, reads its answer to the end and summarizes its ending. */
const callAndRead = async ({node}: FakeNode, given: Partial<domain.CallRequest> = {}): Promise<string> => {
	const ending = await node.handleCall(buildCall(given), new AbortController().signal);
	if (ending.outcome === domain.Outcome.Completed) {
		await readText(ending.answer.body);
	}

	return summarizeEnding(ending);
};

const findSchedulingNode = (fleet: FakeFleet): FakeNode =>
	fleet.nodes.find(({node}) => node.schedulers.listSchedulers().length > 0)!;

async function* createBody(): AsyncGenerator<Uint8Array> {
	yield new Uint8Array(10);
}

type DeliveryRow = {
	readonly name: string;
	readonly injectFault: (fleet: FakeFleet, schedulingNode: FakeNode) => void;
	/** Time from the start of the call to the fault, in ms. */
	readonly faultDelayMs: number;
	readonly call?: Partial<domain.CallRequest>;
	readonly expected: string;
};

const deliveryRows: readonly DeliveryRow[] = [
	{
		name: 'whose scheduling node is killed before the call arrives',
		injectFault(_, schedulingNode) {
			schedulingNode.host.kill();
		},
		faultDelayMs: 0,
		expected: 'completed 200',
	},
	{
		name: 'whose path to the scheduling node is cut before the call arrives',
		injectFault(fleet, schedulingNode) {
			fleet.network.cut('entry:1', schedulingNode.address);
		},
		faultDelayMs: 0,
		expected: 'completed 200',
	},
	{
		name: 'whose scheduling node is paused after the call was sent',
		injectFault(_, schedulingNode) {
			schedulingNode.host.pause();
		},
		faultDelayMs: 5,
		expected: 'unknown peer-lost',
	},
	{
		name: 'with a body whose scheduling node is paused after the call was sent',
		injectFault(_, schedulingNode) {
			schedulingNode.host.pause();
		},
		faultDelayMs: 5,
		call: {method: 'POST', body: createBody(), bodyLengthBytes: 10},
		expected: 'unknown peer-lost',
	},
];

// Guards against calls that never end, and against `not-run` for a call that a node may still run.
deliveryRows.forEach(({name, injectFault, faultDelayMs, call: given, expected}) => {
	test(`delivery of a call ${name}`, async t => {
		const {fleet, entryNode} = await startFleet([FAR]);
		t.is(await fleet.clock.runUntilSettled(callAndRead(entryNode), 60_000), 'completed 200');
		const schedulingNode = findSchedulingNode(fleet);
		const ending = callAndRead(entryNode, given);
		await fleet.clock.advance(faultDelayMs);
		injectFault(fleet, schedulingNode);
		t.is(await fleet.clock.runUntilSettled(ending, 60_000), expected);
	});
});

// Guards against calls that fail in a full group while another group of the service has room, and against a second
// transfer of a body that has been read.
test('a call that a full group refuses is offered to the other group', async t => {
	const {fleet, entryNode} = await startFleet([NEAR, FAR], 1);
	fleet.targets.forEach(target => {
		target.serviceTimeMs = () => 200;
	});
	const outcomes = await fleet.clock.runUntilSettled(
		Promise.all(Array.from({length: 8}, async (_, index) => callAndRead(entryNode, {workspace: `w${index}`}))),
		60_000,
	);
	// Each group runs one call and queues two.
	t.is(outcomes.filter(outcome => outcome === 'completed 200').length, 6, `ended as ${outcomes.join(', ')}`);
	t.true(entryNode.metrics.sum(core.CounterName.Retries, {reason: domain.RetryReason.GroupRefused}) > 0);
});
