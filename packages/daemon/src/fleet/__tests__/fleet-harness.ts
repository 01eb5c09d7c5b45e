import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as stream from 'node:stream';
import * as timersPromises from 'node:timers/promises';
import * as workerThreads from 'node:worker_threads';
import * as adapters from '@bilberrydoor/adapters';
import type * as core from '@bilberrydoor/core';
import * as platform from '@bilberrydoor/platform';
import * as platformStandIn from '@bilberrydoor/platform/stand-in';
import type {ExecutionContext} from 'ava';
import * as undici from 'undici';
import {startTarget, type StandInTarget} from './stand-in-target.js';

const {PLATFORM_DIALECT: dialect} = platform;

const CONDITION_TIMEOUT_MS = 15_000;
const POLL_MS = 50;

/**
 * Ports for the nodes, below the range from which the system picks ports for other sockets. A free port of that range was
 * sometimes taken by another socket before the node listened on it.
 */
const NODE_PORT_RANGE = {first: 21_000, perFile: 200, fileLimitCount: 50};

/** Differs between test files that run at the same time: each has a worker thread of its own in one process. */
const fileIndex = (process.pid + workerThreads.threadId) % NODE_PORT_RANGE.fileLimitCount;
let nextPort = NODE_PORT_RANGE.first + fileIndex * NODE_PORT_RANGE.perFile;

const canListen = async (port: number): Promise<boolean> =>
	new Promise(resolve => {
		const server = net.createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});

const findFreePort = async (): Promise<number> => {
	let port = nextPort++;
	while (!(await canListen(port))) {
		port = nextPort++;
	}

	return port;
};

export type RunningNode = {
	readonly frontUrl: string;
	readonly readinessUrl: string;
	readonly process: childProcess.ChildProcess;
	/** Log lines that the node has written, in JSON. */
	readonly lines: string[];
	isReady(): Promise<boolean>;
	/** Replaces the settings file by one with the given fields changed from those at the start. */
	changeSettings(changes: Readonly<Record<string, unknown>>): Promise<void>;
	/** Log lines of an event, parsed. */
	listEvents(event: core.LogEvent): ReadonlyArray<Readonly<Record<string, unknown>>>;
};

// Each call adds more than one retry to the budget, so that the first calls of a test can be retried too.
const DEFAULT_BOUNDS: readonly string[] = ['grace_s=6', 'retry_budget_ratio=1.2'];

const requestStatus = async (url: string): Promise<number> => {
	try {
		const response = await undici.request(url);
		await response.body.dump();
		return response.statusCode;
	} catch {
		// The listener has not started yet, or is closed.
		return 0;
	}
};

