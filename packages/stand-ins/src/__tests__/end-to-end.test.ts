import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import test from 'ava';
import * as undici from 'undici';
import {launchFleet} from '../launch/launch-fleet.js';

const PLACES = [
	{region: 'pwani', availabilityZone: 'kinondoni'},
	{region: 'pwani', availabilityZone: 'temeke'},
];

// Guards against a failure anywhere between the operator's edit and the complete answer to a caller.
test('an edit reaches every node, and a call through each node gets a complete answer', async t => {
	const fleet = await launchFleet({
		nodePlaces: PLACES,
		targets: [{...PLACES[0]!, targetId: 'ratiba-01', serviceTimeMs: 5, fault: 'none'}],
	});
	try {
		await fleet.waitUntilReady();
		const entryFile = path.join(fleet.directory, 'ratiba.jsonc');
		const entry = {
			schemaVersion: 1,
			service: 'ratiba',
			owner: 'drainage',
			routes: [{pathPrefix: '/ratiba', methods: ['GET', 'POST'], repeatability: 'repeatable'}],
			targets: [{targetId: 'ratiba-01', address: fleet.targets[0]!.address, ...PLACES[0], slotCount: 4}],
		};
		await fs.writeFile(entryFile, JSON.stringify(entry));
		const applied = await fleet.runCli(['catalogue', 'apply', entryFile]);
		t.is(applied.exitCode, 0);
		t.regex(applied.output, /ratiba: accepted, revision 1/);

		for (const node of fleet.nodes) {
			const reply = await undici.request(`http://${node.front}/ratiba/sheets/7?day=1`, {
				method: 'POST',
				body: 'x'.repeat(100_000),
			});
			t.is(reply.headers['bilberrydoor-outcome'], 'completed');
			t.like(await reply.body.json(), {url: '/ratiba/sheets/7?day=1', receivedBytes: 100_000});
		}
	} finally {
		await fleet.stop();
	}
});
