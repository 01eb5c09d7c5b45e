import * as core from '@bilberrydoor/core';
import test from 'ava';
import {buildFleetCatalogue, buildHostRoute, buildTarget} from '../build-fleet.js';
import {OpenReadEnding} from '../fake-registry-store.js';
import {createRegistryFleet} from '../registry-fleet.js';
import {NodesReading, RollbackMoment, simulateRollback} from '../simulate-rollbacks.js';

const NODE_COUNTS = [5, 44];
const COPY_AGES_MS = [1000, 5000, 20_000];

/** Time from the end of the last disturbance until all nodes have to have the store's records, in ms. */
const CATCH_UP_LIMIT_MS = 4000;

/** Reading and writing calls a second that the store answers on the smallest deployments. */
const STORE_CALLS_PER_S_LIMIT = 400;

const SETTLE_MS = 5000;
const PAUSE_MS = 4500;

/** Time after its pause within which a node has learned from its peers since when the store has been in its era, in ms. */
const RESUMED_LIMIT_MS = 1000;

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

// Guards against answers that the store sent before it went back and that arrive afterwards.
[200, 500].forEach(lateAnswersMs => {
	test.serial(`12 nodes, answers are up to ${lateAnswersMs} ms late when the store goes back`, async t => {
		for (const delayMs of [0, 170, 390, 630, 910]) {
			const result = await simulateRollback({
				nodeCount: 12,
				moment: RollbackMoment.Twice,
				ageMs: 5000,
				reading: NodesReading.All,
				lateAnswersMs,
				delayMs,
			});
			t.deepEqual(result.faults, [], `${delayMs} ms`);
		}
	});
});

// Guards against a node that stood still, learns of the rollback by itself, and takes targets that have left for lost ones.
test.serial('a reader that was paused when the store went back does not use targets that left meanwhile', async t => {
	const fleet = createRegistryFleet({
		nodeCount: 8,
		fillStore(store) {
			store.write(core.RegistryTopic.Catalogue, 'config', buildFleetCatalogue(1, [buildHostRoute()]));
			store.write(core.RegistryTopic.Targets, 'staying', buildTarget({targetId: 'staying'}));
		},
	});
	t.teardown(fleet.stop);
	const {clock, store, nodes} = fleet;
	await clock.advance(SETTLE_MS);
	store.write(core.RegistryTopic.Targets, 'leaving', buildTarget({targetId: 'leaving'}));
	await clock.advance(PAUSE_MS);
	const [reader] = [...nodes.values()][0]!.registry.rankReaders(1);
	const {registry} = nodes.get(reader!.nodeId)!;
	t.not(registry.target('leaving'), undefined);
	fleet.pauseNode(reader!.nodeId);
	store.rollBack(2 * PAUSE_MS);
	await clock.advance(PAUSE_MS);
	fleet.resumeNode(reader!.nodeId);
	await clock.advance(RESUMED_LIMIT_MS);
	t.is(registry.replicas.targets.era(), 1);
	t.deepEqual([...registry.replicas.targets.values().keys()], ['staying']);
});

// Guards against nodes that take records of peers of an earlier version, which tell no era, for those of the present one.
test.serial('12 nodes, 4 of them of an earlier version when the store goes back', async t => {
	for (const ageMs of COPY_AGES_MS) {
		const result = await simulateRollback({
			nodeCount: 12,
			moment: RollbackMoment.TargetLeaves,
			ageMs,
			reading: NodesReading.All,
			olderCount: 4,
		});
		t.deepEqual(result.faults, [], `${ageMs} ms`);
	}
});

// Guards against a table that would not notice nodes that compare offsets alone.
Object.values(RollbackMoment).forEach(moment => {
	test.serial(`nodes that compare offsets alone are found out when the store goes back ${moment}`, async t => {
		const result = await simulateRollback({
			nodeCount: 5,
			moment,
			ageMs: 5000,
			reading: NodesReading.None,
			hidesEras: true,
		});
		t.not(result.faults.length, 0);
	});
});
