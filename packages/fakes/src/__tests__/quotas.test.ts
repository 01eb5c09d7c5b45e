import type * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import test, {type ExecutionContext} from 'ava';
import {createQuotaFleet, type QuotaFleetOptions} from '../quota-fleet.js';
import {createVirtualClock} from '../virtual-clock.js';

const SETTLE_MS = 14_000;
const {signal} = new AbortController();

const buildWorkspace = (ratePerSecond: number, burstCount: number): domain.FleetWorkspace => ({
	name: 'ward-office',
	keyDigests: [],
	ratePerSecond,
	burstCount,
});

const startFleet = async (
	t: ExecutionContext,
	nodeCount: number,
	workspace: domain.FleetWorkspace,
	given: Partial<QuotaFleetOptions> = {},
) => {
	const clock = createVirtualClock();
	const fleet = createQuotaFleet({
		clock,
		seed: 1,
		workspaces: [workspace],
		regionOf: nodeId => (Number(nodeId.split('-')[1]) % 2 === 0 ? 'pwani' : 'bara'),
		...given,
	});
	t.teardown(fleet.stop);
	const nodeIds = Array.from({length: nodeCount}, (_, index) => `node-${index}`);
	nodeIds.forEach(nodeId => {
		fleet.startNode(nodeId);
	});
	await clock.advance(SETTLE_MS);
	const decisions: Array<{readonly nodeId: string; readonly decision: core.QuotaDecision; readonly waitMs: number}> =
		[];
	const call = async (nodeId: string): Promise<void> => {
		const startedAtMs = clock.monotonicMs();
		const node = fleet.nodes.get(nodeId)!;
		const decision = await node.quotas.admit(node.workspaces.get(workspace.name)!, signal);
		decisions.push({nodeId, decision, waitMs: clock.monotonicMs() - startedAtMs});
	};

	const countAdmitted = (): number => decisions.filter(({decision}) => decision.isAdmitted).length;
	return {fleet, clock, nodeIds, decisions, call, countAdmitted};
};

// Load: 119 calls a second, one at each node. Guards against refusals because single nodes have no share.
test('a workspace that calls 119 nodes once a second is not refused', async t => {
	const {nodeIds, call, clock, decisions} = await startFleet(t, 119, buildWorkspace(150, 150));
	for (let second = 0; second < 3; second++) {
		for (const nodeId of nodeIds) {
			void call(nodeId);
			await clock.advance(1000 / nodeIds.length);
		}
	}

	await clock.advance(200);
	t.is(decisions.length, 3 * nodeIds.length);
	t.deepEqual(
		decisions.filter(({decision}) => !decision.isAdmitted),
		[],
	);
});

// Load: 190 of 240 calls a second at one node. Guards against a rate that is divided by the number of nodes.
test('a workspace that calls one node gets its rate there', async t => {
	const {call, clock, decisions, countAdmitted} = await startFleet(t, 20, buildWorkspace(240, 240));
	for (let index = 0; index < 1900; index++) {
		void call('node-0');
		await clock.advance(1000 / 190);
	}

	await clock.advance(200);
	t.is(countAdmitted(), decisions.length);
	// Calls wait for tokens only until the node knows the use.
	t.true(decisions.filter(({waitMs}) => waitMs > 0).length < decisions.length * 0.05);
});

// Load: an idle workspace sends its burst within half a second. Guards against accounts that start empty although they were
// held for long.
test('an idle workspace has its burst', async t => {
	const {nodeIds, call, clock, countAdmitted} = await startFleet(t, 20, buildWorkspace(50, 200));
	for (let index = 0; index < 200; index++) {
		void call(nodeIds[index % nodeIds.length]!);
		await clock.advance(2.5);
	}

	await clock.advance(300);
	t.is(countAdmitted(), 200);
});

