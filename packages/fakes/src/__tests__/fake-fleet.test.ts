import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildCall, buildEntry, buildTargets, readText} from '../build-entry.js';
import {createFakeFleet} from '../fake-fleet.js';

const PLACE = {region: 'pwani', availabilityZone: 'kinondoni'};

// Guards against a node that works only with the daemon's adapters.
test('a node on fake ports serves a call that another node schedules', async t => {
	const fleet = createFakeFleet();
	const nodes = ['a:1', 'b:1', 'c:1'].map(address => fleet.startNode({address, ...PLACE}));
	const entry = buildEntry({
		service: 'ratiba',
		targets: buildTargets({service: 'ratiba', count: 2, slotCount: 2, places: [PLACE]}),
	});
	fleet.addTargets(entry);
	await fleet.publishEntry(entry);

	for (const {node} of nodes) {
		const ending = await fleet.clock.runUntilSettled(
			node.handleCall(buildCall({path: '/work/7'}), new AbortController().signal),
			5000,
		);
		t.is(ending.outcome, domain.Outcome.Completed);
		t.regex(await readText((ending as domain.CompletedEnding).answer.body), /^ratiba-\d \/work\/7$/);
	}

	const schedulerCounts = nodes.map(({node}) => node.schedulers.listSchedulers().length);
	t.deepEqual(
		schedulerCounts.toSorted((left, right) => left - right),
		[0, 0, 1],
	);
});
