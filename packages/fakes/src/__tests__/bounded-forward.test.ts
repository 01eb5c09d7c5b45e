import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildCall, buildEntry, buildRoute, buildTargets} from '../build-entry.js';
import {createFakeFleet} from '../fake-fleet.js';

const PLACE = {region: 'pwani', availabilityZone: 'kinondoni'};
const DEADLINE_MS = 2000;

// Guards against a caller that waits forever for a paused scheduling node.
test('a call forwarded to a node that never replies ends soon after its deadline', async t => {
	const fleet = createFakeFleet();
	const nodes = ['a:1', 'b:1', 'c:1'].map(address => fleet.startNode({address, ...PLACE}));
	const entry = buildEntry({
		service: 'ratiba',
		routes: [buildRoute({deadlineMs: DEADLINE_MS})],
		targets: buildTargets({service: 'ratiba', count: 1, slotCount: 2, places: [PLACE]}),
	});
	fleet.addTargets(entry);
	await fleet.publishEntry(entry);
	const call = async (index: number): Promise<domain.CallEnding> =>
		fleet.clock.runUntilSettled(
			nodes[index]!.node.handleCall(buildCall(), new AbortController().signal),
			DEADLINE_MS + 1100,
		);
	await call(0);
	const schedulingIndex = nodes.findIndex(({node}) => node.schedulers.listSchedulers().length > 0);
	nodes[schedulingIndex]!.host.pause();
	const ending = await call((schedulingIndex + 1) % nodes.length);
	t.is(ending.outcome, domain.Outcome.Unknown);
});