// Load: ten times the rate for 12 s at all nodes, with the regions cut apart for 8 s, of which one lost the registry too.
test('two regions that are cut apart admit no more together than the bound, and both serve calls', async t => {
	const workspace = buildWorkspace(100, 100);
	const {fleet, clock, nodeIds, call, decisions, countAdmitted} = await startFleet(t, 20, workspace);
	fleet.cutRegions.add('pwani>bara').add('bara>pwani');
	fleet.staleRegions.add('bara');
	for (let index = 0; index < 8000; index++) {
		void call(nodeIds[index % nodeIds.length]!);
		await clock.advance(1);
	}

	await clock.advance(200);
	t.true(countAdmitted() <= (100 * 8.2 + 100) * 1.1 + 20);
	const admittedBySide = [0, 1].map(
		side =>
			decisions.filter(({nodeId, decision}) => decision.isAdmitted && Number(nodeId.split('-')[1]) % 2 === side).length,
	);
	t.true(Math.min(...admittedBySide) > 150, String(admittedBySide));
});

// Load: ten times the rate. Guards against a Retry-After that is the same for all callers, or shorter than until the next token.
test('refused calls get times to come back that are spread', async t => {
	const {clock, nodeIds, call, decisions} = await startFleet(t, 10, buildWorkspace(20, 20));
	for (let index = 0; index < 1000; index++) {
		void call(nodeIds[index % nodeIds.length]!);
		await clock.advance(5);
	}

	await clock.advance(200);
	const timesMs = decisions.flatMap(({decision}) => (decision.isAdmitted ? [] : [Math.round(decision.retryAfterMs)]));
	t.true(timesMs.length > 500);
	t.true(Math.min(...timesMs) > 0);
	t.true(new Set(timesMs).size > timesMs.length / 4);
});

// Load: calls of a workspace whose limit falls to a tenth. Guards against tokens of the former limit.
test('a lower limit is kept one window after all nodes have it', async t => {
	const {fleet, clock, nodeIds, call, countAdmitted} = await startFleet(t, 10, buildWorkspace(200, 200));
	fleet.changeWorkspace(buildWorkspace(20, 20));
	const run = async (): Promise<void> => {
		for (let index = 0; index < 2000; index++) {
			void call(nodeIds[index % nodeIds.length]!);
			await clock.advance(2.5);
		}
	};

	// The change reaches all nodes within 2.5 s, and a window has passed after another 5 s.
	await run();
	await clock.advance(2500);
	const countBefore = countAdmitted();
	await run();
	t.true(countAdmitted() - countBefore <= (20 * 5 + 20) * 1.1 + 20);
});

// Load: calls of a workspace without a limit. Guards against messages in fleets that have no quotas.
test('workspaces without a limit are admitted at once and without messages', async t => {
	const {fleet, clock, call, countAdmitted} = await startFleet(t, 3, buildWorkspace(0, 0), {hasLimits: false});
	Array.from({length: 1000}, () => {
		void call('node-0');
		return 'node-0';
	});
	await clock.advance(0);
	t.is(countAdmitted(), 1000);
	t.is(fleet.network.leaseCount + fleet.network.claimCount, 0);
});

// Load: one call at each node at once, right after the first limit of the catalogue. Guards against refusals until shares are held.
test('the first limit of a catalogue refuses no call', async t => {
	const {clock, nodeIds, call, countAdmitted} = await startFleet(t, 12, buildWorkspace(50, 50), {hasLimits: false});
	nodeIds.forEach(nodeId => {
		void call(nodeId);
	});
	await clock.advance(300);
	t.is(countAdmitted(), nodeIds.length);
});

// Load: eight calls a second. Guards against a planned stop of a holder that takes its part of the rate away for good.
test('a planned stop of a holder leaves the shares to others', async t => {
	const {fleet, clock, call, decisions} = await startFleet(t, 6, buildWorkspace(10, 10));
	fleet.stopNode('node-5');
	await clock.advance(10_000);
	for (let index = 0; index < 60; index++) {
		void call('node-0');
		await clock.advance(125);
	}

	await clock.advance(200);
	t.deepEqual(
		decisions.filter(({decision}) => !decision.isAdmitted),
		[],
	);
	const shareCount = [...fleet.nodes.values()]
		.flatMap(({quotas}) => quotas.list())
		.reduce((sum, {account}) => sum + (account?.shareCount ?? 0), 0);
	t.true(shareCount <= 16);
});
