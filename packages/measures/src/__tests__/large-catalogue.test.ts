import * as adapters from '@bilberrydoor/adapters';
import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import test from 'ava';
import * as neverthrow from 'neverthrow';

/** Nodes of a region of the larger deployments. */
const NODE_COUNT = 52;

/** Half of the 10 Mbit/s link of a small node; the other half carries calls. */
const NODE_LINK_BYTES_PER_MS = 625;

/** Link between regions, 42 Mbit/s. */
const REGION_LINK_BYTES_PER_MS = 5250;

const PART_BYTES = 16_384;
const ROUTE_COUNT = 1180;

/** Time limit for a catalogue change to be in force on all nodes. */
const IN_FORCE_LIMIT_MS = 2500;

/** Time without progress after which a read of the store fails. */
const STORE_TIMEOUT_MS = 600;

/** Creates a link on which the parts of concurrent transfers are interleaved. */
const createLink = (clock: fakes.VirtualClock, bytesPerMs: number) => {
	let freeAtMs = 0;
	return async (sizeBytes: number, {signal, noteProgress}: core.RequestOptions): Promise<void> => {
		for (let remainingBytes = sizeBytes; remainingBytes > 0 && !signal.aborted; remainingBytes -= PART_BYTES) {
			freeAtMs = Math.max(freeAtMs, clock.monotonicMs()) + Math.min(remainingBytes, PART_BYTES) / bytesPerMs;
			await clock.sleep(freeAtMs - clock.monotonicMs(), signal);
			noteProgress?.();
		}
	};
};

const buildLargeCatalogue = (version: number): domain.FleetCatalogue => {
	const random = fakes.createSeededRandom(version);
	const routes = Array.from({length: ROUTE_COUNT}, () =>
		fakes.buildHostRoute({routeId: `r-${random.token().slice(0, 7)}`, pathPrefix: `/${random.token().slice(0, 8)}/`}),
	);
	return fakes.buildFleetCatalogue(version, routes);
};

const createFleet = (fillStore?: (store: fakes.FakeRegistryStore) => void) => {
	const clock = fakes.createVirtualClock();
	const links = new Map<string, ReturnType<typeof createLink>>();
	const getOrCreateLink = (nodeId: string) => {
		const link = links.get(nodeId) ?? createLink(clock, NODE_LINK_BYTES_PER_MS);
		links.set(nodeId, link);
		return link;
	};

	const deliverReply: fakes.DeliverReply = async (senderId, kind, reply, transfer) => {
		const text = JSON.stringify(adapters.FLEET_REPLY_ENCODERS[kind](reply));
		await getOrCreateLink(senderId)(text.length, transfer);
		return adapters.FLEET_MESSAGE_SCHEMAS[kind].reply.parse(JSON.parse(text));
	};

	const regionLink = createLink(clock, REGION_LINK_BYTES_PER_MS);
	const wrapStore = (store: core.RegistryStore): core.RegistryStore => ({
		...store,
		async readAll(topic, signal) {
			const result = await store.readAll(topic, signal);
			const sizeBytes = JSON.stringify(result.unwrapOr(undefined) ?? '').length;
			const limits = {clock, timeoutMs: STORE_TIMEOUT_MS, signal};
			const timed = await core.runWithTimeout(limits, async (taskSignal, noteProgress) =>
				regionLink(sizeBytes, {signal: taskSignal, noteProgress}),
			);
			return timed.isTimedOut
				? neverthrow.err({kind: core.RegistryErrorKind.Unavailable, detail: 'no answer in time'})
				: result;
		},
	});
	return fakes.createRegistryFleet({clock, nodeCount: NODE_COUNT, deliverReply, wrapStore, fillStore});
};

const ALL_NODE_IDS = Array.from({length: NODE_COUNT}, (_, index) => `node-${index}`);

// Guards against one node sending copies to a whole region over its small link at once: each times out and is repeated.
test('a large catalogue is in force in time on all nodes of a large region', async t => {
	const {clock, store, listVersions, stop} = createFleet();
	t.teardown(stop);
	await clock.advance(5000);
	store.write(core.RegistryTopic.Catalogue, 'config', buildLargeCatalogue(2));
	await clock.advance(IN_FORCE_LIMIT_MS);
	t.deepEqual(
		listVersions(),
		ALL_NODE_IDS.map(() => 2),
	);
});

// Guards against all nodes reading the large catalogue over the link between regions when all of them restart at once.
test('all nodes of a large region that start at once load a large catalogue in time', async t => {
	const {clock, listVersions, stop} = createFleet(store => {
		store.write(core.RegistryTopic.Catalogue, 'config', buildLargeCatalogue(2));
		store.write(core.RegistryTopic.Targets, 'a', fakes.buildTarget({targetId: 'a'}));
		ALL_NODE_IDS.forEach(nodeId => {
			store.write(core.RegistryTopic.Nodes, nodeId, fakes.buildNode(nodeId, {incarnationId: `${nodeId}#0`}));
		});
	});
	t.teardown(stop);
	await clock.advance(IN_FORCE_LIMIT_MS);
	t.deepEqual(
		listVersions(),
		ALL_NODE_IDS.map(() => 2),
	);
});
