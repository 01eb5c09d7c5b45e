// The loss of three machines keeps the calm machines of their region from learning what the store has acknowledged.
import * as net from 'node:net';
import {startTraffic} from '../kit/client.mjs';
import {rankReaders, startFleet} from '../kit/fleet.mjs';
import {runCase} from '../kit/run-case.mjs';
import * as shared from '../kit/shared.mjs';
import {startUpstream} from '../kit/upstream.mjs';

const nodeCount = 12;
const lostCount = 3;
const observedMs = 12_000;
/** More connections than the queue of a listener holds. */
const fillerCount = 600;
const drainMs = 2500;
const configApplyMs = 2500;
const readerLogEvent = 'registry-source-changed';

const {isTroubled, sleep} = shared;

/** Makes a node silent like a machine without power: it sends nothing, and new connections to it hang. */
const silence = ({child, control}) => {
	child.kill('SIGSTOP');
	const [host, port] = control.split(':');
	return Array.from({length: fillerCount}, () => {
		const socket = net.connect(Number(port), host);
		socket.on('error', () => undefined);
		return socket;
	});
};

/** The node that reads the store for the others, from the log of the nodes. */
const findReader = nodes =>
	nodes.find(({log}) => {
		const sources = log.map(line => JSON.parse(line)).filter(({event}) => event === readerLogEvent);
		return sources.at(-1)?.source === 'store';
	});

await runCase(import.meta.dirname, async ({record, onEnd}) => {
	const nodeIds = Array.from({length: nodeCount}, (_, index) => `edge-${index + 1}`);
	const fleet = await startFleet({record, nodeIds, services: ['malipo']});
	onEnd(() => fleet.stop());
	const upstreams = await Promise.all(
		Array.from({length: 12}, (_, index) => startUpstream({id: `i-${index + 1}`, workMs: 100})),
	);
	const states = new Map(upstreams.map(upstream => [upstream, {service: 'malipo', state: 'ready'}]));
	// The last upstreams belong to the service to which the configuration moves the route.
	const [movedTo, leaving] = [upstreams.slice(8), upstreams.slice(0, 4)];
	movedTo.forEach(upstream => states.set(upstream, {service: 'malipo-next', state: 'ready'}));
	const publish = upstream => fleet.publish(upstream, states.get(upstream));
	upstreams.forEach(publish);
	const heartbeat = setInterval(() => upstreams.forEach(publish), 1500);
	onEnd(() => clearInterval(heartbeat));
	await fleet.waitUntilReady();
	await sleep(6000);

	const ranked = await rankReaders(nodeIds);
	record.add(`reader: ${findReader(fleet.nodes)?.nodeId}; order of readers: ${ranked.slice(0, 4).join(', ')}`);
	const lost = fleet.nodes.filter(({nodeId}) => ranked.slice(0, lostCount).includes(nodeId));
	const calm = fleet.nodes.filter(node => !lost.includes(node));
	const traffic = startTraffic({nodes: calm, gapMs: 12});
	await sleep(4000);
	const lostAtMs = performance.now();
	if (isTroubled) {
		const fillers = lost.flatMap(silence);
		onEnd(() => fillers.forEach(socket => socket.destroy()));
		record.add(`${lost.map(({nodeId}) => nodeId).join(', ')} are lost for good`);
	}

	await sleep(300);
	const acknowledgedAtMs = new Map();
	for (const upstream of leaving) {
		states.set(upstream, {service: 'malipo', state: 'draining'});
		acknowledgedAtMs.set(upstream.id, publish(upstream));
		record.add(`the store has accepted that ${upstream.id} is draining`);
		await sleep(300);
	}

	const configAtMs = fleet.writeConfig({moves: {malipo: 'malipo-next'}});
	record.add('the store has accepted the configuration that moves the route from malipo to malipo-next');
	await sleep(observedMs - (performance.now() - lostAtMs));
	await traffic.stop();

	const {answersById} = traffic;
	const describe = run => {
		const answer = answersById.get(run.requestId);
		return `request ${run.requestId}, sent to ${answer?.nodeId} and answered ${answer?.status}, reached ${run.upstreamId}`;
	};

	const lateRuns = leaving.flatMap(({id, runs}) =>
		runs.filter(({arrivedAtMs}) => arrivedAtMs > acknowledgedAtMs.get(id) + drainMs),
	);
	lateRuns.forEach(run => {
		const laterMs = run.arrivedAtMs - acknowledgedAtMs.get(run.upstreamId);
		record.add(`DRAIN: ${describe(run)} ${shared.formatSeconds(laterMs)} s after its leaving was acknowledged`);
	});
	const oldRuns = upstreams
		.filter(upstream => !movedTo.includes(upstream))
		.flatMap(({runs}) => runs)
		.filter(({requestId}) => answersById.get(requestId)?.sentAtMs > configAtMs + configApplyMs);
	oldRuns.forEach(run => {
		const laterMs = answersById.get(run.requestId).sentAtMs - configAtMs;
		record.add(
			`CONFIG: ${describe(run)} of the old service, sent ${shared.formatSeconds(laterMs)} s after the acknowledgement`,
		);
	});
	record.add(`${answersById.size} requests were sent to calm machines`);
	record.add(`DRAIN was broken by ${lateRuns.length} requests, CONFIG by ${oldRuns.length}`);
	return lateRuns.length > 0 || oldRuns.length > 0;
});
