import test from 'ava';
import {OpenReadEnding} from '../fake-registry-store.js';
import {NodesReading, RollbackMoment, simulateRollback} from '../simulate-rollbacks.js';

const NODE_COUNTS = [5, 44];
const COPY_AGES_MS = [1000, 5000, 20_000];

/** Time from the end of the last disturbance until all nodes have to have the store's records, in ms. */
const CATCH_UP_LIMIT_MS = 4000;

/** Reading and writing calls a second that the store answers on the smallest deployments. */
const STORE_CALLS_PER_S_LIMIT = 400;

// Guards against records of a former era of the store that are taken for newer ones, and against targets that are lost with
// the records of the era. Load: lookups and approvals of deployment A on its small site, and the nodes of one of its regions.
NODE_COUNTS.forEach(nodeCount => {
	Object.values(RollbackMoment).forEach(moment => {
		test.serial(`${nodeCount} nodes, the store goes back ${moment}`, async t => {
			for (const ageMs of COPY_AGES_MS) {
				for (const reading of Object.values(NodesReading)) {
					const result = await simulateRollback({nodeCount, moment, ageMs, reading});
					const name = `${ageMs} ms, ${reading}`;
					t.deepEqual(result.faults, [], name);
					t.true(result.caughtUpAfterMs <= CATCH_UP_LIMIT_MS, `${name}: ${result.caughtUpAfterMs} ms`);
					t.true(
						result.peakStoreCallsPerSecond <= STORE_CALLS_PER_S_LIMIT,
						`${name}: ${result.peakStoreCallsPerSecond} calls`,
					);
				}
			}
		});
	});
});

// Guards against long polls that hang or continue at the offsets of the former era.
Object.values(OpenReadEnding).forEach(openReadEnding => {
	test.serial(`12 nodes, open reads are ${openReadEnding} when the store goes back`, async t => {
		for (const ageMs of COPY_AGES_MS) {
			const result = await simulateRollback({
				nodeCount: 12,
				moment: RollbackMoment.CatalogueChanges,
				ageMs,
				reading: NodesReading.All,
				openReadEnding,
			});
			t.deepEqual(result.faults, [], `${ageMs} ms`);
		}
	});
});

// Guards against registrations that expire in the outage before the rollback and after it.
[300, 1200, 4500].forEach(outageMs => {
	test.serial(`12 nodes, the store goes back after an outage of ${outageMs} ms`, async t => {
		for (const ageMs of COPY_AGES_MS) {
			const result = await simulateRollback({
				nodeCount: 12,
				moment: RollbackMoment.TargetRegisters,
				ageMs,
				reading: NodesReading.All,
				outageMs,
			});
			t.deepEqual(result.faults, [], `${ageMs} ms`);
		}
	});
});

// Guards against a node that is cut off during the rollback, and that brings records of the former era back.
[1, 3].forEach(cutCount => {
	test.serial(`12 nodes, ${cutCount} of them cut off when the store goes back`, async t => {
		for (const ageMs of COPY_AGES_MS) {
			const result = await simulateRollback({
				nodeCount: 12,
				moment: RollbackMoment.TargetLeaves,
				ageMs,
				reading: NodesReading.All,
				cutCount,
			});
			t.deepEqual(result.faults, [], `${ageMs} ms`);
		}
	});
});

// Guards against a table that would not notice nodes that compare offsets alone.
Object.values(RollbackMoment).forEach(moment => {
	test.serial(`nodes that compare offsets alone are found out when the store goes back ${moment}`, async t => {
		const result = await simulateRollback({
			nodeCount: 5,
			moment,
			ageMs: 20_000,
			reading: NodesReading.All,
			hidesEras: true,
		});
		t.not(result.faults.length, 0);
	});
});
