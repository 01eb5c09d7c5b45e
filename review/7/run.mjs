// The dispatcher of a service stands still while an upstream leaves and a machine is added.
import {connectClient} from '../kit-2/client.mjs';
import {createNode} from '../kit-2/node.mjs';
import {elapsedS, ip, isTroubled, runCase, sleep, waitFor} from '../kit-2/shared.mjs';
import {buildConfig, startStore} from '../kit-2/store.mjs';
import {startUpstream} from '../kit-2/upstream.mjs';

const ZONES = {kinondoni: 'pwani', 'dodoma-kati': 'bara'};
/** The upstreams and six of the ten nodes; the others and the added one are in the other region. */
const MAIN_ZONE = 'kinondoni';
const OTHER_ZONE = 'dodoma-kati';
const MAIN_NODE_COUNT = 6;
const GROUP_ID = 'malipo@pwani';
const NODE_COUNT = 10;
const UPSTREAM_COUNT = 6;
/** How long one machine of ten stands still, in ms. */
const FREEZE_MS = 4500;
/** When the machine is added, after the removal, in ms: all nodes that run have read the removal by then. */
const ADD_AFTER_MS = 1100;
const DRAIN_S = 2.5;
const STABLE_WINDOW_S = 3;
/** Nodes that have clients before, one each. */
const SERVING_NODE_COUNT = 3;
const ADDED_CLIENT_COUNT = 36;
const CLIENT_PAUSE_MS = 250;
const DEADLINE_MS = 4000;

await runCase(import.meta.dirname, async note => {
	const store = await startStore(ip(1));
	store.writeConfig(buildConfig(1, ['malipo'], {timeoutS: DEADLINE_MS / 1000}));
	const requests = new Map();
	const breaks = [];
	/** The upstream that leaves, and when its removal was acknowledged. */
	const removed = {id: undefined, atS: 0};

	const judge = ({id, upstream}) => {
		const request = requests.get(id);
		if (upstream !== removed.id || elapsedS() - removed.atS <= DRAIN_S) {
			return;
		}

		const {node, startedAtS, sentAtS} = request;
		const isInTouch =
			sentAtS - startedAtS >= STABLE_WINDOW_S && !node.isFrozen && sentAtS - node.resumedAtS >= STABLE_WINDOW_S;
		const text = `${id}, sent to ${node.name} ${(sentAtS - startedAtS).toFixed(2)} s after its start, reached ${upstream} ${(
			elapsedS() - removed.atS
		).toFixed(2)} s after its removal was acknowledged`;
		note(`${text}${isInTouch ? '' : ' (the machine is not in touch)'}`);
		if (isInTouch) {
			breaks.push(`DRAIN: ${text}`);
		}
	};

	const upstreams = [];
	for (let index = 0; index < UPSTREAM_COUNT; index++) {
		upstreams.push(
			await startUpstream({
				store,
				host: ip(2 + index),
				id: `i-${index}`,
				service: 'malipo',
				zone: MAIN_ZONE,
				workMs: () => 100,
				onRun: judge,
			}),
		);
	}

	const create = async number => {
		const zone = number < MAIN_NODE_COUNT ? MAIN_ZONE : OTHER_ZONE;
		return createNode({name: `edge-${number}`, host: ip(20 + number), store, zone, zones: ZONES});
	};

	const nodes = await Promise.all(Array.from({length: NODE_COUNT}, async (_, index) => create(index)));
	const added = await create(NODE_COUNT);
	const seeds = nodes.slice(0, 3).map(({control}) => control);
	const children = new Map();
	const start = node => {
		node.setSeeds(seeds);
		node.startedAtS = elapsedS();
		node.resumedAtS = Number.NEGATIVE_INFINITY;
		node.isFrozen = false;
		children.set(node, node.start());
	};

	nodes.forEach(start);
	await Promise.all(nodes.map(async node => node.waitUntilReady()));
	note(`${NODE_COUNT} nodes are ready`);

	const over = new AbortController();
	let requestCount = 0;
	const statuses = new Map();
	const runClient = async node => {
		let client = await connectClient({host: node.host, port: node.frontPort});
		while (!over.signal.aborted) {
			if (client.isClosed()) {
				client = await connectClient({host: node.host, port: node.frontPort});
			}

			const id = `r-${requestCount++}`;
			requests.set(id, {node, startedAtS: node.startedAtS, sentAtS: elapsedS()});
			const request = {id, method: 'POST', path: '/unsafe/x', host: 'malipo.example', body: 'clearance'};
			const {status} = await client.request({...request, deadlineMs: DEADLINE_MS});
			statuses.set(status, (statuses.get(status) ?? 0) + 1);
			await sleep(CLIENT_PAUSE_MS);
		}

		client.close();
	};

	const clients = nodes.slice(0, SERVING_NODE_COUNT).map(async node => runClient(node));
	await sleep(5000);
	const findDispatcher = () => {
		const names = nodes.flatMap(({lines}) =>
			lines
				.filter(({event, groupId}) => event === 'dispatcher-changed' && groupId === GROUP_ID)
				.slice(-1)
				.map(({dispatcher}) => dispatcher),
		);
		return nodes.find(({name}) => name === names.toSorted().at(Math.floor(names.length / 2)));
	};

	await waitFor(() => findDispatcher() !== undefined, 'the nodes name a dispatcher');
	const dispatcher = findDispatcher();
	if (isTroubled) {
		dispatcher.isFrozen = true;
		children.get(dispatcher).kill('SIGSTOP');
		note(`${dispatcher.name}, the dispatcher of ${GROUP_ID}, stands still`);
	} else {
		note(`${dispatcher.name} is the dispatcher of ${GROUP_ID}`);
	}

	const frozenAtS = elapsedS();
	await sleep(200);
	const [leaving] = upstreams;
	leaving.leave();
	Object.assign(removed, {id: leaving.id, atS: elapsedS()});
	note(`${leaving.id} leaves: the store has acknowledged that its entry is removed; it goes on serving`);
	await sleep(ADD_AFTER_MS);
	start(added);
	note(`${added.name} is added`);
	await added.waitUntilReady();
	note(`${added.name} is ready`);
	await sleep(FREEZE_MS - (elapsedS() - frozenAtS) * 1000);
	if (isTroubled) {
		children.get(dispatcher).kill('SIGCONT');
		dispatcher.isFrozen = false;
		dispatcher.resumedAtS = elapsedS();
		note(`${dispatcher.name} runs again`);
	}

	await sleep((STABLE_WINDOW_S - (elapsedS() - added.startedAtS)) * 1000);
	note(`clients connect to ${added.name}`);
	clients.push(...Array.from({length: ADDED_CLIENT_COUNT}, async () => runClient(added)));

	await sleep(6000);
	over.abort();
	await Promise.all(clients);
	added.lines
		.filter(({event}) => event === 'dispatcher-changed')
		.forEach(({groupId, dispatcher: name}) => {
			note(`${added.name} got grants of ${groupId} from ${name}`);
		});
	note(`${requestCount} requests, by status: ${JSON.stringify(Object.fromEntries(statuses))}`);
	return breaks;
});