const startNode = async (
	t: ExecutionContext,
	nodeId: string,
	addresses: {
		storeAddress: string;
		seeds: readonly string[];
		control: string;
		bounds: readonly string[];
		flags?: readonly string[];
		limits?: Readonly<Record<string, number>>;
	},
): Promise<RunningNode> => {
	const front = `127.0.0.1:${await findFreePort()}`;
	const ready = `127.0.0.1:${await findFreePort()}`;
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'bilberryd-fleet-'));
	const file = path.join(folder, 'boot.yaml');
	const settings = {
		node: nodeId,
		ip: '127.0.0.1',
		zone: 'kinondoni',
		region: 'pwani',
		zones: {kinondoni: 'pwani'},
		listen: {front, ready, control: addresses.control},
		internal_ports: [1],
		seeds: addresses.seeds,
		bounds: addresses.bounds,
		...(addresses.limits && {limits: addresses.limits}),
		platform: {address: addresses.storeAddress},
	};
	// JSON is valid YAML.
	const writeSettings = async (changes: Readonly<Record<string, unknown>>): Promise<void> => {
		await fs.writeFile(`${file}.new`, JSON.stringify({...settings, ...changes}));
		await fs.rename(`${file}.new`, file);
	};

	await writeSettings({});
	const program = path.resolve(import.meta.dirname, '../bilberryd-fleet.js');
	const child = childProcess.spawn(process.execPath, [...(addresses.flags ?? []), program], {
		env: {...process.env, [platform.SETTINGS_FILE_VARIABLE]: file},
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	const lines: string[] = [];
	let incompleteLine = '';
	child.stdout.on('data', (chunk: Uint8Array) => {
		const parts = (incompleteLine + new TextDecoder().decode(chunk)).split('\n');
		incompleteLine = parts.pop()!;
		lines.push(...parts.filter(Boolean));
	});
	t.teardown(async () => {
		child.kill('SIGKILL');
		await fs.rm(folder, {recursive: true});
	});
	const readinessUrl = `http://${ready}${platform.READINESS_PATH}`;
	return {
		frontUrl: `http://${front}`,
		readinessUrl,
		process: child,
		lines,
		isReady: async () => (await requestStatus(readinessUrl)) === 200,
		changeSettings: writeSettings,
		listEvents: event =>
			lines.map(line => JSON.parse(line) as Readonly<Record<string, unknown>>).filter(entry => entry.event === event),
	};
};

export const waitUntil = async (isMet: () => Promise<boolean> | boolean): Promise<void> => {
	const endAtMs = performance.now() + CONDITION_TIMEOUT_MS;
	while (!(await isMet())) {
		if (performance.now() > endAtMs) {
			throw new Error(`condition not met within ${CONDITION_TIMEOUT_MS} ms`);
		}

		await timersPromises.setTimeout(POLL_MS);
	}
};

/** Fleets that may run at once. All tests of a file start together, and 26 processes at once did not start within 15 s. */
const RUNNING_FLEET_LIMIT_COUNT = 4;
let runningFleetCount = 0;
const permitWaiters: Array<() => void> = [];

/** Waits until fewer fleets run than the limit, and counts one more until the test ends. */
const acquireFleetPermit = async (t: ExecutionContext): Promise<void> => {
	if (runningFleetCount >= RUNNING_FLEET_LIMIT_COUNT) {
		await new Promise<void>(resolve => {
			permitWaiters.push(resolve);
		});
	}

	runningFleetCount++;
	t.teardown(() => {
		runningFleetCount--;
		permitWaiters.shift()?.();
	});
};

/** Waits until all nodes are ready. The error contains the exit code and the log lines of each node. */
const waitUntilReady = async (nodes: readonly RunningNode[]): Promise<void> => {
	try {
		await waitUntil(async () => (await Promise.all(nodes.map(async node => node.isReady()))).every(Boolean));
	} catch (error) {
		const lines = nodes.map(({process: {exitCode}, lines: logged}) => `exit code ${exitCode}: ${logged.join(' | ')}`);
		throw new Error(`nodes are not ready: ${lines.join('; ')}`, {cause: error});
	}
};

/** Starts the stand-in for the store, targets and nodes, and waits until every node is ready. */
export const startFleet = async (
	t: ExecutionContext,
	counts: {
		nodes: number;
		targets: number;
		bounds?: readonly string[];
		/** Flags of Node.js for the nodes. */
		flags?: readonly string[];
		/** The `limits` of the nodes' settings. */
		limits?: Readonly<Record<string, number>>;
	},
) => {
	await acquireFleetPermit(t);
	const store = platformStandIn.createStoreStandIn();
	const storeListener = await adapters.startHttpListener(store.app, {});
	t.teardown(async () => {
		storeListener.destroy();
		await storeListener.close();
	});
	const targetIds = Array.from({length: counts.targets}, (_, index) => `target-${index}`);
	const targets = await Promise.all(targetIds.map(async targetId => startTarget(t, targetId)));
	const publishTarget = (target: StandInTarget, state = 'ready'): void => {
		const record = platformStandIn.buildServerRecord(target.address, {state});
		store.write(platformStandIn.SERVERS_TOPIC, target.targetId, record);
	};

	const publishCatalogue = (
		version: number,
		services: readonly string[],
		given: Parameters<typeof platformStandIn.buildConfigRecord>[2] = {},
	): void => {
		const record = platformStandIn.buildConfigRecord(version, services, given);
		store.write(platformStandIn.OPERATOR_TOPIC, 'config', record);
	};

	publishCatalogue(1, ['malipo']);
	targets.forEach(target => {
		publishTarget(target);
	});
	const controlAddresses: string[] = [];
	while (controlAddresses.length < counts.nodes) {
		controlAddresses.push(`127.0.0.1:${await findFreePort()}`);
	}

	const nodes = await Promise.all(
		controlAddresses.map(async (control, index) =>
			startNode(t, `node-${index}`, {
				storeAddress: storeListener.address,
				seeds: controlAddresses.slice(0, 1),
				control,
				bounds: counts.bounds ?? DEFAULT_BOUNDS,
				flags: counts.flags,
				limits: counts.limits,
			}),
		),
	);
	await waitUntilReady(nodes);
	return {store, targets, nodes, publishTarget, publishCatalogue};
};

export type Reply = {readonly status: number; readonly body: string; readonly headers: Record<string, unknown>};

/** Sends one request as a caller does. Rejects when the connection ends before the answer is complete. */
export const send = async (
	node: RunningNode,
	requestId: string,
	given: {
		path?: string;
		host?: string;
		method?: 'GET' | 'POST';
		deadlineMs?: number;
		dispatcher?: undici.Dispatcher;
		signal?: AbortSignal;
		body?: AsyncIterable<Uint8Array>;
	} = {},
): Promise<Reply> => {
	const method = given.method ?? 'POST';
	const response = await undici.request(`${node.frontUrl}${given.path ?? '/unsafe/x'}`, {
		method,
		dispatcher: given.dispatcher,
		signal: given.signal,
		headers: {
			host: given.host ?? 'malipo.example',
			[dialect.requestIdHeader]: requestId,
			[dialect.remainingMsHeader]: String(given.deadlineMs ?? 4000),
		},
		body: given.body ? stream.Readable.from(given.body) : method === 'POST' ? 'clearance' : undefined,
	});
	return {status: response.statusCode, body: await response.body.text(), headers: response.headers};
};
