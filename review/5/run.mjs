// One machine was partitioned from the store. After that, upstreams that the store has removed stay in use everywhere.
import {startTraffic} from '../kit/client.mjs';
import {rankReaders, startFleet} from '../kit/fleet.mjs';
import {startProxy} from '../kit/proxy.mjs';
import {runCase} from '../kit/run-case.mjs';
import * as shared from '../kit/shared.mjs';
import {startUpstream} from '../kit/upstream.mjs';

const nodeCount = 5;
const cutMs = 5000;
const drainMs = 2500;
const stableWindowMs = 3000;
const removalGapMs = 130;

const {isTroubled, sleep} = shared;

await runCase(import.meta.dirname, async ({record, onEnd}) => {
	const nodeIds = Array.from({length: nodeCount}, (_, index) => `edge-${index + 1}`);
	const storeLinks = new Map();
	const fleet = await startFleet({
		record,
		nodeIds,
		services: ['malipo'],
		async storeAddressOf({address}, nodeId) {
			const link = await startProxy(address);
			storeLinks.set(nodeId, link);
			return link.address;
		},
	});
	onEnd(() => fleet.stop());
	const upstreams = await Promise.all(
		Array.from({length: 36}, (_, index) => startUpstream({id: `i-${index + 1}`, workMs: 150})),
	);
	const removed = upstreams.slice(0, 24);
	const removedAtMs = new Map();
	const publish = () => {
		upstreams.filter(({id}) => !removedAtMs.has(id)).forEach(upstream => fleet.publish(upstream));
	};

	publish();
	const heartbeat = setInterval(publish, 1500);
	onEnd(() => clearInterval(heartbeat));
	await fleet.waitUntilReady();
	await sleep(5000);
	const [cutNodeId] = await rankReaders(nodeIds);
	const calm = fleet.nodes.filter(({nodeId}) => nodeId !== cutNodeId);
	const traffic = startTraffic({nodes: calm, gapMs: 6});
	await sleep(1000);
	if (isTroubled) {
		record.add(`${cutNodeId} is partitioned from the store for ${shared.formatSeconds(cutMs)} s`);
		storeLinks.get(cutNodeId).cut();
	}

	await sleep(cutMs);
	if (isTroubled) {
		storeLinks.get(cutNodeId).heal();
		record.add(`${cutNodeId} reaches the store again`);
	}

	const healedAtMs = performance.now();
	for (const upstream of removed) {
		await sleep(removalGapMs);
		removedAtMs.set(upstream.id, fleet.withdraw(upstream));
		record.add(`the store has accepted the removal of ${upstream.id}, which serves on`);
	}

	await sleep(4000);
	await traffic.stop();
	const {answersById} = traffic;
	const lateRuns = removed.flatMap(({id, runs}) =>
		runs.filter(({arrivedAtMs}) => arrivedAtMs > removedAtMs.get(id) + drainMs),
	);
	lateRuns.forEach(({requestId, upstreamId, arrivedAtMs}) => {
		const laterMs = arrivedAtMs - removedAtMs.get(upstreamId);
		const {nodeId, status} = answersById.get(requestId) ?? {};
		record.add(
			`DRAIN: request ${requestId}, sent to ${nodeId} and answered ${status}, reached ${upstreamId} ${shared.formatSeconds(laterMs)} s after its removal was acknowledged`,
		);
	});
	const calmCount = lateRuns.filter(
		({upstreamId}) => removedAtMs.get(upstreamId) >= healedAtMs + stableWindowMs,
	).length;
	record.add(`${answersById.size} requests were sent to calm machines; DRAIN was broken by ${lateRuns.length}`);
	record.add(`of these, ${calmCount} concern removals later than 3 s after the end of the partition`);
	return lateRuns.length > 0;
});
